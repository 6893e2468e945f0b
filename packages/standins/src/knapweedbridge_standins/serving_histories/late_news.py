"""Endpoints that leave while relays, their links and the store are in trouble."""

import random
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import anyio

from knapweedbridge_core.serving import DaemonRecord
from knapweedbridge_standins.relay_pool import RelayPool
from knapweedbridge_standins.virtual_loop import run_virtually

DATA_CENTRES = 2
DAEMONS = 24
SETTLED_S = 4.0
PLAYED_S = 30.0
CHANGES_PER_S = 20.0
TROUBLE_EVERY_S = 1.5
LEAVING_EVERY_S = 0.8
LONGEST_TROUBLE_S = 6.0
LOOK_S = 0.05

KNOWN_WITHIN_S = 3.0
"""How long after the store's word a daemon that reaches the store may use an endpoint
that leaves: what operators of large pools allow."""

Trouble = Callable[[], Coroutine[Any, Any, None]]


class _Standing:
    """Since when each daemon has been without one kind of trouble."""

    def __init__(self, names: Iterable[str]) -> None:
        self._troubles = dict.fromkeys(names, 0)
        self._since_s = dict.fromkeys(self._troubles, 0.0)

    def begin(self, names: Iterable[str]) -> None:
        """Count a trouble of each as begun."""
        for name in names:
            self._troubles[name] += 1

    def end(self, names: Iterable[str]) -> None:
        """Count a trouble of each as over."""
        for name in names:
            self._troubles[name] -= 1
            self._since_s[name] = anyio.current_time()

    def since_s(self, name: str) -> float | None:
        """Return since when a daemon has been without; None where it is not."""
        return None if self._troubles[name] else self._since_s[name]


class _History:
    """One seeded run.

    Who reaches the store must know in time, and so must who is turned away by it and
    hears a relay that is not; each from when the last of its troubles was over.
    """

    def __init__(self, seed: int, pool: RelayPool) -> None:
        self._luck = random.Random(seed)
        self._pool = pool
        self._left_s: dict[str, float] = {}
        self._away = _Standing(pool.daemons)
        self._unheard = _Standing(pool.daemons)
        self._roles_since_s = 0.0
        self._known: set[tuple[str, str]] = set()
        self.broken: list[str] = []

    async def trouble(self) -> None:
        """Begin troubles that overlap, until cancelled."""
        kinds: list[Trouble] = [
            self._turn_away,
            self._turn_centre_away,
            self._cut,
            self._fill_link,
            self._lose,
            self._unlist,
        ]
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self._luck.uniform(0, 2 * TROUBLE_EVERY_S))
                tasks.start_soon(self._luck.choice(kinds))

    def _any_daemon(self) -> str:
        # Half of the time a relay: few daemons are, and all of this hangs on them.
        names = sorted(self._pool.daemons)
        cluster = self._pool.daemons[self._luck.choice(names)].hub.cluster
        relays = [name for each in cluster.relays.values() for name in each]
        return self._luck.choice(
            relays if relays and self._luck.random() < 0.5 else names
        )

    async def _last(self) -> None:
        await anyio.sleep(self._luck.uniform(0.2, LONGEST_TROUBLE_S))

    async def _turn_away(self) -> None:
        await self._turn_all_away([self._any_daemon()])

    async def _turn_centre_away(self) -> None:
        centre = f"d{self._luck.randrange(DATA_CENTRES)}"
        records = self._pool.records.values()
        names = [each.name for each in records if each.data_centre == centre]
        await self._turn_all_away([n for n in names if self._luck.random() < 0.7])

    async def _turn_all_away(self, names: list[str]) -> None:
        self._away.begin(names)
        self._pool.store.turned_away.update(names)
        await self._last()
        self._away.end(names)
        well = [name for name in names if self._away.since_s(name) is not None]
        self._pool.store.turned_away.difference_update(well)

    async def _cut(self) -> None:
        name = self._any_daemon()
        self._unheard.begin([name])
        self._pool.wire.cut.add(name)
        await self._turn_all_away([name])
        self._pool.wire.cut.discard(name)
        self._unheard.end([name])

    async def _fill_link(self) -> None:
        name, held_s = self._any_daemon(), self._pool.wire.held_s
        self._unheard.begin([name])
        for _ in range(self._luck.randrange(10, 50)):
            held_s[name] = held_s.get(name, 0.0) + 0.1
            await anyio.sleep(0.13)
        # What waits arrives before what is sent from now on.
        await anyio.sleep(held_s.pop(name, 0.0))
        self._unheard.end([name])

    async def _lose(self) -> None:
        path = self._any_daemon(), self._any_daemon()
        self._unheard.begin(path)
        self._pool.wire.lost.add(path)
        await self._last()
        self._pool.wire.lost.discard(path)
        self._unheard.end(path)

    async def _unlist(self) -> None:
        name = self._any_daemon()
        self._unheard.begin([name])
        self._pool.unlist_daemon(name)
        self._roles_since_s = anyio.current_time()
        await self._last()
        while self._away.since_s(name) is None:
            # It writes its record itself, once the store takes calls of it.
            await anyio.sleep(LOOK_S)
        self._pool.list_daemon(name)
        self._roles_since_s = anyio.current_time()
        self._unheard.end([name])

    async def leave(self) -> None:
        """Have endpoints say that they leave, one after the other, until cancelled."""
        number = 0
        while True:
            await anyio.sleep(self._luck.uniform(0, 2 * LEAVING_EVERY_S))
            number += 1
            self._pool.store.list_endpoint(f"e{number}", leaving=True)
            self._left_s[f"e{number}"] = anyio.current_time()

    async def check(self) -> None:
        """Note who should know of a leaving and does not, until cancelled."""
        while True:
            await anyio.sleep(LOOK_S)
            now_s = anyio.current_time()
            for name in self._pool.daemons:
                self._check_one(name, now_s)

    def _check_one(self, name: str, now_s: float) -> None:
        daemon = self._pool.daemons[name]
        for endpoint, left_s in self._left_s.items():
            if daemon.knows_leaving(endpoint):
                self._known.add((name, endpoint))
            elif (name, endpoint) in self._known:
                self._note(now_s, f"{name} knew that {endpoint} leaves")
            else:
                owed_since_s = self._owed_since_s(name)
                late_s = now_s - max(left_s, owed_since_s) - KNOWN_WITHIN_S
                if late_s > LOOK_S:
                    self._note(now_s, f"{name} does not know that {endpoint} leaves")

    def _owed_since_s(self, name: str) -> float:
        """Return since when a daemon can know what the store says."""
        reaches_since_s = self._away.since_s(name)
        if reaches_since_s is not None:
            return reaches_since_s
        heard_since_s = self._unheard.since_s(name)
        if heard_since_s is None:
            return float("inf")
        waits = [self._heard_since_s(relay) for relay in self._relays_of(name)]
        heard_since_s = max(heard_since_s, self._roles_since_s)
        return max(heard_since_s, min(waits, default=float("inf")))

    def _relays_of(self, name: str) -> list[str]:
        centre = self._pool.records[name].data_centre
        relays = self._pool.daemons[name].hub.cluster.relays.get(centre, [])
        return [relay for relay in relays if relay != name]

    def _heard_since_s(self, relay: str) -> float:
        standings = self._away.since_s(relay), self._unheard.since_s(relay)
        known = [each for each in standings if each is not None]
        return max(known) if len(known) == len(standings) else float("inf")

    def _note(self, now_s: float, what: str) -> None:
        if not any(what in each for each in self.broken):
            self.broken.append(f"{now_s:.2f} s: {what}")


def _records() -> list[DaemonRecord]:
    return [
        DaemonRecord(f"h{n}", 1, "a:1", f"d{n % DATA_CENTRES}") for n in range(DAEMONS)
    ]


async def _play(seed: int) -> list[str]:
    async with anyio.create_task_group() as tasks:
        pool = RelayPool(tasks, _records())
        history = _History(seed, pool)
        tasks.start_soon(pool.change, CHANGES_PER_S)
        await anyio.sleep(SETTLED_S)
        for work in (history.trouble, history.leave, history.check):
            tasks.start_soon(work)
        await anyio.sleep(PLAYED_S)
        tasks.cancel_scope.cancel()
    return history.broken


def play_late_news(seed: int) -> list[str]:
    """Return what was known too late, or no more, while trouble came and went."""
    return run_virtually(_play(seed))
