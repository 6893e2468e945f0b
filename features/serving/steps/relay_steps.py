from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import (
    ClusterState,
    DaemonRecord,
    Endpoint,
    EndpointRecord,
    Fleet,
    StoreAge,
    StoreOutage,
    subscribers,
)
from knapweedbridge_core.serving.cluster_state import DaemonNamed, EndpointNamed
from knapweedbridge_core.serving.endpoint import ReportedLoad
from knapweedbridge_core.serving.messages import (
    EngineDelta,
    EngineSnapshot,
    RelayRequest,
    StoreUpdate,
)
from knapweedbridge_daemon.serving.store_follower import StoreFollower
from knapweedbridge_daemon.serving.store_update_codec import (
    pack_items,
    unpack_engines,
    unpack_items,
)
from knapweedbridge_daemon.serving.update_relay import UpdateRelay
from knapweedbridge_daemon.store import StoreItem, StoreItems

NOW_S = 1000.0
HOST = StoreItem("ours/daemons/h99", b"x", 8)


def record(name="e1"):
    return EndpointRecord(name, "llm", "10.0.0.1:1", "d1", 8, False, ("m",))


def told(order, number=7, **fields):
    return EngineSnapshot(
        "e1", number, order, [["m", "a1", 1, 0.0, 0, 0.0]], 5, 0, 3, 0, ["m"], **fields
    )


def changed(order):
    added = [["m", f"a{order}", 1, 0.0]]
    return EngineDelta("e1", 7, order, added, [], 5, 0, 3, 0, ["m"], of_all=True)


class Log:
    def info(self, kind, **fields):
        pass

    error = info


def pool(daemons):
    cluster = ClusterState()
    for n in range(daemons):
        named = DaemonRecord(f"h{n}", 1, "a", f"d{n % 2}")
        cluster.take(DaemonNamed(named), NOW_S)
    cluster.take(EndpointNamed(record()), NOW_S)
    return cluster


def hub_of(cluster, name):
    return SimpleNamespace(
        identity=SimpleNamespace(name=name, data_centre="d1"),
        cluster=cluster,
        log=Log(),
        store_age=StoreAge(),
        outage=StoreOutage(3.0),
        steady_s=anyio.current_time,
    )


def own_hearers(context):
    return subscribers(
        context.cluster.daemons.values(), "d1", context.relay, context.relays
    )


@given("a pool of {daemons:d} daemons in 2 data centres, and a relay of d1")
def pool_with_relay(context, daemons):
    context.cluster = pool(daemons)
    context.relays = context.cluster.relays["d1"]
    context.relay = context.relays[0]
    context.sent = {}

    async def send(daemon, message):
        context.sent.setdefault(daemon, []).append(message)

    context.relaying = UpdateRelay(hub_of(context.cluster, context.relay), send)


async def send_updates(context, now_s, clear=True):
    if clear:
        context.sent.clear()
    await context.relaying.send_updates(now_s)


async def owner_tells(context, message):
    """Have the relay believe an owner, and hand it on."""
    now_s = anyio.current_time()
    fleet = context.cluster.fleet
    take = (
        fleet.apply_snapshot
        if isinstance(message, EngineSnapshot)
        else fleet.apply_update
    )
    assert take(message, now_s)
    context.relaying.record_engine_update(message)
    return now_s


async def settle(context):
    """Bring the relay to where all its hearers were told all."""
    context.relaying.record_store_changes(6, 7, [], anyio.current_time())
    now_s = await owner_tells(context, told(1, of_all=True))
    await send_updates(context, now_s)
    return now_s


@when("an owner tells of e1")
def relay_is_told(context):
    anyio.run(settle, context)


@when("an owner tells of e1 and a change")
def relay_is_told_more(context):
    async def story():
        await settle(context)
        await send_updates(context, await owner_tells(context, changed(2)))

    anyio.run(story)


@when("nothing comes")
def nothing_comes(context):
    async def story():
        await send_updates(context, await settle(context) + 0.2)

    anyio.run(story)


@when("nothing comes for 0.5 s")
def nothing_for_long(context):
    async def story():
        await send_updates(context, await settle(context) + 0.5)

    anyio.run(story)


@when("the store tells of a host")
def store_tells(context):
    async def story():
        now_s = await settle(context)
        context.relaying.record_store_changes(7, 8, [HOST], anyio.current_time())
        await send_updates(context, now_s + 0.2)

    anyio.run(story)


@when("a daemon of the other relay asks")
def other_asks(context):
    async def story():
        now_s = await settle(context)
        others = subscribers(
            context.cluster.daemons.values(), "d1", context.relays[1], context.relays
        )
        await context.relaying.record_relay_request(others[0], RelayRequest())
        await send_updates(context, now_s + 0.2)

    anyio.run(story)


@then("the relay tells {who} of its hearers {what}")
def relay_tells(context, who, what):
    own = own_hearers(context)
    assert len(own) >= 4, own
    expected = {"all": len(own), "none": 0, "one more": len(own) + 1}[who]
    assert len(context.sent) == expected, (len(context.sent), expected)
    asker = [name for name in context.sent if name not in own]
    for name, messages in context.sent.items():
        if asker and name not in asker:
            continue
        check_told(messages, what)


def check_told(messages, what):
    (message,) = messages
    rows = unpack_engines(message)
    if what == "all of e1":
        assert [type(row) for row in rows] == [EngineSnapshot], rows
        assert rows[0].held and rows[0].of_all, rows
    elif what == "the change":
        assert rows == [changed(2)], rows
    elif what == "the host":
        assert unpack_items(message) == [HOST]
        assert (message.since, message.revision) == (7, 8)
    else:
        assert not rows and not unpack_items(message), message


@when("the store has not answered the relay for 3 s, and an owner tells of e1")
def relay_cut_off(context):
    async def story():
        now_s = await settle(context)
        await owner_tells(context, changed(2))
        await send_updates(context, now_s + 3.0)

    anyio.run(story)


@then("a hearer takes what it hears of e1, and not that it has heard of the store")
def hearer_takes(context):
    message = next(iter(context.sent.values()))[0]
    assert unpack_engines(message) == [changed(2)]
    hub = hub_of(context.cluster, "h1")
    follower = StoreFollower(hub, None, None, lambda *changes: None)
    follower._revision = 7
    follower.heard(context.relay, message)
    assert not follower._update_received.is_set()
    assert follower._revision == 7


class CountingStore:
    def __init__(self):
        self.looks = 0

    async def read_changes(self, prefix, revision, wait_s):
        self.looks += 1
        await anyio.sleep(wait_s)
        return StoreItems([], revision)


@given("a pool of {daemons:d} daemons in 2 data centres, and a hearer in d1")
def pool_with_hearer(context, daemons):
    context.cluster = pool(daemons)
    context.relays = context.cluster.relays["d1"]
    context.relay = context.relays[0]
    hub = hub_of(context.cluster, own_hearers(context)[0])
    context.store = CountingStore()
    hub.dialects = SimpleNamespace(
        store=context.store, store_items=SimpleNamespace(prefix="")
    )
    context.record_relay_request = []

    async def ask(relay):
        context.record_relay_request.append(relay)

    context.follower = StoreFollower(hub, ask, None, lambda *changes: None)
    context.follower._revision = 7


def follow_for_a_second(context, is_told):
    async def story():
        context.follower._hub.store_age.confirm(anyio.current_time())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.follower.run)
            for _ in range(6):
                if is_told:
                    mark_s = anyio.current_time()
                    message = StoreUpdate(7, 7, pack_items([]), mark_s=mark_s)
                    context.follower.heard(context.relay, message)
                await anyio.sleep(0.2)
            tasks.cancel_scope.cancel()

    # It was told by its relay before.
    context.follower.heard(context.relay, StoreUpdate(7, 7, pack_items([])))
    anyio.run(story)


@when("it hears nothing for a second")
def hears_nothing(context):
    follow_for_a_second(context, is_told=False)


@when("its relay tells it for a second")
def hears_relay(context):
    follow_for_a_second(context, is_told=True)


@then("it has asked {whom}, and has looked at the store: {looked}")
def has_asked(context, whom, looked):
    expected = [context.relays[1]] if whom == "the other relay" else []
    assert context.record_relay_request == expected, context.record_relay_request
    assert (context.store.looks > 0) == (looked == "yes"), context.store.looks


@given("an engine that runs {own:d} own calls, as its owner was told {ago:g} s ago")
def own_calls_told(context, own, ago):
    fleet = context.fleet = Fleet()
    endpoint = fleet.listed(record(), NOW_S - 9)
    endpoint.own_calls = own
    endpoint.counted.append(ReportedLoad(NOW_S - ago, own, 0))


@when("a relay tells that it runs {calls:d} calls in all")
def relay_tells_calls(context, calls):
    message = EngineSnapshot("e1", 7, 1, [], calls, 0, 3, 0, ["m"], of_all=True)
    context.fleet.apply_snapshot(message, NOW_S)


@then("it is believed to run {calls:d}")
def believed_to_run(context, calls):
    found = context.fleet.endpoints["e1"]
    assert isinstance(found, Endpoint)
    assert found.calls == calls, found.calls


@given("an engine whose owner told of it up to change 4")
def told_up_to(context):
    context.fleet = Fleet()
    context.fleet.listed(record(), NOW_S)
    context.fleet.apply_snapshot(told(4, of_all=True), NOW_S)


@when("change 6 comes, and change 5 after it")
def changes_out_of_order(context):
    fleet = context.fleet
    context.missed = [
        fleet.has_gap_before(changed(6)),
        fleet.has_gap_before(changed(5)),
    ]
    context.taken = [
        fleet.apply_update(changed(6), NOW_S),
        fleet.apply_snapshot(told(6, of_all=True), NOW_S) is not None,
        fleet.apply_update(changed(5), NOW_S),
    ]


@then("only change 6 shows that one was missed, and neither is taken by itself")
def found_missed(context):
    assert context.missed == [True, False], context.missed
    assert context.taken == [False, True, False], context.taken
