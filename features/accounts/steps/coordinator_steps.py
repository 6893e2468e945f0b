from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import (
    Accounts,
    ClientAccount,
    DaemonRecord,
    Deployment,
    Quota,
    QuotaUnit,
    RetryBudget,
)
from knapweedbridge_core.serving.cluster_state import DaemonNamed, DeploymentNamed
from knapweedbridge_daemon.serving.account_quotas import AccountQuotas
from knapweedbridge_daemon.serving.hub import Hub, Identity
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_standins.virtual_loop import run_virtually

RATE = 4000
LEASE_S = 1000.0
SETTLED_S = 5.0
RECORDS = [DaemonRecord(name, 1, "a:1", "d0") for name in ("h0", "h1")]


class Peer:
    """The quotas of one of two daemons."""

    def __init__(self, record, peers, account):
        log = SimpleNamespace(info=lambda kind, **fields: None)
        identity = Identity(record.name, 1, record.data_centre, record.address)
        budget = RetryBudget(0.2, 50, 10)
        self.hub = Hub(
            identity, None, budget, log, MetricsRegistry(), steady_s=anyio.current_time
        )
        for each in RECORDS:
            self.hub.cluster.take(DaemonNamed(each), 0.0)
        self._peers = peers
        self._account = account
        self.quotas = AccountQuotas(self.hub, self._send)
        self.set_accounts(1, ())
        self.renew()

    def set_accounts(self, version, accounts):
        deployment = Deployment(version, (), {}, accounts=Accounts(accounts))
        self.hub.cluster.take(DeploymentNamed(deployment), 0.0)
        self.quotas.parts.refresh()

    def add_account(self, version=2):
        self.set_accounts(version, (self._account,))

    def renew(self):
        self.hub.lease.record_renewal(1e9, LEASE_S)
        self.hub.store_age.confirm(1e9)

    async def _send(self, daemon, message):
        peer = self._peers[daemon]
        await peer.quotas.handle(self.hub.identity.name, message)


@given(
    "two daemons and an account with {rate:d} tokens a second "
    "coordinated by one of them"
)
def two_daemons(context, rate):
    quota = Quota(QuotaUnit.TOKENS, rate, rate)
    context.account = ClientAccount("shop", ("digest",), quota=quota)


async def lag(coordinator, state):
    """Put the coordinator into a state that ends by itself after some time."""
    if state == "hears of the account 0.2 s later":
        await anyio.sleep(0.2)
        coordinator.add_account()
    elif state == "hears of the account 5 s later":
        await anyio.sleep(5)
        coordinator.add_account()
    elif state == "has no lease for 0.2 s":
        coordinator.hub.lease.record_loss()
        await anyio.sleep(0.2)
        coordinator.renew()


def coordinator_of(account):
    """Return the daemon that coordinates an account's only part."""
    one = Peer(RECORDS[0], {}, account)
    one.add_account()
    return one.quotas.parts.coordinators(account.name)[0]


async def take_units(account, state):
    async with anyio.create_task_group() as tasks:
        peers = {}
        for record in RECORDS:
            peers[record.name] = Peer(record, peers, account)
        coordinator = peers[coordinator_of(account)]
        requester = next(each for each in peers.values() if each is not coordinator)
        requester.add_account()
        if "hears" not in state and "taken over" not in state:
            coordinator.add_account()
            await anyio.sleep(SETTLED_S)
        if "taken over" in state:
            coordinator.hub.cluster.deployment = None
            coordinator.quotas.parts._seen = (None, None)
            coordinator.add_account(3)
            await anyio.sleep(0.8)
        if "has given all" in state:
            while await requester.quotas.take(account, 2000) is None:
                pass
        tasks.start_soon(lag, coordinator, state)
        await anyio.sleep(0)
        began_s = anyio.current_time()
        refusal = await requester.quotas.take(account, 200)
        tasks.cancel_scope.cancel()
    return refusal, anyio.current_time() - began_s


@when("a call of 200 tokens comes while the coordinator {state}")
def call_comes(context, state):
    context.refusal, context.took_s = run_virtually(take_units(context.account, state))


@then("it is run")
def is_run(context):
    assert context.refusal is None, context.refusal


@then("it is run at once")
def is_run_at_once(context):
    assert context.refusal is None, context.refusal
    assert context.took_s < 0.01, context.took_s


@then("it is refused as {reason}")
def is_refused(context, reason):
    assert context.refusal and context.refusal.reason == reason, context.refusal
