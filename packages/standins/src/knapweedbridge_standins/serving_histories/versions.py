"""Versions of one adapter that are named in series, beside late news and restarts."""

import random
from collections import deque
from dataclasses import dataclass

from knapweedbridge_core.serving import (
    ClusterState,
    Endpoint,
    EndpointRecord,
    Fleet,
    LeastCostPlacement,
    LoadOn,
    ModelRef,
    PlacementRequest,
    SendTo,
    WaitFor,
)
from knapweedbridge_core.serving.cluster_state import VersionNamed
from knapweedbridge_core.serving.endpoint import HeldAdapter
from knapweedbridge_daemon.serving.first_byte_timeouts import WITHDRAWAL_MARGIN_S

DAEMONS = 4
ENGINES = 5
PLAYED_S = 30.0
STEP_S = 0.05

BOUND_S = 5.0
"""How long after a version was acknowledged work may begin on an older one."""

LATE_NEWS_S = 2.5
"""The longest that a daemon in touch with the store may hear nothing of it."""

QUEUED_TOKENS = 80_000
"""The most that an engine has yet to read before a call."""

LATE_BEGIN_S = 0.9
"""The longest from a placement to the first token, beside what is forecast."""

MODEL = ModelRef("m", "x")


class _Engine:
    """An engine, and which version it holds from when on."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.version = 1
        self.loading: tuple[float, int] | None = None


class _Daemon:
    """A daemon's beliefs, and up to when it knows what the store acknowledged."""

    def __init__(self) -> None:
        self.cluster = ClusterState()
        self.known_s = float("-inf")
        self.heard = 0


@dataclass(slots=True)
class _Run:
    """A call that waits in its engine."""

    daemon: _Daemon
    version: int
    begins_s: float
    is_older: bool


class _History:
    """One seeded run."""

    def __init__(self, seed: int) -> None:
        self._luck = random.Random(seed)
        self._now_s = 100.0
        self._named: list[tuple[float, int]] = []
        self._engines = [_Engine(f"e{n}") for n in range(ENGINES)]
        self._daemons = [_Daemon() for _ in range(DAEMONS)]
        self._placement = LeastCostPlacement()
        self._next_s: deque[float] = deque()
        self._runs: list[_Run] = []
        self.broken: list[str] = []
        self.served = 0

    def play(self) -> None:
        """Play all of it."""
        ends_s = self._now_s + PLAYED_S
        while self._now_s < ends_s:
            self._now_s += STEP_S
            self._name()
            self._load()
            for place in range(DAEMONS):
                self._hear(place)
                if self._luck.random() < 0.5:
                    self._call(self._daemons[place])
            self._begin_due()

    def _name(self) -> None:
        """Name versions now and then, in series whose gaps are of one kind each."""
        if not self._next_s:
            gap_s = self._luck.choice([0.2, 1.0, 2.6, 4.9, 7.0])
            at_s = self._now_s + self._luck.uniform(0.0, 8.0)
            for _ in range(self._luck.randrange(1, 8)):
                self._next_s.append(at_s)
                at_s += gap_s * self._luck.uniform(0.7, 1.3)
        if self._next_s[0] <= self._now_s:
            self._next_s.popleft()
            newest = self._named[-1][1] if self._named else 1
            step = self._luck.choice([1, 1, 1, 3])
            self._named.append((self._now_s, newest + step))

    def _hear(self, place: int) -> None:
        """Have a daemon read the store, hear nothing for a while, or start anew."""
        daemon = self._daemons[place]
        if self._luck.random() < 0.002:
            daemon = self._daemons[place] = _Daemon()
        silent_s = self._now_s - daemon.known_s
        if self._luck.random() > 0.05 and silent_s < LATE_NEWS_S - STEP_S:
            return
        news = self._named[daemon.heard :]
        if self._luck.random() < 0.3:
            # A relay hands on the newest item of a key alone.
            news = news[-1:]
        for _, version in news:
            store_event = VersionNamed(MODEL, version)
            daemon.cluster.take(store_event, self._now_s, known_s=daemon.known_s)
        daemon.heard = len(self._named)
        daemon.known_s = self._now_s

    def _load(self) -> None:
        for engine in self._engines:
            if engine.loading and engine.loading[0] <= self._now_s:
                engine.version, engine.loading = engine.loading[1], None

    def _fleet(self) -> Fleet:
        fleet = Fleet()
        for engine in self._engines:
            record = EndpointRecord(engine.name, "s", "a:1", "d", 64, False, ("m",))
            endpoint = fleet.listed(record, self._now_s)
            endpoint.owner, endpoint.places_free = "h", 1
            if self._luck.random() < 0.5:
                endpoint.others_unread_tokens = self._luck.randrange(QUEUED_TOKENS)
            held = HeldAdapter(engine.version, self._now_s, 1)
            if engine.loading:
                held = HeldAdapter(engine.loading[1], engine.loading[0])
            endpoint.held[MODEL] = held
        return fleet

    def _call(self, daemon: _Daemon) -> None:
        versions = daemon.cluster.servable_versions(MODEL, self._now_s)
        ask = PlacementRequest(MODEL, versions, "d")
        engines = self._fleet().reachable("s", self._now_s)
        self._luck.shuffle(engines)
        choice = self._placement.choose(ask, engines, self._now_s)
        if isinstance(choice, LoadOn):
            self._order(choice.endpoint.name, daemon)
        elif isinstance(choice, SendTo):
            if choice.copy_to is not None:
                self._order(choice.copy_to.name, daemon)
            self._send(daemon, choice.endpoint)
        else:
            assert isinstance(choice, WaitFor), choice

    def _order(self, name: str, daemon: _Daemon) -> None:
        (engine,) = (each for each in self._engines if each.name == name)
        if engine.loading is None:
            newest = daemon.cluster.newest_version(MODEL) or 1
            engine.loading = self._now_s + self._luck.uniform(0.05, 1.5), newest

    def _send(self, daemon: _Daemon, endpoint: Endpoint) -> None:
        version = endpoint.held[MODEL].version
        first_s = self._placement.rates.first_event_s(endpoint, 0, self._now_s)
        begins_s = self._now_s + first_s + self._luck.uniform(0.0, LATE_BEGIN_S)
        is_older = version < (daemon.cluster.newest_version(MODEL) or 0)
        self._runs.append(_Run(daemon, version, begins_s, is_older))

    def _begin_due(self) -> None:
        """Begin what is due, but for what its daemon has given up."""
        for run in self._runs:
            until_s = run.daemon.cluster.begins_until_s(MODEL, run.version)
            if run.daemon not in self._daemons:
                # Its connections were closed as the daemon ended.
                continue
            if until_s - WITHDRAWAL_MARGIN_S <= min(run.begins_s, self._now_s):
                if run.is_older:
                    self._break(run, "sent to an older version, is given up")
            elif run.begins_s <= self._now_s:
                self.served += 1
                self._check(run)
        self._runs = [each for each in self._runs if self._waits(each)]

    def _waits(self, run: _Run) -> bool:
        until_s = run.daemon.cluster.begins_until_s(MODEL, run.version)
        ends_s = min(run.begins_s, until_s - WITHDRAWAL_MARGIN_S)
        return run.daemon in self._daemons and ends_s > self._now_s

    def _check(self, run: _Run) -> None:
        for acknowledged_s, newer in self._named:
            since_s = run.begins_s - acknowledged_s
            if newer > run.version and since_s > BOUND_S:
                self._break(run, f"begins {since_s:.2f} s after version {newer}")
                return

    def _break(self, run: _Run, what: str) -> None:
        self.broken.append(f"{run.begins_s:.2f} s: version {run.version}: {what}")


def play_versions(seed: int) -> list[str]:
    """Return what began on a version whose successor was acknowledged too long ago."""
    history = _History(seed)
    history.play()
    if not history.served:
        history.broken.append("no call was served")
    return history.broken
