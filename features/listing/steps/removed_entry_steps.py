import random
from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import DaemonRecord
from knapweedbridge_daemon.serving.side_faces import SideFaces
from knapweedbridge_standins.relay_pool import RelayPool
from knapweedbridge_standins.virtual_loop import run_virtually

SETTLED_S = 4.0
HEARD_S = 0.5
CHANGES_PER_S = 5.0


class KeptLog:
    """Keeps what a daemon logs."""

    def __init__(self):
        self.lines = []
        self.dropped = {}

    def info(self, kind, **fields):
        self.lines.append((kind, fields))

    error = info


class Outage:
    """A pool whose daemons, all or some, cannot reach the store for a while."""

    def __init__(self, tasks, daemons, endpoints):
        # Pauses between failed calls are spread by luck.
        random.seed(daemons)
        records = [DaemonRecord(f"h{n}", 1, "a:1", f"d{n % 2}") for n in range(daemons)]
        played = {record.name for record in records[:9]}
        self.pool = RelayPool(tasks, records, played)
        self.store = self.pool.store
        self.endpoints = [f"e{n}" for n in range(endpoints)]
        for name in self.endpoints:
            self.store.list_endpoint(name)
        tasks.start_soon(self.pool.change, CHANGES_PER_S)
        for daemon in self.daemons:
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


async def lines_of_removal(context, away_s):
    async with anyio.create_task_group() as tasks:
        outage = Outage(tasks, context.daemons, context.endpoints)
        for daemon in outage.daemons:
            daemon.hub.log = KeptLog()
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
    return SideFaces(daemon.hub).gauges()["endpoints_unlisted"]


@when("an entry is removed while the store is well")
def removed_in_peace(context):
    context.found = run_virtually(lines_of_removal(context, 0.0))


@when("an entry is removed during an outage of the store of {away_s:g} s")
def removed_in_outage(context, away_s):
    context.found = run_virtually(lines_of_removal(context, away_s))


@then("each daemon logs once that the endpoint is not listed, in use: {in_use}")
def logged_once(context, in_use):
    for each in context.found:
        told = [(line["endpoint"], line["in_use"]) for line in each.lines]
        assert told == [("e0", in_use == "yes")], told


@then("it counts {count:d} endpoints in use that are not listed")
def counted(context, count):
    assert [each.count for each in context.found] == [count] * len(context.found)
