"""Hosts that are killed, stopped and started again while they own an engine in turn."""

import random
from collections import deque
from dataclasses import dataclass
from typing import Any

import anyio

from knapweedbridge_core.serving import (
    DaemonRecord,
    Deployment,
    EndpointRecord,
    EngineLimits,
    OwnerRecord,
    RetryBudget,
    Service,
    Succession,
)
from knapweedbridge_core.serving.cluster_state import (
    DaemonGone,
    DaemonNamed,
    DeploymentNamed,
    EndpointNamed,
    OwnerNamed,
    StoreEvent,
)
from knapweedbridge_daemon.serving.hub import Hub, Identity
from knapweedbridge_daemon.serving.lease_controller import LeaseController
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_standins.virtual_loop import run_virtually

HOSTS = 4
TURN_S = 3.0
TICK_S = 0.05
PLAYED_S = 60.0
ENGINE = "e"
DEPLOYMENT = Deployment(
    1, (), {"llm": Service("llm", "/", 10, EngineLimits(8, 10_000, 4, 1000.0, 1.0))}
)


class _NoLog:
    def info(self, kind: str, **fields: Any) -> None:
        """Ignore a line."""

    error = info


@dataclass(slots=True)
class _Process:
    """One start of a host's daemon."""

    hub: Hub
    controller: LeaseController
    seen: int = 0


class _Play:
    """One history."""

    def __init__(self, seed: int) -> None:
        self._luck = random.Random(seed)
        self._changes: list[StoreEvent] = [
            DeploymentNamed(DEPLOYMENT),
            EndpointNamed(EndpointRecord(ENGINE, "llm", "a", "d", 8, False, ("m",))),
        ]
        self._owner: OwnerRecord | None = None
        self._processes: dict[str, _Process] = {}
        self._starts_s = {f"h{n}": 0.0 for n in range(HOSTS)}
        self._orders: deque[tuple[float, str]] = deque()
        self.ordered: set[str] = set()
        self.broken: list[str] = []

    def step(self) -> None:
        """Start what is due, disturb one host, and let all others act."""
        now_s = anyio.current_time()
        for name, at_s in list(self._starts_s.items()):
            if at_s <= now_s:
                del self._starts_s[name]
                self._start(name, now_s)
        if self._luck.random() < 0.05 and self._processes:
            self._disturb(now_s)
        for name, process in sorted(self._processes.items()):
            self._follow(process, now_s)
            self._act(name, process, now_s)

    def _start(self, name: str, now_s: float) -> None:
        incarnation = len(self._changes)
        log: Any = _NoLog()
        none: Any = None
        hub = Hub(
            Identity(name, incarnation, "d", "a"),
            none,
            RetryBudget(0.2, 50, 10),
            log,
            MetricsRegistry(),
            succession=Succession(now_s, TURN_S),
        )
        self._processes[name] = _Process(hub, LeaseController(hub, none))
        self._changes.append(DaemonNamed(DaemonRecord(name, incarnation, "a", "d")))

    def _disturb(self, now_s: float) -> None:
        names = sorted(self._processes)
        owner = self._owner.owner if self._owner else ""
        is_owner = owner in names and self._luck.random() < 0.7
        name = owner if is_owner else self._luck.choice(names)
        process = self._processes.pop(name)
        self._starts_s[name] = now_s + self._luck.uniform(0.5, 2.5)
        if self._luck.random() < 0.5:
            self._changes.append(DaemonGone(name))
            if owner == name:
                self._write("", process.hub.identity.incarnation)

    def _follow(self, process: _Process, now_s: float) -> None:
        for change in self._changes[process.seen :]:
            process.hub.cluster.take(change, now_s)
        process.seen = len(self._changes)

    def _act(self, name: str, process: _Process, now_s: float) -> None:
        incarnation = process.hub.identity.incarnation
        known = process.hub.cluster.owners.get(ENGINE)
        if process.controller._due() and known == self._owner:
            self._write(name, incarnation)
        elif known and (known.owner, known.incarnation) == (name, incarnation):
            self._order(name, process, now_s)

    def _write(self, owner: str, incarnation: int) -> None:
        self._owner = OwnerRecord(owner, incarnation, len(self._changes) + 1)
        self._changes.append(OwnerNamed(ENGINE, self._owner))

    def _order(self, name: str, process: _Process, now_s: float) -> None:
        process.hub.succession.record_action(ENGINE, now_s)
        self.ordered.add(name)
        while self._orders and self._orders[0][0] <= now_s - TURN_S:
            self._orders.popleft()
        order = [each for _, each in self._orders]
        if name in order and set(order[order.index(name) :]) != {name}:
            self.broken.append(f"{now_s:.2f} s: {name} again, after {order[-1]}")
        self._orders.append((now_s, name))


async def _play(seed: int) -> list[str]:
    play = _Play(seed)
    while anyio.current_time() < PLAYED_S:
        play.step()
        await anyio.sleep(TICK_S)
    if len(play.ordered) < HOSTS / 2:
        play.broken.append(f"only {sorted(play.ordered)} have ordered")
    return play.broken


def play_turns(seed: int) -> list[str]:
    """Return where a host returned to the engine within a turn of another one."""
    return run_virtually(_play(seed))
