import time
from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import (
    Accounts,
    ClientAccount,
    DaemonRecord,
    Deployment,
    Quota,
    QuotaTolerance,
    QuotaUnit,
    RetryBudget,
    Succession,
    Takeover,
    coordinators,
)
from knapweedbridge_core.serving.cluster_state import (
    ClusterState,
    DaemonAnnounced,
    DaemonGone,
    DaemonNamed,
    DeploymentNamed,
    ProtocolNamed,
)
from knapweedbridge_core.serving.join_messages import DaemonJoined, JoinAcknowledged
from knapweedbridge_core.serving.messages import QuotaRequest
from knapweedbridge_core.serving.protocols import PROTOCOL
from knapweedbridge_daemon.serving.account_quotas import AccountQuotas
from knapweedbridge_daemon.serving.hub import Hub, Identity
from knapweedbridge_daemon.serving.joining import JoinAnnouncer
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_standins.virtual_loop import run_virtually

LEASE_S = 10.0
QUOTA = Quota(QuotaUnit.TOKENS, 4000, 4000)
ACCOUNT = ClientAccount("shop", ("digest",), quota=QUOTA)
TOLERANCE = QuotaTolerance(window_s=8.0, over=0.1, slack_units=0.0)
UNITS = 200
CALL_INTERVAL_S = 0.02
SETTLED_S = 20.0
AFTER_S = 14.0
DATA_CENTRES = {"h0": "d0", "h1": "d1", "h2": "d2"}


def record_of(name, incarnation=1):
    return DaemonRecord(name, incarnation, "a:1", DATA_CENTRES[name])


def first_of(names):
    candidates = {DATA_CENTRES[name]: [name] for name in names}
    return coordinators("shop", 1, candidates)[0]


class Daemon:
    """The quotas of one of three daemons, and its announcements."""

    def __init__(self, world, name, incarnation=1):
        self.world, self.name = world, name
        log = SimpleNamespace(
            info=lambda kind, **fields: None, error=lambda kind, **fields: None
        )
        self.hub = Hub(
            Identity(name, incarnation, DATA_CENTRES[name], "a:1"),
            None,
            RetryBudget(0.2, 50, 10),
            log,
            MetricsRegistry(),
            steady_s=anyio.current_time,
            succession=Succession(anyio.current_time(), 3.0, LEASE_S),
            lease_s=LEASE_S,
            tolerance=TOLERANCE,
        )
        self.joining = JoinAnnouncer(self.hub, self.send)
        self.quotas = AccountQuotas(self.hub, self.send)
        self.is_served = True

    def take(self, event):
        self.hub.cluster.take(event, anyio.current_time())
        self.hub.cluster_changed.tell()

    def learn(self, records):
        """Read a list of daemons and the configuration from the store."""
        for each, protocol in records:
            self.take(DaemonNamed(each))
            self.take(ProtocolNamed(each.name, each.incarnation, protocol))
        deployment = Deployment(1, (), {}, accounts=Accounts((ACCOUNT,)))
        self.take(DeploymentNamed(deployment))
        self.hub.synced = True
        self.hub.known_revision = 5

    async def run(self):
        """Follow the store, and announce this daemon."""
        self.hub.lease_revision = 5
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.joining.run)
            while True:
                if self.is_served:
                    now_s = anyio.current_time()
                    self.hub.store_age.confirm(now_s)
                    self.hub.lease.record_listing(now_s, LEASE_S, now_s)
                await anyio.sleep(0.5)

    async def send(self, daemon, message):
        if daemon == self.name or self.world.is_linked(self.name, daemon):
            await self.world.daemons[daemon].handle(self.name, message)

    async def handle(self, daemon, message):
        if isinstance(message, DaemonJoined | JoinAcknowledged):
            await self.joining.handle(daemon, message)
        else:
            await self.quotas.handle(daemon, message)


class World:
    """Three daemons; counts the units that coordinators grant."""

    def __init__(self):
        self.daemons = {}
        self.cut = {}
        self.granted = []
        self.run_calls = []
        self.first = first_of(DATA_CENTRES)
        self.second = first_of(set(DATA_CENTRES) - {self.first})
        self.third = next(iter(set(DATA_CENTRES) - {self.first, self.second}))
        self.listed_s = 0.0

    def is_linked(self, one, other):
        now_s = anyio.current_time()
        return all(now_s >= self.cut.get(name, 0.0) for name in (one, other))

    async def call(self, name):
        """Send calls to one daemon, far more than the quota allows."""
        while True:
            daemon = self.daemons[name]
            if await daemon.quotas.take(ACCOUNT, UNITS) is None:
                self.run_calls.append((anyio.current_time(), name))
            await anyio.sleep(CALL_INTERVAL_S)

    def count_grants(self, daemon):
        grant = daemon.quotas.parts.grant

        def counted(message):
            found = grant(message)
            if found.units:
                now_s = anyio.current_time()
                self.granted.append((now_s, daemon.name, found.units))
            return found

        daemon.quotas.parts.grant = counted

    def add(self, name, incarnation=1):
        daemon = self.daemons[name] = Daemon(self, name, incarnation)
        self.count_grants(daemon)
        return daemon


async def play(context, state="", rollback=None):
    context.world = world = World()
    protocol = 6 if "protocol 6" in state else PROTOCOL
    old = [(record_of(world.second), protocol), (record_of(world.third), PROTOCOL)]
    async with anyio.create_task_group() as tasks:
        for name in (world.second, world.third):
            daemon = world.add(name)
            daemon.learn(old)
            tasks.start_soon(daemon.run)
        for name in (world.second, world.third):
            tasks.start_soon(world.call, name)
        await anyio.sleep(SETTLED_S)
        second, third = world.daemons[world.second], world.daemons[world.third]
        now_s = world.listed_s = anyio.current_time()
        second.is_served = False
        if "cut off" in state:
            world.cut[world.second] = now_s + 1000
        elif "loses messages" in state:
            world.cut[world.second] = now_s + 0.5
        first = world.add(world.first, 2)
        if rollback is not None:
            roll_back(first, *rollback)
        new = record_of(world.first, 2)
        first.learn([*old, (new, PROTOCOL)])
        third.take(DaemonNamed(new))
        third.take(ProtocolNamed(new.name, new.incarnation, PROTOCOL))
        tasks.start_soon(first.run)
        if "no longer listed" in state:
            await anyio.sleep(6)
            # Its lease has ended by its own clock before.
            second.hub.lease.record_loss()
            for each in (first, third):
                each.take(DaemonGone(second.name))
        elif "starts again" in state:
            await anyio.sleep(3)
            second.hub.lease.record_loss()
            for each in (first, third):
                each.take(DaemonNamed(record_of(second.name, 2)))
        await anyio.sleep(world.listed_s + AFTER_S - anyio.current_time())
        tasks.cancel_scope.cancel()


def roll_back(daemon, ago_s, recorded):
    """Let a daemon start in an era of the store that has begun some time ago."""
    daemon.hub.note_store_era(2)
    if recorded == "a daemon has recorded when":
        daemon.hub.record_era(2, time.time() - ago_s)
    elif recorded == "the secret is of that era":
        daemon.hub.record_era(2, 0.0)


@given("three daemons, of which the first coordinator of an account is down")
def first_is_down(context):
    pass


@when(
    "it is listed again while the store turns the second one away, which {state}",
)
def is_listed_again(context, state):
    run_virtually(play(context, state))


@when("the store rolls back {ago:g} s before it is listed, and {recorded}")
def rolls_back(context, ago, recorded):
    run_virtually(play(context, "hears of it", (ago, recorded)))


@then("it grants units from {least:g} to {most:g} s after its listing")
def grants_from(context, least, most):
    world = context.world
    began_s = min(at_s for at_s, name, _ in world.granted if name == world.first)
    assert least <= began_s - world.listed_s <= most, began_s - world.listed_s


@then("in no window are more units granted than the quota allows")
def within_quota(context):
    granted, window_s = context.world.granted, TOLERANCE.window_s
    allowed = (QUOTA.rate_per_s * window_s + QUOTA.burst) * (1 + TOLERANCE.over)
    most = max(
        sum(units for at_s, _, units in granted if 0 <= at_s - from_s < window_s)
        for from_s, _, _ in granted
    )
    assert most <= allowed, (most, allowed)


@then("calls at the second one are run again within {seconds:g} s of its listing")
def run_again(context, seconds):
    world = context.world
    after = [
        at_s - world.listed_s
        for at_s, name in world.run_calls
        if name == world.second and at_s > world.listed_s + 0.1
    ]
    assert after and min(after) <= seconds, after[:3]


async def list_anew(context, seconds):
    context.world = world = World()
    daemon = world.add(world.first)
    hub, now_s = daemon.hub, anyio.current_time()
    hub.cluster.take(DeploymentNamed(Deployment(1, (), {})), now_s)
    hub.cluster.take(DaemonNamed(record_of(world.first)), now_s)
    daemon.quotas.parts.refresh()
    accounts = Accounts((ACCOUNT,))
    hub.cluster.take(DeploymentNamed(Deployment(2, (), {}, accounts=accounts)), now_s)
    daemon.quotas.parts.refresh()
    await renew(daemon)
    await anyio.sleep(9)
    await renew(daemon)
    assert daemon.quotas.parts.grant(QuotaRequest("shop", UNITS, 0, 0)).units
    hub.lease.record_loss()
    await anyio.sleep(seconds)
    await renew(daemon)
    request = QuotaRequest("shop", 1, 100_000, 0)
    context.units = daemon.quotas.parts.grant(request).units


async def renew(daemon):
    """List a daemon under a lease, whose term no other daemon knows of yet."""
    hub, now_s = daemon.hub, anyio.current_time()
    hub.lease.record_listing(now_s, LEASE_S, now_s)
    hub.store_age.confirm(now_s)
    if not hub.succession.has_taken_over(hub.lease.term, now_s):
        hub.succession.begin_term(hub.lease.term, Takeover({}, now_s))
    await anyio.sleep(0.01)


@given("a daemon that coordinates an account since its configuration was added")
def coordinates_new(context):
    pass


@when("its lease ends and it is listed anew {how} {seconds:d} s")
def listed_anew(context, how, seconds):
    run_virtually(list_anew(context, seconds))


@then("it grants {least:d} to {most:d} units at once")
def grants_units(context, least, most):
    assert least <= context.units <= most, context.units


@given("a daemon that hears an announcement")
def hears_announcement(context):
    context.cluster = ClusterState()
    context.cluster.take(DaemonNamed(record_of("h0")), 0.0)
    event = DaemonAnnounced(record_of("h1"), PROTOCOL, LEASE_S)
    assert context.cluster.take(event, 0.0)
    assert context.cluster.protocol_of("h1") == PROTOCOL


@when("the store {says}")
def store_says(context, says):
    if "lists it" in says:
        context.cluster.take(DaemonNamed(record_of("h1")), 2.0)
    if "no longer" in says:
        context.cluster.take(DaemonGone("h1"), 3.0)


@then("the announced one is {listed} 11 s later")
def announced_is(context, listed):
    context.cluster.update_clock(11.0)
    found = "h1" in context.cluster.daemons
    assert found == (listed == "listed"), context.cluster.daemons
