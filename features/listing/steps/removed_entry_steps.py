import random
from itertools import chain
from types import SimpleNamespace
from unittest import mock

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import (
    ClusterState,
    DaemonRecord,
    Endpoint,
    StoreOutage,
)
from knapweedbridge_core.serving.cluster_state import DaemonNamed
from knapweedbridge_daemon.serving.admin_handlers import AdminHandlers
from knapweedbridge_standins.relay_pool import RelayPool
from knapweedbridge_standins.serving_histories import HISTORIES
from knapweedbridge_standins.virtual_loop import run_virtually

SETTLED_S = 4.0
HEARD_S = 0.5
SETTLE_S = 3.0
FAR_SETTLE_S = 4.0
CHANGES_PER_S = 5.0
SIMULATED = 9


class RecordedLog:
    """Records the log lines of a daemon."""

    def __init__(self):
        self.lines = []
        self.dropped = {}

    def info(self, kind, **fields):
        self.lines.append((kind, fields))

    error = info


def relays(records):
    """Return the names of the relays, which forward the store's changes."""
    cluster = ClusterState()
    for record in records:
        cluster.take(DaemonNamed(record), 0.0)
    return set(chain.from_iterable(cluster.relays.values()))


class Outage:
    """A pool whose daemons, all or some, cannot reach the store for a while."""

    def __init__(self, tasks, daemons, endpoints):
        # The delays between failed calls are random.
        random.seed(daemons)
        records = [DaemonRecord(f"h{n}", 1, "a:1", f"d{n % 2}") for n in range(daemons)]
        simulated = {record.name for record in records[:SIMULATED]}
        self.pool = RelayPool(tasks, records, simulated | relays(records))
        self.store = self.pool.store
        self.endpoints = [f"e{n}" for n in range(endpoints)]
        for name in self.endpoints:
            self.store.list_endpoint(name)
        tasks.start_soon(self.pool.change, CHANGES_PER_S)
        for daemon in self.daemons:
            daemon.hub.outage = StoreOutage(SETTLE_S if daemons <= 16 else FAR_SETTLE_S)
            daemon.keep_lease(tasks)

    @property
    def daemons(self):
        return list(self.pool.daemons.values())

    def begin(self):
        self.store.cut_off.update(self.pool.daemons)

    def end(self):
        self.store.cut_off.clear()


@given("a pool of {daemons:d} daemons that list {endpoints:d} endpoints")
def listing_pool(context, daemons, endpoints):
    context.daemons, context.endpoints = daemons, endpoints


async def log_lines_of_removal(context, away_s):
    async with anyio.create_task_group() as tasks:
        outage = Outage(tasks, context.daemons, context.endpoints)
        for daemon in outage.daemons:
            daemon.hub.log = RecordedLog()
        await anyio.sleep(SETTLED_S)
        if away_s:
            outage.begin()
        await anyio.sleep(away_s)
        outage.store.unlist_endpoint("e0")
        outage.end()
        await anyio.sleep(HEARD_S)
        while not all(removals(daemon) for daemon in outage.daemons):
            await anyio.sleep(0.1)
        found = [SimpleNamespace(lines=removals(each)) for each in outage.daemons]
        for each, daemon in zip(found, outage.daemons, strict=True):
            each.count = unlisted_in_use(daemon)
        tasks.cancel_scope.cancel()
    return found


def removals(daemon):
    lines = daemon.hub.log.lines
    return [fields for kind, fields in lines if kind == "endpoint.unlisted"]


def unlisted_in_use(daemon):
    return AdminHandlers(daemon.hub).gauges()["endpoints_unlisted"]


@when("an entry is removed while the store is healthy")
def removed_while_healthy(context):
    context.found = run_virtually(log_lines_of_removal(context, 0.0))


@when("an entry is removed during an outage of the store of {away_s:g} s")
def removed_in_outage(context, away_s):
    context.found = run_virtually(log_lines_of_removal(context, away_s))


@then("each daemon logs once that the endpoint is not listed, in use: {in_use}")
def logged_once(context, in_use):
    for each in context.found:
        logged = [(line["endpoint"], line["in_use"]) for line in each.lines]
        assert logged == [("e0", in_use == "yes")], logged


@then("it counts {count:d} endpoints in use that are not listed")
def counted(context, count):
    assert [each.count for each in context.found] == [count] * len(context.found)


POLL_S = 0.02
OBSERVED_S = 6.0


def run_shifted(count, story, *details):
    """Run a story from different offsets into a daemon's cycle of calls."""
    return [run_virtually(story(*details, 0.17 * n)) for n in range(count)]


async def last_use_s(daemons, endpoint):
    """Return when an endpoint was last in use within `OBSERVED_S`."""
    last_s = float("-inf")
    until_s = anyio.current_time() + OBSERVED_S
    while anyio.current_time() < until_s:
        if any(daemon.uses(endpoint) for daemon in daemons):
            last_s = anyio.current_time()
        await anyio.sleep(POLL_S)
    return last_s


async def use_after_outage_s(context, away_s, after_s, offset_s):
    """Return how long an endpoint stayed in use after its entry was removed."""
    async with anyio.create_task_group() as tasks:
        outage = Outage(tasks, context.daemons, context.endpoints)
        await anyio.sleep(SETTLED_S + offset_s)
        outage.begin()
        await anyio.sleep(away_s)
        outage.end()
        await anyio.sleep(after_s)
        outage.store.unlist_endpoint("e0")
        removed_s = anyio.current_time()
        used_s = await last_use_s(outage.daemons, "e0") - removed_s
        tasks.cancel_scope.cancel()
    return used_s


async def use_after_cut_s(context, away_s, after_s, offset_s):
    """Return how long after its cut a daemon used an endpoint that had left."""
    async with anyio.create_task_group() as tasks:
        outage = Outage(tasks, context.daemons, context.endpoints)
        await anyio.sleep(SETTLED_S + offset_s)
        cut = outage.daemons[0]
        outage.store.cut_off.add(cut.name)
        await anyio.sleep(after_s)
        outage.store.unlist_endpoint("e0")
        await anyio.sleep(away_s - after_s)
        outage.end()
        healed_s = anyio.current_time()
        used_s = await last_use_s([cut], "e0") - healed_s
        tasks.cancel_scope.cancel()
    return used_s


@when(
    "an entry is removed {after_s:g} s after an outage of {away_s:g} s, at each of "
    "{count:d} offsets"
)
def removed_after_outage(context, after_s, away_s, count):
    context.used_s = run_shifted(count, use_after_outage_s, context, away_s, after_s)


@when(
    "an entry is removed {after_s:g} s into a cut of one daemon of {away_s:g} s, at "
    "each of {count:d} offsets"
)
def removed_in_cut(context, after_s, away_s, count):
    context.used_s = run_shifted(count, use_after_cut_s, context, away_s, after_s)


@then("no daemon uses that endpoint {bound_s:g} s after the removal")
@then("that daemon does not use that endpoint {bound_s:g} s after its cut is over")
def not_used(context, bound_s):
    assert max(context.used_s) < bound_s, [round(each, 2) for each in context.used_s]


def missing(outage, endpoints, since_s):
    """Return the daemons that do not use all endpoints, with the time."""
    return [
        (daemon.name, round(since_s, 2))
        for daemon in outage.daemons
        if not all(daemon.uses(f"e{n}") for n in range(endpoints))
    ]


async def expire_all(outage):
    for name in outage.endpoints:
        outage.store.unlist_endpoint(name)


async def gaps(context, away_s, back_s, offset_s):
    """Return which daemons missed endpoints, and when after the store's return."""
    found = []
    async with anyio.create_task_group() as tasks:
        outage = Outage(tasks, context.daemons, context.endpoints)
        await anyio.sleep(SETTLED_S + offset_s)
        outage.begin()
        await anyio.sleep(away_s - 0.1)
        await expire_all(outage)
        await anyio.sleep(0.1)
        outage.end()
        returned_s = anyio.current_time()
        while anyio.current_time() < returned_s + OBSERVED_S:
            since_s = anyio.current_time() - returned_s
            if since_s >= back_s and outage.endpoints:
                for name in outage.endpoints:
                    outage.store.list_endpoint(name)
                outage.endpoints = []
            found += missing(outage, context.endpoints, since_s)
            await anyio.sleep(POLL_S)
        tasks.cancel_scope.cancel()
    return found


@when(
    "all entries expire in an outage of {away_s:g} s and are back {back_s:g} s after it"
)
def all_expire(context, away_s, back_s):
    found = run_shifted(9, gaps, context, away_s, back_s)
    context.gaps = list(chain.from_iterable(found))


@when(
    "all entries expire in an outage of {away_s:g} s "
    "and are back {back_s:g} s after it, with owners"
)
def all_expire_owned(context, away_s, back_s):
    # Relays do not forward changes of adapters in entries of engines with an owner.
    with mock.patch.object(Endpoint, "has_recent_update", lambda self, now_s: True):
        all_expire(context, away_s, back_s)


async def gaps_in_second(context, gap_s, away_s, offset_s):
    """Return which daemons missed endpoints, and when in a second outage."""
    found = []
    async with anyio.create_task_group() as tasks:
        outage = Outage(tasks, context.daemons, context.endpoints)
        await anyio.sleep(SETTLED_S + offset_s)
        outage.begin()
        await anyio.sleep(6.3)
        await expire_all(outage)
        await anyio.sleep(0.1)
        outage.end()
        await anyio.sleep(gap_s)
        outage.begin()
        began_s = anyio.current_time()
        while anyio.current_time() < began_s + away_s:
            since_s = anyio.current_time() - began_s
            found += missing(outage, context.endpoints, since_s)
            await anyio.sleep(POLL_S)
        tasks.cancel_scope.cancel()
    return found


@when(
    "all entries expire, and the store is away again {gap_s:g} s after its return for "
    "{away_s:g} s"
)
def second_outage(context, gap_s, away_s):
    found = run_shifted(3, gaps_in_second, context, gap_s, away_s)
    context.gaps = list(chain.from_iterable(found))


@then("each daemon uses all endpoints throughout")
def no_gap(context):
    assert not context.gaps, (len(context.gaps), context.gaps[:5])


@then('{count:d} random histories of "{mechanism}" break nothing')
def histories_pass(context, count, mechanism):
    broken = {seed: HISTORIES[mechanism](seed) for seed in range(count)}
    assert not any(broken.values()), {seed: b[:3] for seed, b in broken.items() if b}
