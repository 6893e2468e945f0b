import math
import time
from types import SimpleNamespace
from unittest import mock

import anyio
from behave import then, when

from knapweedbridge_core.serving import RetryBudget
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving import retry_reserver
from knapweedbridge_daemon.serving.dialects import DaemonKeys
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_daemon.serving.own_records import pack_era
from knapweedbridge_daemon.serving.retry_reserver import RetryReserver
from knapweedbridge_daemon.store import Committed

REQUESTS = 40
WINDOW_S = 10.0
PAUSE_S = 0.01


class RecordStore:
    """A store of one key, whose answers may be lost."""

    def __init__(self):
        self.era = 0
        self.value, self.revision = None, 0
        self.era_record = None
        self.is_away = self.is_silent = self.loses_answer = False
        self.calls = 0

    async def _answer(self):
        self.calls += 1
        if self.is_silent:
            await anyio.sleep_forever()
        if self.is_away:
            raise StoreError("away")

    async def read(self, key):
        await self._answer()
        if key == DaemonKeys().era:
            return self.era_record and (self.era_record, 1)
        return None if self.value is None else (self.value, self.revision)

    async def commit(self, transaction):
        await self._answer()
        ((key, expected),) = transaction.compares.items()
        if expected != self.revision:
            return Committed(False)
        self.value, self.revision = transaction.puts[key], self.revision + 1
        if self.loses_answer:
            self.loses_answer = False
            raise StoreError("no answer", may_have_applied=True)
        return Committed(True, self.revision)


class Log:
    """Collects the kinds of lines."""

    def __init__(self):
        self.kinds = []

    def info(self, kind, **fields):
        self.kinds.append(kind)

    error = info


class ReservingHost:
    """One host with a clock of its own, and its processes."""

    def __init__(self, store):
        self.store = store
        self.now_s = 1000.0
        self.start()

    def start(self):
        """Start a process."""
        self.log = Log()
        budget = RetryBudget(0.2, 54, WINDOW_S, self.now_s)
        self.hub = SimpleNamespace(
            identity=SimpleNamespace(name="h"),
            budget=budget,
            dialects=SimpleNamespace(store=self.store, daemon_keys=DaemonKeys()),
            log=self.log,
            metrics=MetricsRegistry(),
            steady_s=lambda: self.now_s,
        )
        self.reserver = RetryReserver(self.hub)

    def receive(self):
        """Receive requests."""
        for _ in range(REQUESTS):
            self.hub.budget.record_request("s", self.now_s)

    async def repeat_all(self):
        """Return how many repeats are granted and sent."""
        sent = 0
        while grant := await self.reserver.grant("s"):
            self.hub.budget.settle(grant, self.now_s)
            sent += 1
        return sent


async def play(context, story):
    store = context.store = RecordStore()
    host = ReservingHost(store)
    host.now_s += 60
    host.receive()
    if "silent" in story:
        store.is_silent = True
    if "away" in story:
        store.is_away = True
    if "answer" in story:
        store.loses_answer = True
    context.first = 0 if "quiet" in story else await host.repeat_all()
    await before_second(host, store, story)
    if "again" in story:
        host.now_s += 1
        host.start()
    host.now_s += 3.5
    host.receive()
    await anyio.sleep(2 * PAUSE_S)
    if "readable" in story:
        store.value = b"\xc1"
    context.second = await host.repeat_all()
    context.host = host
    host.now_s += 12
    host.receive()
    await anyio.sleep(2 * PAUSE_S)
    context.third = await host.repeat_all()


async def before_second(host, store, story):
    if "older copy" in story:
        store.era += 1
        store.value, store.revision = None, 0
    if "in an era" in story:
        store.era += 1
        began_s = time.time() - (60 if "long ago" in story else 5)
        store.era_record = pack_era(store.era, began_s)
    if "returns" in story:
        store.is_silent = store.is_away = False
    if "writes" in story:
        store.revision += 1


@when("a host repeats all it may twice within 5 s, and once 12 s later: {story}")
def repeats_twice(context, story):
    pauses = mock.patch.multiple(
        retry_reserver, RESERVE_TIMEOUT_S=0.05, FAILURE_PAUSE_S=PAUSE_S
    )
    with pauses:
        anyio.run(play, context, story)


def is_within(count, bound):
    allowed = 0.2 * REQUESTS + 54
    least, most = {
        "all": (0.5 * allowed, 0.75 * (0.2 * 2 * REQUESTS + 54)),
        "part": (0.25 * allowed, 0.75 * allowed),
        "few": (1, 0.2 * allowed),
        "none": (0, 0),
        "at most few": (0, 0.2 * allowed),
    }[bound]
    return least <= count <= math.ceil(most)


@then("it sends {first}, then {second}, then {third}")
def sends(context, first, second, third):
    found = context.first, context.second, context.third
    bounds = first, second, third
    assert all(map(is_within, found, bounds)), found


@when("a store that gives no answers is asked for {count:d} repeats in {seconds:g} s")
def silent_store(context, count, seconds):
    async def scenario():
        store = RecordStore()
        store.is_silent = True
        host = ReservingHost(store)
        host.now_s += 60
        host.receive()
        context.waited_s = 0.0
        for _ in range(count):
            began_s = anyio.current_time()
            await host.reserver.grant("s")
            context.waited_s += anyio.current_time() - began_s
            await anyio.sleep(seconds / count)

    anyio.run(scenario)


@when("{count:d} calls wait for a reservation at once that gets no answer in time")
def wait_at_once(context, count):
    async def scenario():
        store = RecordStore()
        store.is_silent = True
        context.host = host = ReservingHost(store)
        host.now_s += 60
        host.receive()
        pauses = mock.patch.multiple(
            retry_reserver, RESERVE_TIMEOUT_S=0.05, FAILURE_PAUSE_S=PAUSE_S
        )
        with pauses:
            async with anyio.create_task_group() as tasks:
                for _ in range(count):
                    tasks.start_soon(host.reserver.grant, "s")
            store.is_silent = False
            await anyio.sleep(2 * PAUSE_S)
            context.granted = await host.repeat_all()

    anyio.run(scenario)


@then("repeats are granted again after the pause for one failure")
def granted_after_pause(context):
    assert is_within(context.granted, "part"), context.granted


@then("the calls have waited for {most:g} s in all at most")
def waited_at_most(context, most):
    assert context.waited_s <= most, context.waited_s


@then("its log has the line {kind}")
def has_line(context, kind):
    assert kind in context.host.log.kinds, context.host.log.kinds


@then("the store was called at most {most:d} times")
def called_at_most(context, most):
    assert context.store.calls <= most, context.store.calls


@when("{daemons:d} daemons with {requests:d} requests each repeat all they may")
def repeat_all(context, daemons, requests):
    context.repeats = 0
    for _ in range(daemons):
        budget = RetryBudget(0.2, 54, 10)
        for _ in range(requests):
            budget.record_request("s", 0.0)
        budget.record_daemons(daemons, 0.0)
        while reservation := budget.plan_reservation("s", 0.0):
            budget.confirm_reservation(reservation, 0.0)
        while budget.grant("s", 0.0):
            context.repeats += 1


@then("at most {most:d} repeats are sent in all")
def at_most_repeats(context, most):
    assert most / 2 < context.repeats <= most, context.repeats
