"""Steps on streams that break at their engine, within one answer."""

import functools

import anyio
from behave import then, when
from check_steps import runs_of
from standins import header
from stream_callers import StreamCaller, describe
from versions_path import played

STREAMS = 8
PAUSE_S = 0.1
"""Time between two events."""


async def crash(scene, engines):
    for engine in engines:
        scene.path.crash(engine)


async def leave(scene, engines):
    for engine in engines:
        await scene.path.leave(engine, PAUSE_S)


async def nothing_more(scene, engines):
    pass


CUTS = {"cuts its streams": "cut", "cuts them within an event": "cut in an event"}
ENDS = {"crashes": crash, "leaves in their middle": leave}


async def run_streams(scene, model, meanwhile):
    """Run streams that go on past two events once something has happened."""
    goes_on = anyio.Event()
    for engine in scene.path.engines:
        engine.pause_s, engine.goes_on = PAUSE_S, goes_on
    callers = [StreamCaller(scene.path, model) for _ in range(STREAMS)]
    scene.callers += callers
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(caller.ask, 0)
        await scene.path.until(
            lambda: all(caller.has_events(1) for caller in callers),
            "all streams have begun",
        )
        await meanwhile()
        goes_on.set()


@when(
    "streams run on two engines of v1, two idle engines of v2 start, and "
    "engine-1 {ends}"
)
@played
async def one_ends(context, scene, ends):
    first = scene.path.engines[0]
    first.behaviour = [CUTS[ends]] * STREAMS if ends in CUTS else []
    end = functools.partial(ENDS.get(ends, nothing_more), scene, [first])
    started = [await scene.path.run_engine("v2") for _ in range(2)]
    await run_streams(scene, "base", functools.partial(list_and, scene, started, end))
    context.broken = {header(request, "Request-Id") for request in first.requests}


async def list_and(scene, engines, end):
    for engine in engines:
        scene.path.write_entry(engine)
    for engine in engines:
        await scene.path.until_known(engine, scene.hosts)
    await end()


@when(
    "streams for an adapter run on engine-1, the only engine of v1 that holds it, an "
    "engine of v2 holds it too, and engine-1 crashes"
)
@played
async def adapter_elsewhere(context, scene):
    path = scene.path
    await path.draft("base/a1")
    first = next(engine for engine in path.engines if "a1" in engine.held)
    started = await path.run_engine("v2")
    started.held["a1"] = (1, 0.0)
    first.requests.clear()
    end = functools.partial(crash, scene, [first])
    await run_streams(
        scene, "base/a1", functools.partial(list_and, scene, [started], end)
    )
    context.broken = {header(request, "Request-Id") for request in first.requests}


@when(
    "streams run on two engines of v1, two idle engines of v2 start, and both engines "
    "of v1 {end}"
)
@played
async def both_end(context, scene, end):
    before = list(scene.path.engines)
    started = [await scene.path.run_engine("v2") for _ in range(2)]
    work = functools.partial({"crash": crash, "leave": leave}[end], scene, before)
    await run_streams(scene, "base", functools.partial(list_and, scene, started, work))


@then("at least half of the streams that broke go on in their answer")
def half_go_on(context):
    broken = [each for each in context.callers if each.tries[0].call in context.broken]
    found = [each for each in broken if each.is_whole and len(each.versions) == 1]
    assert len(broken) >= 2, f"{len(broken)} streams broke"
    assert len(found) >= len(broken) / 2, (
        f"{len(found)} of {len(broken)} go on: {describe(broken)}"
    )


@then("no stream is whole")
def none_whole(context):
    assert runs_of(context.path) >= {each.tries[0].call for each in context.callers}
    found = [each for each in context.callers if each.is_whole]
    assert not found, describe(found)
