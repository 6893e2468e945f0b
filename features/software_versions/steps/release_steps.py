"""Steps on releases, and on what versions cost and bring in the whole."""

import itertools

import anyio
from behave import then, when
from stream_callers import EVENTS, StreamCaller, describe, went_on
from versions_path import played

from knapweedbridge_core.serving.store_events import SoftwareRecorded
from knapweedbridge_daemon.serving.item_reader import ItemReader
from knapweedbridge_daemon.serving.software_records import SoftwareRecords

TAKEN_UP = 16
BEGUN = 3
SERVED_SHARE = 0.5
STREAM_EVERY_S = 0.08
BROKEN_OFF_EVERY = 2
MOST_TRIES = 4
PAUSE_S = 0.08
OLD_DRAINS_S = 0.4
"""Less than a stream takes, so that streams break as their engine ends."""


async def stream_to_its_end(scene, number):
    """Ask for a stream, and take it up at the next host as often as a client does."""
    caller = StreamCaller(scene.path)
    scene.callers.append(caller)
    breaks_off = number % BROKEN_OFF_EVERY == 0
    for each in range(MOST_TRIES):
        host = scene.hosts[(number + each) % len(scene.hosts)]
        last = await caller.ask(host, BEGUN if breaks_off and not each else None)
        if caller.is_whole or caller.has_events(EVENTS):
            return
        await anyio.sleep(min(last.retry_after_s, caller.left_s / 3))


async def streams_all_the_while(scene, change):
    """Begin streams while a change goes on, and wait for their ends."""
    async with anyio.create_task_group() as tasks:

        async def begin_on():
            for number in itertools.count():
                tasks.start_soon(stream_to_its_end, scene, number)
                await anyio.sleep(STREAM_EVERY_S)

        async with anyio.create_task_group() as beginning:
            beginning.start_soon(begin_on)
            await change()
            beginning.cancel_scope.cancel()


async def release(scene, engines, software):
    """Replace engines one at a time; return those that serve then."""
    new = []
    for old in engines:
        new += await scene.add_engines(software, 1)
        await scene.path.leave(old, OLD_DRAINS_S)
    return new


@when("v2 replaces v1 one engine at a time while streams run, {then_}")
@played
async def released(context, scene, then_):
    async def change():
        for engine in scene.path.engines:
            engine.pause_s = PAUSE_S
        await scene.add_engines("v1", 1)
        serving = await release(scene, list(scene.path.engines), "v2")
        if then_ == "and v1 replaces v2 again":
            await release(scene, serving, "v1")

    await streams_all_the_while(scene, change)


@then("at least {count:d} streams were taken up, and half of all are whole")
def half_whole(context, count):
    taken_up = [each for each in context.callers if len(each.tries) > 1]
    assert len(taken_up) >= count, len(taken_up)
    bad = [each for each in context.callers if not each.is_whole]
    assert len(bad) <= SERVED_SHARE * len(context.callers), describe(bad)


@when("streams break off and are taken up while others begin")
@played
async def taken_up_beside_new(context, scene):
    await scene.begin(TAKEN_UP, 0, BEGUN)
    context.taken_up = list(scene.callers)
    context.new = [StreamCaller(scene.path) for _ in range(TAKEN_UP)]
    async with anyio.create_task_group() as tasks:
        for caller in context.new:
            tasks.start_soon(caller.ask, 1)
        tasks.start_soon(scene.take_up, 1)
    context.callers = [*context.taken_up, *context.new]


@then("the share of them that goes on is at least half of the share that begins")
def share_goes_on(context):
    on = len(went_on(context.taken_up)) / len(context.taken_up)
    begun = sum(bool(each.events) for each in context.new) / len(context.new)
    assert begun > 0, describe(context.new)
    assert on >= begun / 2, f"{on} go on, {begun} begin: {describe(context.taken_up)}"


@when("streams run to their end on three hosts")
@played
async def cost(context, scene):
    async with anyio.create_task_group() as tasks:
        for host in scene.hosts:
            tasks.start_soon(scene.begin, 4, host)
    context.recorded = await scene.path.read_counter("stream_origins_recorded")


@then("hosts have told each other {what} of the streams")
def told(context, what):
    assert all(each.is_whole for each in context.callers), describe(context.callers)
    assert (context.recorded > 0) == (what == "something"), context.recorded


@when("v2 replaces v1, and a host that writes no record has missed that of v2")
@played
async def record_missed(context, scene):
    read, is_turn = ItemReader.read, SoftwareRecords._is_turn

    def drop_record(reader, item):
        event = read(reader, item)
        is_missed = reader._hub.identity.name == "host-1" and (
            isinstance(event, SoftwareRecorded) and "v2" in event.record.versions
        )
        return None if is_missed else event

    def never_here(records, service):
        is_here = records._hub.identity.name == "host-1"
        return not is_here and is_turn(records, service)

    before = list(scene.path.engines)
    ItemReader.read, SoftwareRecords._is_turn = drop_record, never_here
    try:
        await scene.add_engines("v2", 2)
        for engine in before:
            scene.path.crash(engine)
            await scene.path.until_known(engine, scene.hosts)
        context.began_s = []
        started_s = anyio.current_time()
        while not context.began_s and anyio.current_time() < started_s + 12:
            (caller,) = await scene.begin(1, 1, BEGUN)
            if caller.events:
                context.began_s.append(anyio.current_time() - started_s)
    finally:
        ItemReader.read, SoftwareRecords._is_turn = read, is_turn


@then("streams begin at that host within {seconds:g} s, at v2")
def begin_within(context, seconds):
    assert context.began_s and context.began_s[0] <= seconds, context.began_s
    assert context.callers[-1].versions == {"v2"}, describe(context.callers)
