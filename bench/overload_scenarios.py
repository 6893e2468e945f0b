"""Runs of the core in virtual time that the tests and the measurements share."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from knapweedbridge_core import Bridge, events
from knapweedbridge_core.actions import Action
from knapweedbridge_core.configuration import Configuration, build
from knapweedbridge_core.names import AdapterVersion, parse_adapter_version
from knapweedbridge_core.outcomes import Complete, NotRun, Outcome, Reason
from knapweedbridge_core.suspects import SuspectTable, Verdict
from knapweedbridge_standins.virtual_pool import FakeEngine, VirtualClock, VirtualPool

MODEL = "refill@1"
SEED = 11


class NoBlame(SuspectTable):
    """Baseline: nothing is held against anyone."""

    def judge(self, fingerprint: str, now_s: float) -> Verdict:
        """See `Blame.judge`."""
        return Verdict.FREE


class NaiveBlame(SuspectTable):
    """Baseline: two losses refuse, and suspects run beside each other."""

    def judge(self, fingerprint: str, now_s: float) -> Verdict:
        """See `Blame.judge`."""
        verdict = super().judge(fingerprint, now_s)
        return Verdict.FREE if verdict is Verdict.ALONE else verdict


BLAMES: dict[str, Callable[[], SuspectTable]] = {
    "no blame": NoBlame,
    "two losses, no quarantine": NaiveBlame,
    "two losses, quarantine": SuspectTable,
}


def bridge_maker(suspects: Callable[[], SuspectTable]) -> Callable[[str, str], Bridge]:
    """Return a maker of cores that keep blame in one way."""

    def make(host: str, data_centre: str) -> Bridge:
        bridge = Bridge(host, data_centre)
        bridge._context.suspects = suspects()
        return bridge

    return make


def configuration_of(
    engines: int,
    batch: int,
    models: tuple[str, ...] = (MODEL,),
    extra: dict[str, dict[str, str]] | None = None,
) -> Configuration:
    """Return a configuration with one team, adapters and engines."""
    sections: dict[str, dict[str, str]] = {"team optics": {}, **(extra or {})}
    for model in models:
        adapter = model.partition("@")[0]
        sections[f"adapter {adapter}"] = {"team": "optics", "base_model": "namib-7b"}
        sections[f"version {model}"] = {}
    for place in range(engines):
        sections[f"endpoint draft-{place}"] = {
            "address": f"127.0.0.1:{place + 1}",
            "data_centre": "dc1",
            "base_model": "namib-7b",
            "batch": str(batch),
        }
    configuration, faults = build(1, sections)
    assert not faults, faults
    return configuration


def make_pool(
    daemons: int,
    engines: int,
    *,
    batch: int = 16,
    service_s: Callable[[events.Request], float] = lambda request: 1.0,
    crashing: frozenset[str] = frozenset(),
    suspects: Callable[[], SuspectTable] = SuspectTable,
    models: tuple[str, ...] = (MODEL,),
    extra: dict[str, dict[str, str]] | None = None,
    make_bridge: Callable[[str, str], Bridge] | None = None,
) -> VirtualPool:
    """Return a pool whose engines all hold the adapters named."""
    clock = VirtualClock()
    held = {parse_adapter_version(model) for model in models}
    fakes = {
        name: FakeEngine(
            name, clock, batch, service_s, crashing=crashing, loaded=set(held)
        )
        for name in (f"draft-{place}" for place in range(engines))
    }
    configuration = configuration_of(engines, batch, models, extra)
    maker = make_bridge or bridge_maker(suspects)
    return VirtualPool(daemons, configuration, clock, fakes, maker)


def request_of(
    pool: VirtualPool,
    name: str,
    *,
    fingerprint: str,
    model: str = MODEL,
    caller: str = "counter",
    team: str = "optics",
    priority: str = "normal",
    within_s: float = 60.0,
) -> events.Request:
    """Return a request that arrives now."""
    return events.Request(
        request_id=name,
        caller=caller,
        team=team,
        model=AdapterVersion(*model.split("@")),
        service="",
        priority=priority,
        non_idempotent=False,
        idempotency_key="",
        deadline_s=pool.clock.now_s + within_s,
        fingerprint=fingerprint,
    )


@dataclass
class Askers:
    """Callers that send again through the next host until they get an answer.

    Parameters
    ----------
    sends : int
        Times a caller sends at most.
    """

    pool: VirtualPool
    sends: int = 20
    pause_s: float = 0.3
    ended: dict[str, Outcome] = field(default_factory=dict)
    sent: Counter = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.pool.on_finish = self._finished

    def ask(self, fingerprint: str, host: int) -> None:
        """Send a request, again by the next host after each failure."""
        self.sent[fingerprint] += 1
        name = f"{fingerprint}-{self.sent[fingerprint]}-{host}"
        request = request_of(self.pool, name, fingerprint=fingerprint)
        self.pool.ask(self.pool.hosts[host], request)

    def _finished(self, name: str, outcome: Outcome) -> None:
        fingerprint, _, host = name.rsplit("-", 2)
        self.ended[fingerprint] = outcome
        if isinstance(outcome, Complete) or self.sent[fingerprint] >= self.sends:
            return
        if isinstance(outcome, NotRun) and outcome.reason is Reason.BLAMED:
            return
        following = (int(host) + 1) % len(self.pool.hosts)
        self.pool.clock.after(self.pause_s, lambda: self.ask(fingerprint, following))


@dataclass
class BlameFound:
    """What a run with a crashing request found."""

    endpoints_lost: int
    crashing_refused: bool
    innocents: int
    innocents_complete: int
    innocents_refused: int
    longest_s: float


def run_crashing(
    suspects: Callable[[], SuspectTable],
    *,
    innocents: int = 40,
    crashing: bool = True,
    engines: int = 6,
    restarts: int = 0,
    seed: int = SEED,
) -> BlameFound:
    """Send a crashing request among innocent ones, all on one engine at first.

    The innocent requests begin on the engine that the crashing one meets first;
    `restarts` restarts that engine by itself instead, with all of them running.
    """
    rng = random.Random(seed)
    bad = frozenset({"crash"} if crashing else ())
    pool = make_pool(4, engines, batch=64, crashing=bad, suspects=suspects)
    askers = Askers(pool)
    begun_s = pool.clock.now_s
    for engine in list(pool.engines.values())[1:]:
        engine.leaving = True
    pool.clock.run(3.0)
    for place in range(innocents):
        askers.ask(f"innocent{place}", rng.randrange(4))
    if crashing:
        askers.ask("crash", 0)
    pool.clock.run(0.03)
    for engine in pool.engines.values():
        engine.leaving = False
    for place in range(restarts):
        pool.clock.after(place * 5.0, list(pool.engines.values())[0].restart)
    pool.clock.run(150.0)
    outcomes = [askers.ended.get(f"innocent{place}") for place in range(innocents)]
    refused = [
        outcome
        for outcome in outcomes
        if isinstance(outcome, NotRun) and outcome.reason is Reason.BLAMED
    ]
    lost = sum(engine.losses for engine in pool.engines.values()) - restarts
    final = askers.ended.get("crash")
    ends_s = [
        at_s for name, (_, at_s) in pool.finished.items() if name.startswith("innocent")
    ]
    return BlameFound(
        lost,
        isinstance(final, NotRun) and final.reason is Reason.BLAMED,
        innocents,
        sum(isinstance(outcome, Complete) for outcome in outcomes),
        len(refused),
        max(ends_s, default=begun_s) - begun_s,
    )


LIST_LAG_S = 30.0
SIGNS = ("report", "refusal", "operator")


def deaf(host: str, data_centre: str) -> Bridge:
    """Return a core that believes the platform's list alone."""
    bridge = Bridge(host, data_centre)
    bridge._context.leaving.record = lambda endpoint, sign, now_s: False  # type: ignore
    return bridge


@dataclass
class LeavingFound:
    """What became of a leaving engine.

    Parameters
    ----------
    last_asked_s : float
        When it was given a request for the last time, after the first sign.
    """

    last_asked_s: float
    asked: int
    complete: int
    requests: int


def run_leaving(
    sign: str, *, signs: bool = True, per_s: float = 20.0, after_s: float = 4.3
) -> LeavingFound:
    """Let one of three engines leave under load, the list lagging."""
    pool = make_pool(4, 3, make_bridge=Bridge if signs else deaf)
    rng = random.Random(SEED)
    engine = pool.engines["draft-1"]
    asked = int(per_s * (LIST_LAG_S + 15.0))
    for place in range(asked):
        at_s = place / per_s
        host = rng.choice(pool.hosts)
        pool.clock.after(at_s, _asking(pool, host, f"r{place}"))
    pool.clock.run(after_s)
    began_s = pool.clock.now_s
    if sign == "operator":
        pool.tell("host-2", events.EndpointDrainRequested("draft-1", True))
    else:
        engine.leaving = True
        engine.refuses = sign == "refusal"
    pool.clock.run(LIST_LAG_S)
    pool.list_leaving("draft-1")
    pool.clock.run(30.0)
    later_s = [at_s - began_s for at_s in engine.asked_s if at_s > began_s]
    complete = sum(isinstance(out, Complete) for out, _ in pool.finished.values())
    return LeavingFound(max(later_s, default=0.0), len(later_s), complete, asked)


def _asking(pool: VirtualPool, host: str, name: str) -> Callable[[], None]:
    return lambda: pool.ask(host, request_of(pool, name, fingerprint=name))


class FirstComeFirstServed(Bridge):
    """Baseline: every request goes to an engine at once and waits there."""

    def __init__(self, host: str, data_centre: str) -> None:
        super().__init__(host, data_centre)
        gate = self.requests._gate
        gate.admit = lambda request: gate.admission.queue.add(request)  # type: ignore
        gate.concurrency_limit = lambda: 1_000_000  # type: ignore
        gate.refused_waiting = lambda: []  # type: ignore


class Watched(Bridge):
    """Notes when a waiting request is first hopeless by what its daemon knows.

    Looks after each event, so that whatever an event leaves waiting is seen.
    """

    def __init__(self, host: str, data_centre: str) -> None:
        super().__init__(host, data_centre)
        self.hopeless_s: dict[str, float] = {}

    def handle(self, event: Any, now_s: float) -> list[Action]:
        """See `Bridge.handle`."""
        actions = super().handle(event, now_s)
        gate = self.requests._gate
        for request, _ in gate.admission.infeasible(
            self.configuration, gate.concurrency_limit(), now_s
        ):
            self.hopeless_s.setdefault(request.request_id, now_s)
        return actions


class RefusedAtTheEnd(Watched):
    """Baseline: a waiting request is refused when no time is left to run it."""

    def __init__(self, host: str, data_centre: str) -> None:
        super().__init__(host, data_centre)
        gate = self.requests._gate
        admission, late = gate.admission, NotRun(Reason.OVERLOAD, 1.0)
        gate.refused_waiting = lambda: [  # type: ignore
            (request, late)
            for request in admission.queue
            if admission._is_late(request, 0.0, self._context.now_s)
        ]


ADMISSIONS: dict[str, Callable[[str, str], Bridge]] = {
    "first come first served": FirstComeFirstServed,
    "admission, refused at the end": RefusedAtTheEnd,
    "admission": Watched,
}
WITHIN_S = {"interactive": 2.0, "normal": 5.0, "batch": 20.0}
SERVICE_S = 0.5
# Events of the same virtual time differ by the rounding of their sums.
AT_ONCE_S = 1e-6
MIX = (("interactive", 0.3), ("normal", 0.3), ("batch", 0.4))


@dataclass
class OverloadFound:
    """What a run under load gave.

    Parameters
    ----------
    goodput : float
        Answers within their deadline, as a part of the engines' capacity.
    interactive_p95_s : float
        95th percentile of the time to an answer of interactive requests.
    answered : dict of str to float
        Part of the requests of each priority answered in time.
    refused, refused_on_arrival : int
        Requests refused, and those of them refused in the event of their arrival.
    refused_p95_s : float
        95th percentile of the age at the refusal, in seconds.
    held_back : int
        Refused requests that an event left waiting though they were hopeless.
    held_back_longest_s : float
        The longest time from being hopeless to the refusal, in seconds.
    """

    goodput: float
    interactive_p95_s: float
    answered: dict[str, float]
    refused: int
    refused_on_arrival: int
    refused_p95_s: float
    held_back: int
    held_back_longest_s: float


def run_overload(
    *,
    admission: str = "admission",
    times: float = 2.0,
    for_s: float = 60.0,
    seed: int = SEED,
) -> OverloadFound:
    """Offer a multiple of what three engines can serve, by three daemons."""
    rng = random.Random(seed)
    batch, engines = 8, 3
    maker = ADMISSIONS[admission]
    pool = make_pool(
        3, engines, batch=batch, service_s=lambda request: SERVICE_S, make_bridge=maker
    )
    capacity_per_s = engines * batch / SERVICE_S
    begun_s = pool.clock.now_s
    priorities, weights = zip(*MIX, strict=True)
    at_s, place = 0.0, 0
    while at_s < for_s:
        at_s += rng.expovariate(times * capacity_per_s)
        place += 1
        priority = rng.choices(priorities, weights)[0]
        host = rng.choice(pool.hosts)
        name = f"{priority}-{place}"
        pool.clock.after(at_s, _asking_with(pool, host, name, priority))
    pool.clock.run(for_s + 30.0)
    return _judge_overload(pool, begun_s, for_s, capacity_per_s)


def _asking_with(
    pool: VirtualPool, host: str, name: str, priority: str
) -> Callable[[], None]:
    def ask() -> None:
        request = request_of(
            pool,
            name,
            fingerprint=name,
            priority=priority,
            within_s=WITHIN_S[priority],
        )
        pool.ask(host, request)

    return ask


def _judge_overload(
    pool: VirtualPool, begun_s: float, for_s: float, capacity_per_s: float
) -> OverloadFound:
    asked: Counter = Counter()
    in_time: Counter = Counter()
    good, interactive_s, refused_s = 0, [], []
    held_s = []
    hopeless_s = _hopeless_s(pool)
    for name, (outcome, at_s) in pool.finished.items():
        request = pool.requests[name]
        arrived_s = request.deadline_s - WITHIN_S[request.priority]
        asked[request.priority] += 1
        took_s = at_s - arrived_s
        if isinstance(outcome, NotRun):
            refused_s.append(took_s)
            held_s.append(at_s - hopeless_s.get(name, at_s))
        if not isinstance(outcome, Complete) or at_s > request.deadline_s:
            continue
        in_time[request.priority] += 1
        good += at_s <= begun_s + for_s
        if request.priority == "interactive":
            interactive_s.append(took_s)
    return OverloadFound(
        good / (capacity_per_s * for_s),
        _p95(interactive_s),
        {name: in_time[name] / max(asked[name], 1) for name in WITHIN_S},
        len(refused_s),
        sum(took_s < AT_ONCE_S for took_s in refused_s),
        _p95(refused_s),
        sum(waited_s >= AT_ONCE_S for waited_s in held_s),
        max(held_s, default=0.0),
    )


def _hopeless_s(pool: VirtualPool) -> dict[str, float]:
    found: dict[str, float] = {}
    for bridge in pool.bridges.values():
        found |= getattr(bridge, "hopeless_s", {})
    return found


def _p95(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[int(0.95 * (len(ordered) - 1))] if ordered else float("nan")
