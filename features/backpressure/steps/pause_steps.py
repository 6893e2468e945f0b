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


@when("{name} announces draining while {condition}, and calls arrive for {seconds:g} s")
@played(lease_ms=10000)
async def announce_draining(context, path, name, condition, seconds):
    endpoint, context.answers = find_endpoint(path, name), []
    await call_repeatedly(path, endpoint, CALLS_PER_S, 1, 1, [])
    path.store.down = condition == "the store is unavailable"
    endpoint.leaves = True
    began_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        if not path.store.down:
            tasks.start_soon(list_as_ready, path, endpoint)
        await call_repeatedly(path, endpoint, CALLS_PER_S, seconds, 1, context.answers)
        tasks.cancel_scope.cancel()
    context.arrivals_s = [each for each in endpoint.arrivals_s if each >= began_s]


async def list_as_ready(path, endpoint):
    while True:
        path.store.put(f"servers/{endpoint.name}", endpoint.entry())
        await anyio.sleep(0.3)


@then("it receives no call later than {bound:g} s after the first such response")
def no_later(context, bound):
    first_s = context.arrivals_s[0]
    late = [each - first_s for each in context.arrivals_s if each > first_s + bound]
    assert not late, f"{len(late)} calls, the last after {late[-1]:.2f} s"


async def mark_and_send(path, mark):
    """Send a draft, and apply ``mark`` to the engine for which it is queued."""
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


@when("a draft is queued for an engine that then starts draining")
@played(lease_ms=3000)
async def drain_while_queued(context, path):
    context.found = await mark_and_send(
        path, lambda pressure: pressure.record_draining()
    )


@when("a draft is queued for an engine that then requests a pause")
@played(lease_ms=3000)
async def pause_while_queued(context, path):
    def mark(pressure):
        pressure.record_pause(5.0, anyio.current_time())

    context.found = await mark_and_send(path, mark)


@then("the other engine completes the draft")
def completed_by_other(context):
    response, marked = context.found
    assert is_whole(response), response
    assert not marked.requests, marked.requests


@when("all plain endpoints announce draining and restart")
@played(lease_ms=3000)
async def drain_and_restart(context, path):
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


@then("calls soon succeed")
def succeed_soon(context):
    assert context.answer.status_code == 200, context.answer


@when(
    "{name} rejects calls with a pause of {pause:g} s, and calls arrive for "
    "{seconds:g} s"
)
@played(lease_ms=3000)
async def rejects_with_pause(context, path, name, pause, seconds):
    endpoint, context.answers = find_endpoint(path, name), []
    await call_repeatedly(path, endpoint, CALLS_PER_S, 1, 1, [])
    endpoint.retry_after_s = context.retry_after_s = pause
    began_s = anyio.current_time()
    await call_repeatedly(path, endpoint, CALLS_PER_S, seconds, 1, context.answers)
    context.arrivals_s = [each for each in endpoint.arrivals_s if each >= began_s]


@then(
    "it receives at most {most:d} calls from 0.5 s after each rejection to the end of "
    "its pause"
)
def is_paused(context, most):
    assert context.arrivals_s
    for asked_s in context.arrivals_s:
        span = asked_s + SETTLE_S, asked_s + context.retry_after_s
        got = sum(span[0] < each < span[1] for each in context.arrivals_s)
        assert got <= most, f"{got} calls during its pause"


@when("all plain endpoints reject calls with a pause of 3 s, and then a call arrives")
@played(lease_ms=3000)
async def pause_all(context, path):
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
    "it is refused within 0.3 s, reaches no endpoint, and Retry-After names the end of "
    "the pause"
)
def refused_at_once(context):
    assert context.answer.status_code == 503, context.answer
    assert context.took_s < REFUSED_WITHIN_S, context.took_s
    assert context.reached == 0, context.reached
    after_s = float(context.answer.headers["Retry-After"])
    assert 2.0 <= after_s <= 5.0, after_s
