"""Entries of endpoints that are removed or lapse, beside outages and cuts."""

import random

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.serving import DaemonRecord
from knapweedbridge_standins.relay_pool import PoolDaemon, RelayPool
from knapweedbridge_standins.virtual_loop import run_virtually

DAEMONS = 9
ENDPOINTS = 5
CHANGES_PER_S = 5.0
BEGUN_S = 4.0
PLAYED_S = 60.0
LOOK_S = 0.05
LEAVING_EVERY_S = 2.0

USED_S = 2.0
"""How long after its removal an endpoint may be used by a daemon that is well."""

SETTLE_S = 3.0
"""How long a daemon has to reach the store to be well."""

LAPSE_S = 2.4
"""Outage after which entries lapse whose endpoints wrote just before it."""

RELISTED_S = 2.0
"""How long after an outage endpoints that live are listed again."""


class _History:
    """One seeded run; a trouble begins once all daemons are well after the last."""

    def __init__(self, seed: int, tasks: TaskGroup) -> None:
        records = [DaemonRecord(f"h{n}", 1, "a:1", "d0") for n in range(DAEMONS)]
        self._luck = random.Random(seed)
        self._tasks = tasks
        self._pool = RelayPool(tasks, records)
        self._well_since_s = dict.fromkeys(self._pool.daemons, 0.0)
        self._removed_s: dict[str, float] = {}
        self._living: list[str] = []
        self._lapsed: set[str] = set()
        self._count = 0
        self.broken: list[str] = []
        for daemon in self._pool.daemons.values():
            daemon.keep_lease(tasks)
        for _ in range(ENDPOINTS):
            self._start_endpoint()

    def _start_endpoint(self) -> None:
        self._count += 1
        self._living.append(f"e{self._count}")
        self._pool.store.list_endpoint(f"e{self._count}")

    @property
    def _is_away(self) -> bool:
        return self._pool.store.cut_off >= set(self._pool.daemons)

    async def trouble(self) -> None:
        """Have outages and cuts come and go, until cancelled."""
        while True:
            await anyio.sleep(self._luck.uniform(0.0, 2.0) + SETTLE_S)
            names = list(self._pool.daemons)
            if self._luck.random() < 0.4:
                names = self._luck.sample(names, self._luck.randrange(1, 4))
            self._pool.store.cut_off.update(names)
            lasts_s = self._luck.uniform(0.2, 9.0)
            if self._is_away:
                self._tasks.start_soon(self._lapse, lasts_s)
            await anyio.sleep(lasts_s)
            self._pool.store.cut_off.clear()
            for name in names:
                self._well_since_s[name] = anyio.current_time()

    async def _lapse(self, lasts_s: float) -> None:
        """Take the entries away that lapse in an outage, and list them again."""
        for name in self._living:
            lapses_s = LAPSE_S + self._luck.uniform(0.0, 1.2)
            if lapses_s < lasts_s:
                self._tasks.start_soon(self._lapse_one, name, lapses_s, lasts_s)

    async def _lapse_one(self, name: str, lapses_s: float, lasts_s: float) -> None:
        await anyio.sleep(lapses_s)
        self._lapsed.add(name)
        self._pool.store.unlist_endpoint(name)
        await anyio.sleep(lasts_s - lapses_s + self._luck.uniform(0.0, RELISTED_S))
        self._lapsed.discard(name)
        self._pool.store.list_endpoint(name)

    async def leave(self) -> None:
        """Remove entries of endpoints and start others, until cancelled."""
        while True:
            await anyio.sleep(self._luck.uniform(0.0, 2 * LEAVING_EVERY_S))
            listed = [name for name in self._living if name not in self._lapsed]
            if not listed or self._is_away:
                continue
            name = self._luck.choice(listed)
            self._living.remove(name)
            self._pool.store.unlist_endpoint(name)
            self._removed_s[name] = anyio.current_time()
            self._start_endpoint()

    async def check(self) -> None:
        """Note what is used too long, or no more though it lives, until cancelled."""
        used: set[tuple[str, str]] = set()
        while True:
            await anyio.sleep(LOOK_S)
            for daemon in self._pool.daemons.values():
                self._check_removed(daemon)
                self._check_living(daemon, used)

    def _check_removed(self, daemon: PoolDaemon) -> None:
        if daemon.name in self._pool.store.cut_off:
            return
        now_s = anyio.current_time()
        held_from_s = self._well_since_s[daemon.name] + SETTLE_S
        for name, removed_s in self._removed_s.items():
            late_s = now_s - max(removed_s + USED_S, held_from_s)
            if late_s > LOOK_S and daemon.uses(name):
                self.broken.append(f"{now_s:.2f} s: {daemon.name} uses {name}")

    def _check_living(self, daemon: PoolDaemon, used: set[tuple[str, str]]) -> None:
        for name in self._living:
            if daemon.uses(name):
                used.add((daemon.name, name))
            elif (daemon.name, name) in used:
                now_s = anyio.current_time()
                self.broken.append(f"{now_s:.2f} s: {daemon.name} has lost {name}")


async def _play(seed: int) -> list[str]:
    # Pauses between failed calls are spread by luck.
    random.seed(seed)
    async with anyio.create_task_group() as tasks:
        history = _History(seed, tasks)
        await anyio.sleep(BEGUN_S)
        for work in (history.trouble, history.leave, history.check):
            tasks.start_soon(work)
        await anyio.sleep(PLAYED_S)
        tasks.cancel_scope.cancel()
    return history.broken


def play_removed_entries(seed: int) -> list[str]:
    """Return endpoints used too long after they left, or not used while they live."""
    return run_virtually(_play(seed))
