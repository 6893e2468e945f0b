import random
from collections import Counter
from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import (
    ClusterState,
    DaemonRecord,
    Deployment,
    EndpointPaths,
    EndpointRecord,
    EngineLimits,
    EngineReport,
    Fleet,
    LearnedRates,
    LeaseClock,
    LoadTimes,
    ModelRef,
    OwnerRecord,
    Service,
    StoreOutage,
    Succession,
)
from knapweedbridge_core.serving.cluster_state import (
    DaemonNamed,
    EndpointGone,
    EndpointNamed,
    OwnerGone,
    OwnerNamed,
)
from knapweedbridge_core.serving.engine_calls import CALLS_MAX_AGE_S, EngineCalls
from knapweedbridge_core.serving.messages import CallsReport, EngineSnapshot
from knapweedbridge_daemon.serving.engine_owner import EngineOwner
from knapweedbridge_daemon.serving.lease_controller import LeaseController
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry

LIMITS = EngineLimits(8, 10_000, 4, 1000.0, 1.0)
DEPLOYMENT = Deployment(1, (), {"llm": Service("llm", "/", 10, LIMITS)})


def record(name, started_ms=1, leaving=False):
    return EndpointRecord(
        name, "llm", "a", "d0", 8, leaving, ("m",), started_ms=started_ms
    )


class Log:
    def info(self, kind, **fields):
        pass

    error = info


def hub_of(daemons, engines):
    cluster = ClusterState(deployment=DEPLOYMENT)
    for n in range(daemons):
        cluster.take(DaemonNamed(DaemonRecord(f"h{n}", 5, "a", "d0")), -100.0)
    for n in range(engines):
        cluster.take(EndpointNamed(record(f"e{n}")), -100.0)
        cluster.take(OwnerNamed(f"e{n}", OwnerRecord(f"h{n}", 5, 10)), -100.0)
    return SimpleNamespace(
        identity=SimpleNamespace(name="h0", data_centre="d0", incarnation=4),
        cluster=cluster,
        paths=EndpointPaths(),
        lease_s=3.0,
        lease_revision=5,
        lease=LeaseClock(float("inf")),
        load_times=LoadTimes(),
        outage=StoreOutage(3.0),
        succession=Succession(),
        rates=LearnedRates(),
        metrics=MetricsRegistry(),
        log=Log(),
        engine_limits=DEPLOYMENT.engine_limits,
        longest_pause_s=lambda service: None,
    )


@given("a daemon that has looked for engines to claim and found none")
def has_looked(context):
    context.hub = hub_of(daemons=2, engines=2)

    async def look():
        context.controller = LeaseController(context.hub, None)
        context.controller._started_s = -100.0
        assert not context.controller._due()

    anyio.run(look)


LEASE_ANEW = "this daemon's lease is renewed"
CHANGES = {
    "nothing changes": [],
    "the record of e1's owner goes": [OwnerGone("e1")],
    "e1's owner gives it up": [OwnerNamed("e1", OwnerRecord("", 5, 11))],
    "the host of e1's owner restarts": [DaemonNamed(DaemonRecord("h1", 6, "a", "d0"))],
    "the store lists e2": [EndpointNamed(record("e2"))],
    "the store lists e1 no more": [OwnerGone("e1"), EndpointGone("e1")],
}


@then("it finds {engines} to claim")
def finds(context, engines):
    async def look():
        # Long enough ago that each daemon's turn has come.
        return [each.name for each in context.controller._due()]

    found = anyio.run(look)
    assert found == ([] if engines == "none" else [engines]), found


def tell(context, name, scale):
    told = EngineSnapshot(
        name, 7, 0, [], 0, 0, 0, 0, ["m"], started_ms=1, pace_scale=float(scale)
    )
    assert context.fleet.apply_snapshot(told, 0.0)


@given("engines e0, e1 and e2 of which e1 has shown a scale of 1.5")
def engines_of_scale(context):
    context.fleet = Fleet()
    for n in range(3):
        context.fleet.listed(record(f"e{n}"), 0.0)
    tell(context, "e1", 1.5)


FLEET_CHANGES = {
    "nothing else is told": lambda fleet: None,
    "e1 is listed as leaving": lambda fleet: fleet.listed(
        record("e1", leaving=True), 0.0
    ),
    "e1 is listed no more": lambda fleet: fleet.unlisted("e1", 0.0, -1.0),
    "e1 is listed by a later start": lambda fleet: fleet.listed(record("e1", 2), 0.0),
}


@when("later {change}")
def changes(context, change):
    if change == LEASE_ANEW:
        context.hub.lease_revision = 20
        return
    name, told, scale = change.partition(" is told to have shown ")
    if told:
        tell(context, name, scale)
        return
    if change in FLEET_CHANGES:
        FLEET_CHANGES[change](context.fleet)
        return
    for store_event in CHANGES[change]:
        context.hub.cluster.take(store_event, -90.0)


@then("e0 goes by the scales {scales}")
def goes_by(context, scales):
    found = context.fleet.paced.scales(context.fleet.endpoints["e0"], 0.0)
    expected = [] if scales == "none" else [float(each) for each in scales.split(",")]
    assert sorted(found) == expected, found


@given(
    "{count:d} random words of 9 daemons of their calls on 5 models, some long silent"
)
def random_words(context, count):
    context.words = count


@then("after each the count of each model is the sum over the daemons heard of lately")
def counts_are_sums(context):
    luck, calls, known, now_s = random.Random(3), EngineCalls(), {}, 0.0
    models = [ModelRef("m", f"a{n}") for n in range(5)]
    for _ in range(context.words):
        now_s += luck.choice([0.01, 0.3])
        daemon = f"h{min(luck.randrange(30), 8)}"
        told = {each: luck.randrange(1, 4) for each in models if luck.random() < 0.4}
        calls.take(daemon, told, 0, now_s)
        known[daemon] = told, now_s
        if luck.random() < 0.1:
            calls.forget("h1")
            known.pop("h1", None)
        calls.forget_silent(now_s)
        known = {
            each: (told, heard_s)
            for each, (told, heard_s) in known.items()
            if now_s - heard_s <= CALLS_MAX_AGE_S
        }
        sums = Counter()
        for told, _ in known.values():
            sums.update(told)
        assert [calls.users(each) for each in models] == [sums[m] for m in models]
        assert set(calls.load_by_daemon()) == {d for d, (c, _) in known.items() if c}


class Passes(EngineOwner):
    passes = 0

    async def _step(self):
        self.passes += 1
        await super()._step()


@given("the task of an engine's owner in a pool of {daemons:d} daemons")
def owner_task(context, daemons):
    context.hub = hub_of(daemons, engines=1)
    context.told = []


@when("30 messages of other calls come in 0.27 s")
def messages_come(context):
    async def send(daemon, message):
        context.told.append((anyio.current_time(), message.others_calls))

    async def story():
        owner = Passes(
            context.hub,
            context.hub.cluster.fleet.endpoints["e0"],
            LIMITS,
            OwnerRecord("h0", 5, 10),
            send,
            None,
            None,
        )
        owner.controller.apply_report(
            EngineReport(0, ("m",), {}, {}), anyio.current_time()
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(owner._run_passes)
            await anyio.sleep(0.02)
            owner.passes = 0
            for n in range(30):
                owner.record_calls("h1", CallsReport("e0", {"m": n + 1}, 0, 1))
                await anyio.sleep(0.009)
            context.last_s = anyio.current_time()
            await anyio.sleep(0.4)
            context.passes = owner.passes
            tasks.cancel_scope.cancel()

    anyio.run(story, backend_options={"use_uvloop": True})


@then("the task makes at most {passes:d} passes, and tells the last within {age:g} s")
def few_passes(context, passes, age):
    assert context.passes <= passes, context.passes
    last_told = [at_s for at_s, calls in context.told if calls == 30]
    assert last_told and last_told[0] - context.last_s <= age, context.told
