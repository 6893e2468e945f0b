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
ENGINE = EndpointRecord("e1", "llm", "a", "d0", 8, False, ("m",))
LLM = Service("llm", "/", 10, EngineLimits(8, 10_000, 4, 1000.0, 1.0))


def daemon(name, incarnation=5):
    return DaemonRecord(name, incarnation, "a:1", "d0")


@given("h0, which started {started:g} s ago and last ordered e1 {ordered}")
def host_started(context, started, ordered):
    log = SimpleNamespace(info=lambda kind, **fields: None)
    context.hub = hub = Hub(
        Identity("h0", 5, "d0", "a:1"),
        None,
        RetryBudget(0.2, 50, 10),
        log,
        MetricsRegistry(),
        succession=Succession(NOW_S - started, TURN_S),
    )
    context.started_s = NOW_S - started
    if ordered != "never":
        seconds = float(ordered.removesuffix(" s ago"))
        hub.succession.record_action("e1", NOW_S - seconds)
    for event in (
        DeploymentNamed(Deployment(1, (), {"llm": LLM})),
        EndpointNamed(ENGINE),
        DaemonNamed(daemon("h0")),
    ):
        hub.cluster.take(event, NOW_S - 90)


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


@then("it may claim e1: {may}")
def may_claim_engine(context, may):
    async def due():
        await anyio.sleep(context.started_s)
        controller = LeaseController(context.hub, None)
        await anyio.sleep(NOW_S - anyio.current_time())
        return [each.name for each in controller._due()]

    found = run_virtually(due())
    assert found == (["e1"] if may == "yes" else []), found
