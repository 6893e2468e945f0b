"""Daemons that claim, lose and order one engine, under a store's leases."""

import random
from dataclasses import dataclass, field

from knapweedbridge_core.serving import (
    ClusterState,
    DaemonRecord,
    LeaseClock,
    OwnerRecord,
    claim_due_s,
    claimants,
)
from knapweedbridge_core.serving.cluster_state import DaemonNamed, OwnerGone, OwnerNamed

TICK_S = 0.05
LEASE_S = 1.5
RENEW_S = 0.5
WAY_S = 0.12
"""Longest way of an order: it is given up after as long."""

LAG_S = 0.8
"""Longest delay of the store's changes on their way to a daemon."""


@dataclass(slots=True)
class _Store:
    """One owner record, and the leases of those that write it."""

    revision: int = 1
    owner: str = ""
    lease_ends_s: dict[str, float] = field(default_factory=dict)
    changes: list[tuple[float, OwnerRecord | None]] = field(default_factory=list)

    def expire(self, now_s: float) -> None:
        if self.owner and self.lease_ends_s[self.owner] <= now_s:
            self.owner = ""
            self.revision += 1
            self.changes.append((now_s, None))

    def claim(self, daemon: str, known: int, now_s: float) -> int:
        """Write the record if it is as the daemon knows it; 0 where it is not."""
        there = self.revision if self.owner else 0
        if known != there or self.lease_ends_s.get(daemon, 0.0) <= now_s:
            return 0
        self.revision += 1
        self.owner = daemon
        self.changes.append((now_s, OwnerRecord(daemon, 1, self.revision)))
        return self.revision


@dataclass(slots=True)
class _Daemon:
    name: str
    cluster: ClusterState = field(default_factory=ClusterState)
    lease: LeaseClock = field(default_factory=LeaseClock)
    renewed_s: float = 0.0
    lease_from: int = 0
    seen: int = 0
    frozen_until_s: float = 0.0
    cut_until_s: float = 0.0


def _follow(daemon: _Daemon, store: _Store, lag_s: float, now_s: float) -> None:
    while daemon.seen < len(store.changes):
        at_s, record = store.changes[daemon.seen]
        if at_s + lag_s > now_s:
            return
        daemon.seen += 1
        store_event = OwnerNamed("e", record) if record else OwnerGone("e")
        daemon.cluster.take(store_event, now_s)


def _renew(daemon: _Daemon, store: _Store, now_s: float, luck: random.Random) -> None:
    if now_s - daemon.renewed_s < RENEW_S:
        return
    daemon.renewed_s = now_s
    if store.lease_ends_s.get(daemon.name, 0.0) <= now_s:
        # A new lease: what hung on the one before is gone, seen or not.
        store.revision += 1
        daemon.lease_from = store.revision
    # The call is on its way for a while: the store counts from its arrival.
    store.lease_ends_s[daemon.name] = now_s + luck.uniform(0, 0.1) + LEASE_S
    daemon.lease.record_renewal(now_s, LEASE_S)


def _claim(daemon: _Daemon, store: _Store, all_: list[_Daemon], now_s: float) -> None:
    cluster = daemon.cluster
    if not cluster.is_ownerless("e"):
        return
    records = [DaemonRecord(each.name, 1, "", "d") for each in all_]
    order = claimants("e", "d", records)
    free_s = cluster.free_since_s.get("e", 0.0)
    due_s = claim_due_s(daemon.name, order, free_s)
    if due_s is None or due_s > now_s:
        return
    known = cluster.owners.get("e")
    store.claim(daemon.name, known.number if known else 0, now_s)


class _Play:
    """One history."""

    def __init__(self, seed: int) -> None:
        self._luck = random.Random(seed)
        self._store = _Store()
        self._daemons = [_Daemon(f"h{n}") for n in range(3)]
        records = [DaemonRecord(each.name, 1, "", "d") for each in self._daemons]
        for daemon in self._daemons:
            for record in records:
                daemon.cluster.take(DaemonNamed(record), 0.0)
        self._arriving: list[tuple[float, int, str]] = []
        self._highest = (0, "")
        self.broken: list[str] = []

    def step(self, now_s: float) -> None:
        """Let all act once, and the engine take what has arrived."""
        self._store.expire(now_s)
        for daemon in self._daemons:
            if daemon.frozen_until_s <= now_s:
                self._disturb(daemon, now_s)
                self._act(daemon, now_s)
        self._arriving.sort()
        while self._arriving and self._arriving[0][0] <= now_s:
            self._take(*self._arriving.pop(0))

    def _disturb(self, daemon: _Daemon, now_s: float) -> None:
        if self._luck.random() < 0.01:
            daemon.frozen_until_s = now_s + self._luck.uniform(0.2, 4.0)
        if self._luck.random() < 0.01:
            daemon.cut_until_s = now_s + self._luck.uniform(0.2, 4.0)

    def _act(self, daemon: _Daemon, now_s: float) -> None:
        if daemon.cut_until_s <= now_s:
            _renew(daemon, self._store, now_s, self._luck)
            _follow(daemon, self._store, self._luck.uniform(0, LAG_S), now_s)
            _claim(daemon, self._store, self._daemons, now_s)
        record = daemon.cluster.owners.get("e")
        if record is None or record.owner != daemon.name:
            return
        if record.number > daemon.lease_from and daemon.lease.may_order(now_s):
            arrives_s = now_s + self._luck.uniform(0, WAY_S)
            self._arriving.append((arrives_s, record.number, daemon.name))

    def _take(self, at_s: float, number: int, name: str) -> None:
        highest, before = self._highest
        if number < highest and name != before:
            self.broken.append(f"{at_s:.2f} s: {name} after {before}")
        self._highest = max(self._highest, (number, name))


def play_owners(seed: int, steps: int = 1200) -> list[str]:
    """Play freezes, cuts and late changes; return orders that met another's."""
    play = _Play(seed)
    for step in range(steps):
        play.step(10.0 + step * TICK_S)
    return play.broken
