"""Steps on streams that are taken up after all hosts were killed."""

import anyio
from behave import when
from versions_path import PAUSE_S, played

STREAMS = 8
EVENTS = 2
"""Events that a stream has when its host is killed."""

RECORDED_S = 0.8
"""Time in which hosts write into the store what is to outlast them."""


async def begin_on_all(scene):
    """Begin streams at all hosts, which run until these are killed."""
    for host in scene.hosts:
        await scene.begin(STREAMS, host, EVENTS)
    await anyio.sleep(RECORDED_S)


async def kill_all(scene):
    for host in scene.hosts:
        await scene.kill(host)


async def start_all(scene):
    for host in scene.hosts:
        await scene.path.start_again(f"host-{host}")
    for host in scene.hosts:
        await scene.path.until_ready(host)


async def once(scene):
    await kill_all(scene)
    await start_all(scene)


async def twice(scene):
    await once(scene)
    await once(scene)


async def in_turn(scene):
    for host in scene.hosts:
        await scene.restart(host)


KILLS = {"once": once, "twice in a row": twice, "one after the other": in_turn}


@when("all hosts are killed {when_}, and streams are taken up once they are back")
@played
async def all_killed(context, scene, when_):
    await begin_on_all(scene)
    await KILLS[when_](scene)
    await scene.take_up(1)


async def replace_v1(scene):
    """Begin streams at v1, and have v2 replace it; return the engines of v1."""
    before = list(scene.path.engines)
    await scene.begin(STREAMS, 0, EVENTS)
    await scene.add_engines("v2", 2)
    for engine in before:
        scene.path.write_entry(engine, state="draining")
    await anyio.sleep(PAUSE_S)
    for engine in before:
        scene.path.crash(engine)
    return before


async def record_stands(scene):
    await replace_v1(scene)
    await anyio.sleep(RECORDED_S)
    await kill_all(scene)
    await start_all(scene)


async def no_write_taken(scene):
    scene.path.store.rejects_writes = True
    await replace_v1(scene)
    await kill_all(scene)
    await start_all(scene)


async def came_back_older(scene):
    store = scene.path.store
    copy = store.copy()
    before = await replace_v1(scene)
    await anyio.sleep(RECORDED_S)
    await kill_all(scene)
    store.come_back(copy)
    for engine in before:
        store.remove(f"servers/{engine.name}")
    for engine in scene.path.engines:
        if engine not in before:
            scene.path.write_entry(engine)
    await start_all(scene)


STORIES = {
    "the record of versions stands": record_stands,
    "the store has taken no write since v2 started": no_write_taken,
    "the store comes back as it was before v2 started": came_back_older,
}


@when(
    "v2 replaces v1, all hosts are killed while {story}, and streams of v1 are taken up"
)
@played
async def v1_replaced(context, scene, story):
    await STORIES[story](scene)
    await scene.take_up(1)


@when("all hosts are killed, the store has lost the origins, and streams are taken up")
@played
async def origins_lost(context, scene):
    await begin_on_all(scene)
    await kill_all(scene)
    store = scene.path.store
    for key in [each for each in store.items if "/origins/" in each]:
        store.remove(key)
    await start_all(scene)
    await anyio.sleep(RECORDED_S)
    await scene.take_up(1)
