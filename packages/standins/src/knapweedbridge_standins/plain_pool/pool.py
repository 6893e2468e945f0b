"""Plays a pool's plain requests, in the order of their moments."""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from knapweedbridge_core.serving import Endpoint, EndpointRecord, PlainAsk
from knapweedbridge_standins.plain_pool.endpoints import ModelledEndpoint
from knapweedbridge_standins.plain_pool.ways import Way

SEND_S = 0.001
"""Time from a daemon to an endpoint, either way."""

MOST_SENDS = 3


@dataclass(slots=True, frozen=True)
class PlainSite:
    """What is played.

    Parameters
    ----------
    shares : tuple of float
        Parts of the demand by data centre, each with one endpoint.
    factors : tuple of float
        Times as long as usual that each endpoint takes.
    waiting : int
        Requests that wait at an endpoint whose slots are taken, before it refuses.
    """

    daemons: int = 71
    requests_per_s: float = 75.0
    shares: tuple[float, ...] = (0.45, 0.27, 0.18, 0.10)
    factors: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    slots: int = 6
    waiting: int = 0
    work_s: float = 0.09
    objective_s: float = 0.4
    lasts_s: float = 40.0
    warms_s: float = 5.0


@dataclass(slots=True)
class PlainFigures:
    """What came of it; requests that came while the pool warmed up are left out."""

    requests: int = 0
    late: int = 0
    unserved: int = 0
    refusals: int = 0
    messages: int = 0
    took_s: list[float] = field(default_factory=list)

    def add(self, other: "PlainFigures") -> None:
        """Add the figures of another run."""
        self.requests += other.requests
        self.late += other.late
        self.unserved += other.unserved
        self.refusals += other.refusals
        self.messages += other.messages
        self.took_s += other.took_s

    def late_share(self) -> float:
        """Return the part of requests that were late or not served."""
        return (self.late + self.unserved) / max(1, self.requests)


class PlainPool:
    """A pool before a few plain endpoints."""

    def __init__(self, site: PlainSite, way: Way, seed: int) -> None:
        self._site = site
        self._way = way
        self._rng = random.Random(seed)
        self._models = {
            f"e{n}": ModelledEndpoint(
                site.slots, site.waiting, factor, random.Random(f"{seed}/{n}")
            )
            for n, factor in enumerate(site.factors)
        }
        self._records = [
            EndpointRecord(name, "plain", "10.0.0.1:80", f"d{n}", site.slots, False)
            for n, name in enumerate(self._models)
        ]
        self._views: dict[str, list[Endpoint]] = defaultdict(
            lambda: [Endpoint(each) for each in self._records]
        )
        self._due: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self.figures = PlainFigures()

    def play(self) -> PlainFigures:
        """Play all requests to their ends."""
        at_s = 0.0
        while at_s < self._site.lasts_s:
            at_s += self._rng.expovariate(self._site.requests_per_s)
            self._at(at_s, self._request())
        while self._due:
            now_s, _, action = heapq.heappop(self._due)
            action(now_s)
        return self.figures

    def _at(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._due, (at_s, next(self._order), action))

    def _request(self) -> Callable[[float], None]:
        centres = range(len(self._site.shares))
        (centre,) = self._rng.choices(centres, self._site.shares)
        count = len(self._site.shares)
        daemon = self._rng.randrange(centre, self._site.daemons, count)
        work_s = self._rng.gammavariate(2.0, self._site.work_s / 2.0)
        return _Request(self, f"h{daemon}", f"d{centre}", work_s).place

    def note_end(self, request: "_Request", ended_s: float | None) -> None:
        """Count a request that was answered, or that nobody served."""
        if request.came_s < self._site.warms_s:
            return
        figures = self.figures
        figures.requests += 1
        figures.refusals += len(request.tried)
        figures.messages += request.messages
        if ended_s is None:
            figures.unserved += 1
            return
        figures.took_s.append(ended_s - request.came_s)
        figures.late += ended_s - request.came_s > self._site.objective_s


@dataclass(slots=True)
class _Request:
    pool: PlainPool
    daemon: str
    data_centre: str
    work_s: float
    came_s: float = -1.0
    messages: int = 0
    tried: set[str] = field(default_factory=set)

    def place(self, now_s: float) -> None:
        if self.came_s < 0:
            self.came_s = now_s
        pool = self.pool
        if len(self.tried) >= MOST_SENDS:
            pool.note_end(self, None)
            return
        site = pool._site
        ask = PlainAsk(self.data_centre, frozenset(self.tried), site.objective_s)
        view = pool._views[self.daemon]
        chosen = pool._way.choose(self.daemon, ask, view, now_s)
        self.messages += chosen.messages
        endpoint = chosen.endpoint
        pool._at(now_s + chosen.delay_s, lambda at_s: self._send(endpoint, at_s))

    def _send(self, endpoint: Endpoint, now_s: float) -> None:
        endpoint.own_calls += 1
        self.pool._way.began(self.daemon, endpoint, now_s)
        self.pool._at(now_s + SEND_S, lambda at_s: self._run(endpoint, now_s, at_s))

    def _run(self, endpoint: Endpoint, sent_s: float, now_s: float) -> None:
        end_s = self.pool._models[endpoint.name].run(self.work_s, now_s)
        back_s = (now_s if end_s is None else end_s) + SEND_S
        took_s = None if end_s is None else back_s - sent_s
        self.pool._at(back_s, lambda at_s: self._end(endpoint, took_s, at_s))

    def _end(self, endpoint: Endpoint, took_s: float | None, now_s: float) -> None:
        endpoint.own_calls -= 1
        self.messages += self.pool._way.ended(self.daemon, endpoint, took_s, now_s)
        if took_s is None:
            self.tried.add(endpoint.name)
            self.place(now_s)
        else:
            self.pool.note_end(self, now_s)
