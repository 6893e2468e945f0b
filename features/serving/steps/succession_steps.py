import re
import time
from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import (
    DaemonRecord,
    Deployment,
    EndpointRecord,
    EngineLimits,
    OwnerRecord,
    RetryBudget,
    Service,
    Succession,
    Takeover,
    claimants,
)
from knapweedbridge_core.serving.cluster_state import (
    DaemonNamed,
    DeploymentNamed,
    EndpointNamed,
    OwnerGone,
    OwnerNamed,
)
from knapweedbridge_daemon.serving.hub import Hub, Identity
from knapweedbridge_daemon.serving.lease_controller import LeaseController
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_standins.virtual_loop import run_virtually

NOW_S = 100.0
TURN_S = 3.0
LEASE_S = 10.0
ENGINE = EndpointRecord("e1", "llm", "a", "d0", 8, False, ("m",))
LLM = Service("llm", "/", 10, EngineLimits(8, 10_000, 4, 1000.0, 1.0))


def daemon(name, incarnation=5):
    return DaemonRecord(name, incarnation, "a:1", "d0")


def make_hub(context, started):
    log = SimpleNamespace(info=lambda kind, **fields: None)
    context.hub = hub = Hub(
        Identity("h0", 5, "d0", "a:1"),
        None,
        RetryBudget(0.2, 50, 10),
        log,
        MetricsRegistry(),
        succession=Succession(NOW_S - started, TURN_S, LEASE_S),
        lease_s=LEASE_S,
    )
    context.started_s = NOW_S - started
    return hub


def list_engine(hub):
    """List h0 and e1, long ago."""
    for event in (
        DeploymentNamed(Deployment(1, (), {"llm": LLM})),
        EndpointNamed(ENGINE),
        DaemonNamed(daemon("h0")),
    ):
        hub.cluster.take(event, NOW_S - 90)


@given("h0, which started {started:g} s ago and last ordered e1 {ordered}")
def host_started(context, started, ordered):
    hub = make_hub(context, started)
    if ordered != "never":
        seconds = float(ordered.removesuffix(" s ago"))
        hub.succession.record_action("e1", NOW_S - seconds)
    list_engine(hub)


@given("h0, which started {started:g} s ago in an era of the store that {era}")
def host_started_in_era(context, started, era):
    hub = make_hub(context, started)

    async def begin():
        await anyio.sleep(NOW_S - started)
        hub.note_store_era(2)
        if era == "began with the first secret":
            hub.record_era(2, 0.0)
        elif era != "has no record":
            ago_s = float(re.search(r"began (\d+) s", era)[1])
            hub.record_era(2, time.time() - ago_s)

    run_virtually(begin())
    list_engine(hub)


@given("the store rolls back {ago:g} s ago")
def rolls_back(context, ago):
    context.hub.succession.record_rollback(NOW_S - ago, knows_holders=True)


def take(context, event, ago_s=0.0):
    context.hub.cluster.take(event, NOW_S - ago_s)


def own(owner, number, incarnation=5):
    return OwnerNamed("e1", OwnerRecord(owner, incarnation, number))


@given("of e1's owner, {record}")
def owner_is(context, record):
    if record.startswith("h1 started again"):
        ago_s = float(record.split()[3])
        take(context, DaemonNamed(daemon("h1", 6)), 80)
        take(context, own("h1", 10, 6), 80)
        take(context, DaemonNamed(daemon("h1", 7)), ago_s)
    elif record == "h1 released it 1 s ago":
        take(context, own("h1", 10, 6), 5)
        take(context, own("", 11, 6), 1)
    elif record == "h0's process before owned it":
        take(context, own("h0", 10, 4), 0.5)
    elif record == "its record was lost in an outage":
        take(context, own("h1", 10, 6), 5)
        take(context, OwnerGone("e1"), 1)
        context.hub.outage.record_rollback(NOW_S - 1)
    else:
        assert record == "there is no record"


@given("the hosts before it in e1's order have just started")
def hosts_started(context):
    found = [daemon("h0"), *(daemon(f"x{n}", 9) for n in range(200))]
    order = claimants("e1", "d0", found)
    first = order[: order.index("h0")]
    assert first
    for name in first:
        take(context, DaemonNamed(daemon(name, 9)), 1)
    take(context, own("h1", 10, 6), 5)


@when("h1 releases e1")
def released(context):
    take(context, own("", 11, 6))


@when("e1's record is lost with the store's")
def record_lost(context):
    take(context, OwnerGone("e1"), 1)


@given("former holders that may act until {until}")
def former_holders(context, until):
    rows = re.findall(r"(h\d) (\d+)", until)
    context.now_s = 0.0 if rows else 100.0
    context.takeover = Takeover({name: float(s) for name, s in rows}, context.now_s)


@when("{names} at {seconds:d}")
def holders_release(context, names, seconds):
    for name, at_s in re.findall(r"(h\d)\D* at (\d+)", f"{names} at {seconds}"):
        context.takeover.record_release(name, float(at_s))


@when("nobody releases")
def nobody_releases(context):
    pass


@then("duties are free from {seconds:d} s on")
def free_from(context, seconds):
    assert context.takeover.free_s == seconds, context.takeover.free_s


@then("it may claim e1: {may}")
def may_claim_engine(context, may):
    async def due():
        await anyio.sleep(context.started_s)
        controller = LeaseController(context.hub, None)
        await anyio.sleep(NOW_S - anyio.current_time())
        return [each.name for each in controller._due()]

    found = run_virtually(due())
    assert found == (["e1"] if may == "yes" else []), found
