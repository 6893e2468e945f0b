import tempfile

import anyio
from behave import then, when
from stream_callers import StreamCaller, joined
from upgrade_steps import SETTLE_S, UpgradedPool

STREAMS = 8
EVENTS_READ = 3


async def resume(pool, began_at, resumed_at):
    """Have callers begin streams at one host, break off, and resume at another."""
    callers = [StreamCaller(pool) for _ in range(STREAMS)]
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(caller.ask, began_at, EVENTS_READ)
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(caller.ask, resumed_at)
    return callers


@when("one is upgraded, and resumes streams of the others and of itself")
def one_upgraded(context):
    async def story(folder):
        async with anyio.create_task_group() as tasks:
            pool = UpgradedPool(tasks, folder, context.version)
            pool.engines[1].software = "v2"
            for engine in pool.engines:
                engine.pause_s = 0.05
            try:
                await pool.start_all(context.daemons)
                await anyio.sleep(SETTLE_S)
                await pool.upgrade(2)
                await anyio.sleep(SETTLE_S)
                context.others = await resume(pool, 0, 2)
                context.own = await resume(pool, 2, 2)
                for number in (0, 1):
                    await pool.upgrade(number)
                await anyio.sleep(SETTLE_S)
                context.upgraded = await resume(pool, 0, 1)
            finally:
                pool.end()
                tasks.cancel_scope.cancel()

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(story, folder)


@then("no stream holds events of two versions, and its own streams go on")
def own_go_on(context):
    assert not joined(context.others + context.own)
    began = [each for each in context.own if each.first is not None]
    assert began and all(each.is_whole for each in began), context.own


@when("the others are upgraded, and resume streams of each other")
def others_upgraded(context):
    """Played by the step before, in the same processes."""


@then("no stream holds events of two versions, and half go on at least")
def half_go_on(context):
    assert not joined(context.upgraded)
    began = [each for each in context.upgraded if each.first is not None]
    assert began and 2 * sum(each.is_whole for each in began) >= len(began)
