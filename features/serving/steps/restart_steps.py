import json
import os
from contextlib import suppress
from types import SimpleNamespace

import anyio
import msgpack
from behave import given, then, when
from hypothesis import given as property_of
from hypothesis import settings, strategies

from knapweedbridge_core.serving import (
    ClusterState,
    EndpointRecord,
    EndpointStart,
    Fleet,
    ModelRef,
    OwnerRecord,
    StoreAge,
    StoreOutage,
    parse_model,
)
from knapweedbridge_core.serving.cluster_state import (
    EndpointGone,
    EndpointNamed,
    EndpointUnreadable,
    OwnerNamed,
)
from knapweedbridge_core.serving.messages import EngineSnapshot
from knapweedbridge_daemon.serving.dialects import DaemonKeys, DialectError
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_daemon.serving.own_records import read_own
from knapweedbridge_daemon.serving.store_follower import StoreFollower
from knapweedbridge_daemon.store import StoreItem
from knapweedbridge_platform.items import PlatformItems
from knapweedbridge_platform.servers import read_server

NOW_S = 100.0
SOUND = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "d1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 3,
    "models": [{"name": "m", "version": 1, "adapters": ["x@1"]}],
    "stage": "both",
    "born": 1000,
}


def record(started_ms, adapters=()):
    held = {parse_model(name): 1 for name in adapters}
    return EndpointRecord(
        "e1", "llm", "127.0.0.1:1", "d1", 8, False, ("m",), held, started_ms
    )


def telling(started_ms, order=1):
    return EngineSnapshot(
        "e1", 7, order, [["m", "x", 1, 0.0, 0, 0.0]], 3, 0, 5, 0, ["m"], 0.0, started_ms
    )


@given(
    'engine e1, started at {started:d}, that holds "m/x", held "m/y" and failed its '
    "calls"
)
def failing_engine(context, started):
    context.fleet = Fleet()
    endpoint = context.fleet.listed(record(started, ["m/y"]), NOW_S)
    context.fleet.listed(record(started, ["m/x"]), NOW_S)
    endpoint.record_unreachable(NOW_S)
    for _ in range(5):
        endpoint.record_result(True, NOW_S)
    context.before = endpoint


@when("its entry says that it started at {started:d}")
def entry_says(context, started):
    begins_anew = 0 < context.before.record.started_ms < started
    context.fleet.listed(record(started, [] if begins_anew else ["m/x"]), NOW_S)


@when("its entry says no start")
def entry_without(context):
    context.fleet.listed(record(0, ["m/x"]), NOW_S)


@when("its owner tells of it, started at {started:d}")
def owner_tells(context, started):
    told = EngineSnapshot("e1", 7, 1, [], 0, 0, 5, 0, ["m"], 0.0, started)
    context.fleet.apply_snapshot(told, NOW_S)


@when("it reports that it started at {started:d}")
def it_reports(context, started):
    assert context.fleet.restarted(EndpointStart("e1", started), NOW_S)


@when("it starts at {started:d} and an older telling comes")
def older_telling(context, started):
    context.fleet.listed(record(started), NOW_S)
    assert context.fleet.apply_snapshot(telling(1000), NOW_S) is None


@when("it starts at {started:d} and a call of before fails")
def call_of_before(context, started):
    context.fleet.listed(record(started), NOW_S)
    context.before.record_result(True, NOW_S)
    context.before.record_unreachable(NOW_S)


@then("e1 is believed empty, sound and at start {started:d}")
def believed_empty(context, started):
    endpoint = context.fleet.endpoints["e1"]
    assert endpoint.record.started_ms == started, endpoint.record
    assert not endpoint.held and ModelRef("m", "y") not in endpoint.recent
    assert endpoint.failing_share(NOW_S) == 0, endpoint.failure_share
    assert endpoint in context.fleet.reachable("llm", NOW_S)
    assert context.fleet.pop_restarted() == [context.before]
    assert context.fleet.pop_restarted() == []


@then("e1 is believed as before and at start {started:d}")
def believed_as_before(context, started):
    endpoint = context.fleet.endpoints["e1"]
    assert endpoint is context.before
    assert endpoint.record.started_ms == started, endpoint.record
    assert ModelRef("m", "x") in endpoint.held
    assert endpoint.failing_share(NOW_S) > 0
    assert endpoint not in context.fleet.reachable("llm", NOW_S)


@when("e1 falls out of the list and comes back")
def falls_out(context):
    cluster = context.cluster
    cluster.take(EndpointNamed(record(0)), NOW_S)
    cluster.take(OwnerNamed("e1", OwnerRecord("h1", 5, 10)), NOW_S)
    cluster.take(EndpointGone("e1"), NOW_S)
    cluster.take(EndpointNamed(record(0)), NOW_S)


@then("h1 is believed to own it")
def still_owned(context):
    assert context.cluster.fleet.endpoints["e1"].owner == "h1"


@given("a sound entry")
def sound_entry(context):
    context.entry = dict(SOUND)
    named = read_server("e1", json.dumps(SOUND).encode())
    assert isinstance(named, EndpointNamed), named
    assert named.record.started_ms == 1000


@when("it is read with no {field}")
def without(context, field):
    del context.entry[field]
    context.read = read_server("e1", json.dumps(context.entry).encode())


@when("it is read with bytes that are no text")
def no_text(context):
    context.read = read_server("e1", b"\xff\x00{")


@when("it is read with a list in its place")
def list_in_place(context):
    context.read = read_server("e1", b"[1, 2]")


@when("it is read with {field:w} {value}")
def with_value(context, field, value):
    context.entry[field] = json.loads(value)
    context.read = read_server("e1", json.dumps(context.entry).encode())


@then("it names no endpoint")
def names_none(context):
    assert isinstance(context.read, EndpointUnreadable), context.read


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**53), 2**53)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8)
    | strategies.sampled_from(["ready", "draining", "10.0.0.1:80", "x@1"]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.sampled_from([*SOUND, "name"]), inner)
    ),
    max_leaves=8,
)
ENTRIES = strategies.binary(max_size=40) | strategies.builds(
    lambda changes: json.dumps({**SOUND, **changes}).encode(),
    strategies.dictionaries(strategies.sampled_from(list(SOUND)), VALUES),
)


@when("any entry is read")
def any_entry(context):
    context.found = []

    @settings(max_examples=400, database=None, derandomize=True, deadline=None)
    @property_of(ENTRIES)
    def read_any(value):
        context.found.append(read_server("e1", value))

    read_any()


@then("it names an endpoint whose fields have their types, or none")
def types_hold(context):
    named = 0
    for store_event in context.found:
        if isinstance(store_event, EndpointUnreadable):
            continue
        named += 1
        found = store_event.record
        texts = (found.service, found.address, found.data_centre, *found.bases)
        assert all(isinstance(each, str) for each in texts), found
        assert type(found.slots) is int and found.slots > 0, found
        assert type(found.leaving) is bool and type(found.started_ms) is int, found
        assert all(isinstance(each, ModelRef) for each in found.adapters), found
    assert 0 < named < len(context.found), (named, len(context.found))


class Lines:
    def __init__(self):
        self.kinds = []

    def info(self, kind, **fields):
        self.kinds.append(kind)

    error = info


@given("engines a and b are listed")
def a_and_b(context):
    context.lines = Lines()
    context.hub = SimpleNamespace(
        dialects=SimpleNamespace(store_items=PlatformItems(), daemon_keys=DaemonKeys()),
        cluster=ClusterState(),
        metrics=MetricsRegistry(),
        log=context.lines,
        outage=StoreOutage(3.0),
        store_age=StoreAge(),
        steady_s=anyio.current_time,
    )
    context.follower = StoreFollower(context.hub, None, None, lambda *changes: None)
    for revision, name in enumerate("ab"):
        put(context, name, json.dumps(SOUND).encode(), revision)


def put(context, name, value, revision):
    async def take():
        item = StoreItem(f"servers/{name}", value, revision)
        context.follower._take_one(item, 0.0)

    anyio.run(take)


def names(context):
    return [each.name for each in context.hub.cluster.fleet.of_service("llm", 0.0)]


@when("the entry of a cannot be read, for {beats:d} heartbeats")
def cannot_be_read(context, beats):
    for beat in range(beats):
        put(context, "a", b'{"service":' + os.urandom(4), 10 + beat)


@then("new work goes to b only, and the log says once why")
def only_b(context):
    assert names(context) == ["b"], names(context)
    assert context.lines.kinds.count("store.unreadable") == 1, context.lines.kinds


@then("a is used again when its entry is sound")
def used_again(context):
    put(context, "a", json.dumps(SOUND).encode(), 30)
    assert sorted(names(context)) == ["a", "b"], names(context)
    assert context.lines.kinds.count("store.readable") == 1, context.lines.kinds


@then("the record {key} {value} is unreadable")
def own_record_unreadable(context, key, value):
    packed = msgpack.packb(json.loads(value))
    read = None
    with suppress(DialectError):
        read = read_own(DaemonKeys(), f"{DaemonKeys().prefix}{key}", packed, 5)
    assert read is None, read
