from unittest import mock

import anyio
from behave import then, when
from path_steps import is_whole
from pressure_calls import call_repeatedly, find_endpoint
from stories import played

from knapweedbridge_daemon.serving.turns import Turns

CALLS_PER_S = 20
SETTLE_S = 0.5
REFUSED_WITHIN_S = 0.3


@when("{name} leaves by its answers while {trouble}, and calls come for {seconds:g} s")
@played(lease_ms=10000)
async def leaves_by_answers(context, path, name, trouble, seconds):
    endpoint, context.answers = find_endpoint(path, name), []
    await call_repeatedly(path, endpoint, CALLS_PER_S, 1, 1, [])
    path.store.down = trouble == "the store is away"
    endpoint.leaves = True
    began_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        if not path.store.down:
            tasks.start_soon(say_ready, path, endpoint)
        await call_repeatedly(path, endpoint, CALLS_PER_S, seconds, 1, context.answers)
        tasks.cancel_scope.cancel()
    context.arrivals_s = [each for each in endpoint.arrivals_s if each >= began_s]


async def say_ready(path, endpoint):
    while True:
        path.store.put(f"servers/{endpoint.name}", endpoint.entry())
        await anyio.sleep(0.3)


@then("it gets no call later than {bound:g} s after the first such answer")
def no_later(context, bound):
    first_s = context.arrivals_s[0]
    late = [each - first_s for each in context.arrivals_s if each > first_s + bound]
    assert not late, f"{len(late)} calls, the last after {late[-1]:.2f} s"


async def mark_and_send(path, mark):
    """Send a draft whose engine asks for something while it waits for its turn."""
    await path.draft("base/a1")
    marked = []

    async def take(turns, endpoint, tokens, urgency):
        if not marked:
            marked.append(endpoint.name)
            mark(endpoint.pressure)
        await anyio.sleep(0.05)

    for engine in path.engines:
        engine.requests.clear()
    with mock.patch.object(Turns, "take", take):
        response = await path.draft("base/a1")
    return response, find_endpoint(path, marked[0])


@when("a draft waits for its turn at an engine that then leaves")
@played(lease_ms=3000)
async def leaves_meanwhile(context, path):
    context.found = await mark_and_send(
        path, lambda pressure: pressure.record_draining()
    )


@when("a draft waits for its turn at an engine that then asks for rest")
@played(lease_ms=3000)
async def rests_meanwhile(context, path):
    def mark(pressure):
        pressure.record_pause(5.0, anyio.current_time())

    context.found = await mark_and_send(path, mark)


@then("the draft is answered whole, by the other engine")
def whole_by_other(context):
    response, marked = context.found
    assert is_whole(response), response
    assert not marked.requests, marked.requests


@when("all plain endpoints leave by their answers and start again")
@played(lease_ms=3000)
async def leave_and_start(context, path):
    for desk in path.desks:
        desk.leaves = True
    for _ in path.desks:
        await path.call("GET", "/look/1")
    for desk in path.desks:
        desk.leaves = False
        desk.born += 5000
        path.store.put(f"servers/{desk.name}", desk.entry())
    with anyio.move_on_after(3):
        while (await path.call("GET", "/look/1")).status_code != 200:
            await anyio.sleep(0.1)
    context.answer = await path.call("GET", "/look/1")


@then("calls are soon answered")
def soon_answered(context):
    assert context.answer.status_code == 200, context.answer


@when(
    "{name} turns calls away with {rest:g} s of rest, and calls come for {seconds:g} s"
)
@played(lease_ms=3000)
async def turns_away(context, path, name, rest, seconds):
    endpoint, context.answers = find_endpoint(path, name), []
    await call_repeatedly(path, endpoint, CALLS_PER_S, 1, 1, [])
    endpoint.retry_after_s = context.retry_after_s = rest
    began_s = anyio.current_time()
    await call_repeatedly(path, endpoint, CALLS_PER_S, seconds, 1, context.answers)
    context.arrivals_s = [each for each in endpoint.arrivals_s if each >= began_s]


@then(
    "it gets at most {most:d} calls from 0.5 s after each such answer to the rest's end"
)
def gets_rest(context, most):
    assert context.arrivals_s
    for asked_s in context.arrivals_s:
        span = asked_s + SETTLE_S, asked_s + context.retry_after_s
        got = sum(span[0] < each < span[1] for each in context.arrivals_s)
        assert got <= most, f"{got} calls while it wanted to rest"


@when("all plain endpoints turn calls away with 3 s of rest, and then a call comes")
@played(lease_ms=3000)
async def all_rest(context, path):
    for desk in path.desks:
        desk.retry_after_s = 3
    for _ in path.desks:
        await path.call("GET", "/look/1")
    before = sum(len(desk.arrivals_s) for desk in path.desks)
    began_s = anyio.current_time()
    context.answer = await path.call("GET", "/look/1")
    context.took_s = anyio.current_time() - began_s
    context.reached = sum(len(desk.arrivals_s) for desk in path.desks) - before


@then(
    "it is refused within 0.3 s, reaches no endpoint, and is told to come back after "
    "the rest"
)
def refused_at_once(context):
    assert context.answer.status_code == 503, context.answer
    assert context.took_s < REFUSED_WITHIN_S, context.took_s
    assert context.reached == 0, context.reached
    after_s = float(context.answer.headers["Retry-After"])
    assert 2.0 <= after_s <= 5.0, after_s
