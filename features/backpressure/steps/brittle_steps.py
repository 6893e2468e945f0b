import anyio
from behave import given, then, when
from pressure_calls import MODELS, find_endpoint, metrics
from stories import played

from knapweedbridge_core.serving import RejectionBudget

CONTACT_S = 3.0
"""From when on a brittle endpoint may fall over."""

COUNTED_S = 2.0
ROOM = 2


async def call_once(path, is_engine, number, daemons, answers):
    daemon = number % daemons
    if is_engine:
        answer = await path.draft(MODELS[number % 2], daemon)
    else:
        answer = await path.call("GET", "/look/1", daemon)
    answers.append((anyio.current_time(), answer.status_code))


@when(
    "the service of {name} has room for 2 calls each and bears {bears:d}, and "
    "{per_s:d} calls a second come"
)
@played(lease_ms=10000)
async def many_calls(context, path, name, bears, per_s):
    endpoint = find_endpoint(path, name)
    is_engine = endpoint in path.engines
    context.service = path.engines if is_engine else path.desks
    for each in context.service:
        each.room, each.brittle_per_s = ROOM, bears
        each.work_s, each.pause_s = 0.1, 0.02
    context.answers = []
    context.since_s = anyio.current_time() + CONTACT_S
    async with anyio.create_task_group() as tasks:
        for number in range(round(per_s * (CONTACT_S + COUNTED_S))):
            tasks.start_soon(
                call_once, path, is_engine, number, context.daemons, context.answers
            )
            await anyio.sleep(1 / per_s)


@then("from 3 s on none of its endpoints turns away more than {bears:d} in a second")
def turns_away(context, bears):
    for each in context.service:
        each.turned_away_s = [at for at in each.turned_away_s if at >= context.since_s]
    most = {each.name: each.turned_away_at_most(1.0) for each in context.service}
    assert max(most.values()) <= bears, most


@then("calls are answered all the while")
def answered_all_the_while(context):
    ended_s = [at for at, status in context.answers if status == 200]
    for second in range(round(CONTACT_S + COUNTED_S)):
        begins_s = context.since_s - CONTACT_S + second
        assert any(begins_s <= at < begins_s + 1 for at in ended_s), second


@when("the plain endpoints say that they are brittle, and later that they are not")
@played()
async def brittle_for_a_while(context, path):
    context.asked = []
    for bears in (2, None):
        for desk in path.desks:
            desk.brittle_per_s = bears
        for _ in range(6):
            await path.call("GET", "/look/1")
        before = permits_taken(await metrics(path))
        for _ in range(4):
            await path.call("GET", "/look/1")
        context.asked.append(permits_taken(await metrics(path)) - before)


def permits_taken(page):
    rows = [row for row in page.splitlines() if 'permits_total{kind="taken"}' in row]
    return sum(float(row.split()[-1]) for row in rows)


@then("calls are sent without asking for room")
def without_asking(context):
    assert context.asked == [4, 0], context.asked


@given("an endpoint that bears {most:d} calls a second")
def budget(context, most):
    context.room, context.most = RejectionBudget(), most


def moments(text):
    return [] if text == "none" else [int(each) for each in text.split(",")]


@when("at {asked} ms calls ask for room, and at {turned_away} ms calls are turned away")
def ask_for_room(context, asked, turned_away):
    events = [(at, "asked") for at in moments(asked)]
    events += [(at, "turned away") for at in moments(turned_away)]
    context.given = []
    for at, event in sorted(events):
        if event == "turned away":
            context.room.turned_away(at / 1000)
        elif context.room.take(context.most, at / 1000) == 0.0:
            context.given.append(at)


@then("room is given at {given} ms")
def room_given(context, given):
    assert context.given == moments(given), context.given
