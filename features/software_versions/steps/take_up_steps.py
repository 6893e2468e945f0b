"""Steps on streams that their callers take up again."""

import anyio
from behave import when
from versions_path import PAUSE_S, played

STREAMS = 8
BEGUN = 3
"""Events that a stream has when it is broken off, where nothing else is said."""

STARTED_S = 1.0


async def host_killed(scene, tries):
    await scene.begin_until_killed(STREAMS, 0, BEGUN)
    for host in range(1, tries - 1):
        await scene.ask_until_killed(host, 2)
    await scene.take_up(tries - 1)


async def host_killed_at_first(scene, tries):
    await scene.begin_until_killed(STREAMS, 0, 1)
    for host in range(1, tries - 1):
        await scene.ask_until_killed(host, 1)
    await scene.take_up(tries - 1)


async def broken_off(scene, tries, events):
    await scene.begin(STREAMS, 0, events)
    for host in range(1, tries - 1):
        await scene.take_up(host, events)
    await scene.take_up(tries - 1)


async def broken_off_later(scene, tries):
    await broken_off(scene, tries, BEGUN)


async def broken_off_at_first(scene, tries):
    await broken_off(scene, tries, 1)


ENDS = {
    "its host is killed": host_killed,
    "its host is killed just after its first event": host_killed_at_first,
    "its caller breaks off": broken_off_later,
    "its caller breaks off just after its first event": broken_off_at_first,
}


@when("streams are tried at {tries:d} hosts, as at each {how}")
@played
async def several_tries(context, scene, tries, how):
    await ENDS[how](scene, tries)


async def at_other_host(scene):
    await scene.begin(STREAMS, 0, BEGUN)
    return 1


async def at_restarted_host(scene):
    await scene.begin(STREAMS, 0, BEGUN)
    await scene.restart(1)
    return 1


async def at_first_host_restarted(scene):
    await scene.begin(STREAMS, 0, BEGUN)
    await scene.restart(0)
    return 0


async def at_restarted_host_once_first_is_killed(scene):
    await scene.begin(STREAMS, 0, BEGUN)
    await scene.restart(1)
    await scene.kill(0)
    return 1


async def at_host_without_links(scene):
    await scene.begin(STREAMS, 0, BEGUN)
    scene.links.cut("host-1", "reset")
    return 1


async def begun_at_host_without_links(scene):
    scene.links.cut("host-0", "reset")
    await anyio.sleep(STARTED_S)
    await scene.begin(STREAMS, 0, BEGUN)
    return 1


async def at_later_host(scene):
    await scene.begin(STREAMS, 0, BEGUN)
    return await scene.start_host()


async def at_later_host_once_first_is_killed(scene):
    await scene.begin(STREAMS, 0, BEGUN)
    later = await scene.start_host()
    await scene.kill(0)
    return later


PLACES = {
    "another host": at_other_host,
    "a host restarted meanwhile": at_restarted_host,
    "its own host, restarted meanwhile": at_first_host_restarted,
    "a host restarted before its own is killed": at_restarted_host_once_first_is_killed,
    "a host without links to engines": at_host_without_links,
    "another host than its own, which has no links": begun_at_host_without_links,
    "a host that started later": at_later_host,
    "a host that started before its own is killed": at_later_host_once_first_is_killed,
}


@when("streams break off and are taken up at {place}")
@played
async def at_place(context, scene, place):
    await scene.take_up(await PLACES[place](scene))


@when(
    "a host is cut off from the store {when_}, and streams of another host are taken "
    "up there once {end}"
)
@played
async def at_cut_off(context, scene, when_, end):
    if when_ == "before v2 starts":
        scene.store_links.cut("host-1")
        await scene.add_engines("v2", 2, known_by=[0])
    else:
        await scene.add_engines("v2", 2)
        scene.store_links.cut("host-1")
    if end == "their host is killed":
        await scene.begin_until_killed(STREAMS, 0, BEGUN)
    else:
        await scene.begin(STREAMS, 0, BEGUN)
    await scene.take_up(1)


@when("streams begin at a host that is cut off from the store before v2 starts")
@played
async def begun_at_cut_off(context, scene):
    scene.store_links.cut("host-0")
    await scene.add_engines("v2", 2, known_by=[1, 2])
    await scene.begin(STREAMS, 0, BEGUN)
    await scene.take_up(1)


@when("streams of v1 break off, two engines of v2 start, and the streams are taken up")
@played
async def starts_meanwhile(context, scene):
    await scene.begin(STREAMS, 0, BEGUN)
    await scene.add_engines("v2", 2)
    await scene.take_up(1)


async def engines_crash(scene, engines):
    for engine in engines:
        scene.path.crash(engine)


async def engines_leave(scene, engines):
    for engine in engines:
        scene.path.write_entry(engine, state="draining")
    await anyio.sleep(PAUSE_S)
    await engines_crash(scene, engines)


async def engines_drain(scene, engines):
    for engine in engines:
        scene.path.write_entry(engine, state="draining")


GONE = {"crash": engines_crash, "leave": engines_leave, "drain": engines_drain}


@when("streams of v1 break off, its engines {end}, and the streams are taken up")
@played
async def version_gone(context, scene, end):
    before = list(scene.path.engines)
    await scene.begin(STREAMS, 0, BEGUN)
    await scene.add_engines("v2", 2)
    await GONE[end](scene, before)
    for engine in before:
        await scene.path.until_known(engine, scene.hosts)
    await scene.take_up(1)


@when("streams of v2 break off, its engines {end}, and the streams are taken up")
@played
async def change_undone(context, scene, end):
    before = list(scene.path.engines)
    after = await scene.add_engines("v2", 2)
    await engines_crash(scene, before)
    for engine in before:
        await scene.path.until_known(engine, scene.hosts)
    await scene.begin(STREAMS, 0, BEGUN)
    await scene.add_engines("v1", 2)
    await GONE[end](scene, after)
    for engine in after:
        await scene.path.until_known(engine, scene.hosts)
    await scene.take_up(1)


NAMES = {"names none": None, "names one that no host knows": "stream-of-nobody"}


@when("streams break off, and a caller that takes them up {names} as their first try")
@played
async def cannot_be_told(context, scene, names):
    await scene.begin(STREAMS, 0, BEGUN)
    await scene.take_up(1, Resumes=NAMES[names])


RESUMES = {"names the first try": {}, "names no first try": {"Resumes": None}}


@when(
    "streams break off where v1 alone serves, and a caller takes them up, which {names}"
)
@played
async def one_version(context, scene, names):
    await scene.begin(STREAMS, 0, BEGUN)
    await scene.take_up(1, **RESUMES[names])
