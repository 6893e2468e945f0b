import anyio
from behave import given, then, when
from pressure_calls import MODELS, find_endpoint
from stories import played

from knapweedbridge_core.serving import RejectionBudget

SETTLE_S = 3.0
"""Time after which the limit of a brittle endpoint must be kept."""

MEASURED_S = 2.0
SLOTS = 2


async def call_once(path, is_engine, number, daemons, answers):
    daemon = number % daemons
    if is_engine:
        answer = await path.draft(MODELS[number % 2], daemon)
    else:
        answer = await path.call("GET", "/look/1", daemon)
    answers.append((anyio.current_time(), answer.status_code))


@when(
    "endpoints of the service of {name} have 2 slots and bear {bears:d} rejections, "
    "and {per_s:d} calls per second arrive"
)
@played(lease_ms=10000)
async def send_many_calls(context, path, name, bears, per_s):
    endpoint = find_endpoint(path, name)
    is_engine = endpoint in path.engines
    context.service = path.engines if is_engine else path.desks
    for each in context.service:
        each.room, each.brittle_per_s = SLOTS, bears
        each.work_s, each.pause_s = 0.1, 0.02
    context.answers = []
    context.since_s = anyio.current_time() + SETTLE_S
    async with anyio.create_task_group() as tasks:
        for number in range(round(per_s * (SETTLE_S + MEASURED_S))):
            tasks.start_soon(
                call_once, path, is_engine, number, context.daemons, context.answers
            )
            await anyio.sleep(1 / per_s)


@then("after 3 s none of its endpoints rejects more than {bears:d} calls in a second")
def rejects_at_most(context, bears):
    for each in context.service:
        each.turned_away_s = [at for at in each.turned_away_s if at >= context.since_s]
    counts = {each.name: each.turned_away_at_most(1.0) for each in context.service}
    assert max(counts.values()) <= bears, counts


@then("calls succeed in every second")
def succeed_in_every_second(context):
    succeeded_s = [at for at, status in context.answers if status == 200]
    for second in range(round(SETTLE_S + MEASURED_S)):
        begins_s = context.since_s - SETTLE_S + second
        assert any(begins_s <= at < begins_s + 1 for at in succeeded_s), second


@when("the plain endpoints state that they are brittle, and later that they are not")
@played()
async def brittle_and_then_not(context, path):
    context.permits = []
    for bears in (2, None):
        for desk in path.desks:
            desk.brittle_per_s = bears
        for _ in range(6):
            await path.call("GET", "/look/1")
        before = count_permits(await path.metrics())
        for _ in range(4):
            await path.call("GET", "/look/1")
        context.permits.append(count_permits(await path.metrics()) - before)


def count_permits(page):
    rows = [row for row in page.splitlines() if 'permits_total{kind="taken"}' in row]
    return sum(float(row.split()[-1]) for row in rows)


@then("calls are sent without requesting permits")
def without_permits(context):
    assert context.permits == [4, 0], context.permits


@given("an endpoint that bears {limit:d} rejections per second")
def rejection_budget(context, limit):
    context.budget, context.limit = RejectionBudget(), limit


def parse_times(text):
    return [] if text == "none" else [int(each) for each in text.split(",")]


@when(
    "calls request permits at {requested} ms, and calls are rejected at {rejected} ms"
)
def request_permits(context, requested, rejected):
    events = [(at, "requested") for at in parse_times(requested)]
    events += [(at, "rejected") for at in parse_times(rejected)]
    context.granted = []
    for at, event in sorted(events):
        if event == "rejected":
            context.budget.turned_away(at / 1000)
        elif context.budget.take(context.limit, at / 1000) == 0.0:
            context.granted.append(at)


@then("permits are granted at {granted} ms")
def permits_granted(context, granted):
    assert context.granted == parse_times(granted), context.granted
