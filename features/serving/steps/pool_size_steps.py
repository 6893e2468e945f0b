from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import ClusterState, DaemonRecord, EndpointRecord
from knapweedbridge_core.serving.cluster_state import (
    DaemonGone,
    DaemonNamed,
    EndpointNamed,
)
from knapweedbridge_daemon.serving.store_follower import StoreFollower
from knapweedbridge_daemon.store import StoreItems

NOW_S = 1000.0


class Log:
    def __init__(self):
        self.lines = []

    def info(self, kind, **fields):
        self.lines.append((kind, fields))


class SilentStore:
    async def read_changes(self, prefix, revision, wait_s):
        await anyio.sleep_forever()
        return StoreItems([], revision)


@given("{before:d} daemons were listed {ago:g} s ago, and {daemons:d} still are")
def daemons_listed(context, before, ago, daemons):
    context.cluster, context.ago_s = ClusterState(), ago
    for n in range(max(before, daemons)):
        record = DaemonRecord(f"h{n}", 1, "a", f"d{n % 2}" if daemons > 1 else "d0")
        context.cluster.take(DaemonNamed(record), NOW_S - ago)
    for n in range(daemons, before):
        context.cluster.take(DaemonGone(f"h{n}"), NOW_S - ago)


@when("the store lists {endpoints:d} endpoints")
def endpoints_listed(context, endpoints):
    # The relays were asked for before, and are kept until something changes them.
    assert context.cluster.relays is not None
    for n in range(endpoints):
        record = EndpointRecord(f"e{n}", "llm", "a", "d0", 8, False)
        context.cluster.take(EndpointNamed(record), NOW_S)
    context.cluster.update_clock(NOW_S)


@then("the pool counts as {size}, and {count:d} of d0 are relays")
def pool_counts_as(context, size, count):
    assert context.cluster.is_small_pool == (size == "small")
    found = context.cluster.relays.get("d0", [])
    assert len(found) == count, found


@when("a daemon follows a store that tells of nothing")
def follows_silent_store(context):
    context.log = Log()
    dialects = SimpleNamespace(
        store=SilentStore(), store_items=SimpleNamespace(prefix="")
    )
    hub = SimpleNamespace(
        identity=SimpleNamespace(name="h0", data_centre="d0"),
        cluster=context.cluster,
        dialects=dialects,
        log=context.log,
        steady_s=lambda: NOW_S,
    )

    async def story():
        follower = StoreFollower(hub, None, None, lambda *changes: None)
        follower._revision, follower._was_small_pool = 7, False
        # By the event loop's clock, 17 daemons were listed that long ago.
        shift_s = anyio.current_time() - NOW_S
        context.cluster._large_until_s += shift_s
        with anyio.move_on_after(0.05):
            await follower.run()

    anyio.run(story)


@then("it takes the pool to be small, and logs that")
def logs_small(context):
    assert context.cluster.is_small_pool
    assert [kind for kind, _ in context.log.lines] == ["pool.changed"]
    assert context.log.lines[0][1]["small"]


@given("{daemons:d} daemons and {endpoints:d} endpoints listed at a daemon's start")
def listed_at_start(context, daemons, endpoints):
    context.cluster = ClusterState()
    context.cluster.update_clock(NOW_S)
    for n in range(daemons):
        record = DaemonRecord(f"h{n}", 1, "a", "d0")
        context.cluster.take(DaemonNamed(record), NOW_S)
    for n in range(endpoints):
        record = EndpointRecord(f"e{n}", "llm", "a", "d0", 8, False)
        context.cluster.take(EndpointNamed(record), NOW_S)


@then("{seconds:g} s after its start the pool counts as {size}")
def counts_after_start(context, seconds, size):
    context.cluster.update_clock(NOW_S + seconds)
    assert context.cluster.is_small_pool == (size == "small")
