"""Calls to endpoints that name limits, while daemons are killed and cut off."""

import math
import random
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.serving import Backpressure, DaemonRecord
from knapweedbridge_daemon.serving.dialects import ResponseDetails
from knapweedbridge_standins.relay_pool import PoolDaemon, RelayPool
from knapweedbridge_standins.virtual_loop import run_virtually

DATA_CENTRES = 3
POOLS = (9, 24)
"""Daemons of a pool in which all hear all, and of one with relays."""

ENDPOINTS = ("e0", "e1")
SETTLED_S = 4.0
PLAYED_S = 40.0
CALLS_PER_S = 40.0
LIMITS_PER_S = (0.4, 1.0, 1.4, 3.0, 8.0)
CHANGED_EVERY_S = 8.0
TROUBLE_EVERY_S = 3.0
DOWN_S = 2.0
LEASE_S = 3.0
ANSWER_S = 0.05

CONTACT_S = 3.0
WINDOW_S = 4.0
TOLD_S = 0.5
OVER = 1.5
SLACK = 5
"""What operators accept: from `CONTACT_S` after a limit was named, in `WINDOW_S`, of
daemons that were told `TOLD_S` before."""


@dataclass(slots=True)
class _Arrival:
    """A call that an endpoint got, and whether the operators count it."""

    at_s: float
    counts: bool


class _LimitedEndpoint:
    """An endpoint that names a limit, changes it, and ends it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.limit_per_s: float | None = None
        self.limits: list[tuple[float, float]] = [(-math.inf, math.inf)]
        self.arrivals: list[_Arrival] = []
        self.told_s: dict[str, float] = {}

    def name_limit(self, limit_per_s: float | None) -> None:
        """Name a limit from now on, or none."""
        if self.limit_per_s is None or limit_per_s is None:
            self.told_s.clear()
        self.limit_per_s = limit_per_s
        limit = math.inf if limit_per_s is None else limit_per_s
        self.limits.append((anyio.current_time(), limit))

    def allowed(self, from_s: float, to_s: float) -> float:
        """Return the calls accepted in a span, by its highest limit."""
        since_s = from_s - CONTACT_S
        before = [limit for at_s, limit in self.limits if at_s <= since_s]
        within = [limit for at_s, limit in self.limits if since_s < at_s <= to_s]
        return OVER * max([before[-1], *within]) * (to_s - from_s) + SLACK


class _History:
    """One seeded run."""

    def __init__(self, seed: int, pool: RelayPool) -> None:
        self._luck = random.Random(seed)
        self._pool = pool
        self._endpoints = [_LimitedEndpoint(name) for name in ENDPOINTS]
        self._down: set[str] = set()
        self._troubled_s = dict.fromkeys(pool.daemons, -math.inf)

    async def change_limits(self) -> None:
        """Have endpoints name limits, and end them, until cancelled."""
        while True:
            endpoint = self._luck.choice(self._endpoints)
            endpoint.name_limit(self._luck.choice((None, *LIMITS_PER_S)))
            await anyio.sleep(self._luck.uniform(0, 2 * CHANGED_EVERY_S))

    async def trouble(self) -> None:
        """Kill daemons and cut them off, one after the other, until cancelled."""
        while True:
            await anyio.sleep(self._luck.uniform(0, 2 * TROUBLE_EVERY_S))
            name = self._luck.choice(sorted(self._pool.daemons))
            await self._luck.choice((self._kill, self._cut))(name)

    async def _kill(self, name: str) -> None:
        daemon = self._pool.daemons[name]
        self._down.add(name)
        self._pool.wire.cut.add(name)
        self._pool.unlist_daemon(name)
        await anyio.sleep(DOWN_S)
        daemon.link.permits._buckets.clear()
        for endpoint in daemon.hub.cluster.fleet.engines():
            endpoint.pressure = Backpressure()
        for limited in self._endpoints:
            limited.told_s.pop(name, None)
        self._heal(name)
        self._down.discard(name)

    async def _cut(self, name: str) -> None:
        self._pool.wire.cut.add(name)
        self._pool.store.cut_off.add(name)
        self._troubled_s[name] = math.inf
        await anyio.sleep(self._luck.uniform(0.5, 2 * LEASE_S))
        self._pool.unlist_daemon(name)
        await anyio.sleep(self._luck.uniform(0.0, LEASE_S))
        self._heal(name)
        self._troubled_s[name] = anyio.current_time()

    def _heal(self, name: str) -> None:
        self._pool.wire.cut.discard(name)
        self._pool.store.cut_off.discard(name)
        self._pool.list_daemon(name)

    async def call(self, tasks: TaskGroup) -> None:
        """Bring calls to all daemons until cancelled."""
        while True:
            await anyio.sleep(self._luck.expovariate(CALLS_PER_S))
            daemon = self._pool.daemons[self._luck.choice(sorted(self._pool.daemons))]
            if daemon.name not in self._down:
                endpoint = self._luck.choice(self._endpoints)
                tasks.start_soon(self._send, daemon, endpoint)

    async def _send(self, daemon: PoolDaemon, limited: _LimitedEndpoint) -> None:
        endpoint = daemon.hub.cluster.fleet.endpoints[limited.name]
        if not await daemon.link.permits.take(endpoint) or daemon.name in self._down:
            return
        now_s = anyio.current_time()
        told_s = limited.told_s.get(daemon.name, math.inf)
        in_touch = now_s - self._troubled_s[daemon.name] > CONTACT_S
        limited.arrivals.append(_Arrival(now_s, in_touch and told_s + TOLD_S < now_s))
        await anyio.sleep(ANSWER_S)
        if daemon.name in self._down:
            return
        answer = ResponseDetails(False, True, False, limit_per_s=limited.limit_per_s)
        await daemon.link.backpressure.take(endpoint, answer, now_s)
        if limited.limit_per_s is not None:
            limited.told_s.setdefault(daemon.name, anyio.current_time())

    def broken(self) -> list[str]:
        """Return the windows in which an endpoint got more than is accepted."""
        return [
            found
            for each in self._endpoints
            if (found := self._worst(each)) is not None
        ]

    @staticmethod
    def _worst(limited: _LimitedEndpoint) -> str | None:
        times = [each.at_s for each in limited.arrivals if each.counts]
        for last, end_s in enumerate(times):
            begin_s = end_s - WINDOW_S
            got = sum(begin_s < each <= end_s for each in times[: last + 1])
            allowed = limited.allowed(begin_s, end_s)
            if got > allowed:
                return f"{end_s:.2f} s: {limited.name} got {got}, accepted {allowed}"
        return None


async def _play(seed: int) -> list[str]:
    random.seed(seed)
    daemons = POOLS[seed % len(POOLS)]
    records = [
        DaemonRecord(f"h{n}", 1, "a:1", f"d{n % DATA_CENTRES}") for n in range(daemons)
    ]
    async with anyio.create_task_group() as tasks:
        pool = RelayPool(tasks, records)
        for name in ENDPOINTS:
            pool.store.list_endpoint(name)
        for daemon in pool.daemons.values():
            daemon.hub.lease.ends_s = math.inf
        history = _History(seed, pool)
        await anyio.sleep(SETTLED_S)
        for work in (history.change_limits, history.trouble):
            tasks.start_soon(work)
        tasks.start_soon(history.call, tasks)
        await anyio.sleep(PLAYED_S)
        tasks.cancel_scope.cancel()
    return history.broken()


def play_limits(seed: int) -> list[str]:
    """Return in which windows endpoints got more than they take."""
    return run_virtually(_play(seed))
