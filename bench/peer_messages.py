"""Measures the processor time of messages between daemons, and of a startup.

    python bench/peer_messages.py [relayed calls claims hearers stream startup]

The functions run alone in one process: a pool of 70 daemons and 70 engines, whose
messages are made here. Prints a line a measurement: the least of `ROUNDS` rounds, as
other processes of the machine only add to it. With ``PROFILE=1`` the functions that
take most of it follow.
"""

import asyncio
import cProfile
import os
import pstats
import resource
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import anyio

from knapweedbridge_core.codec import decode, encode, unpacker
from knapweedbridge_core.peer_events import PeerMessage
from knapweedbridge_core.serving import (
    CallKind,
    DaemonRecord,
    Deployment,
    EndpointRecord,
    EngineLimits,
    EngineReport,
    ModelRef,
    OwnerRecord,
    RetryBudget,
    Route,
    Service,
)
from knapweedbridge_core.serving.cluster_state import (
    DaemonNamed,
    DeploymentNamed,
    EndpointNamed,
    OwnerNamed,
)
from knapweedbridge_core.serving.deployment import WeightedService
from knapweedbridge_core.serving.messages import (
    CallsReport,
    EngineDelta,
    EngineSnapshot,
    StoreUpdate,
)
from knapweedbridge_daemon.peer_sockets import PeerListener
from knapweedbridge_daemon.peers import Peers
from knapweedbridge_daemon.serving.engine_owner import EngineOwner
from knapweedbridge_daemon.serving.hub import Hub, Identity
from knapweedbridge_daemon.serving.lease_controller import LeaseController
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_daemon.serving.peer_link import PeerLink
from knapweedbridge_daemon.serving.store_update_codec import pack_engines, pack_items

ENGINES = 70
DAEMONS = 70
PLACES = 8
ROWS = 27
MESSAGES = 1000
MESSAGE_PAUSE_S = 0.01
"""Pause between `CallsReport` messages: an owner's task tells 3 times a second."""

ROUNDS = 5
STARTS = 10
MODELS = [ModelRef("m", f"a{n}") for n in range(PLACES)]


class _NoLog:
    def info(self, kind: str, **fields: Any) -> None:
        """Take a line."""

    error = info


def make_hub() -> Hub:
    """Make the hub of a daemon of a large pool whose engines all have owners."""
    dialects: Any = SimpleNamespace()
    log: Any = _NoLog()
    hub = Hub(
        Identity("h0", 1, "d0", "10.0.0.1:1"),
        dialects,
        RetryBudget(0.2, 50, 10),
        log,
        MetricsRegistry(),
    )
    route = Route(
        *("r", "x", "/", CallKind.STREAM, (WeightedService("llm", 1.0),), 5.0, 0.8),
        gap_objective_s=0.3,
    )
    limits = EngineLimits(12, 100_000, PLACES, 1000.0, 1.0)
    deployment = Deployment(1, (route,), {"llm": Service("llm", "/", 100, limits)})
    now_s = anyio.current_time()
    cluster = [DeploymentNamed(deployment)]
    for n in range(DAEMONS):
        cluster.append(DaemonNamed(DaemonRecord(f"h{n}", 1, "a", f"d{n % 4}")))
    for n in range(ENGINES):
        record = EndpointRecord(f"e{n}", "llm", "a", f"d{n % 4}", 12, False, ("m",))
        cluster.append(EndpointNamed(replace(record, started_ms=1)))
        cluster.append(OwnerNamed(f"e{n}", OwnerRecord(f"h{n % DAEMONS}", 1, 7)))
    for each in cluster:
        hub.cluster.take(each, now_s)
    hub.synced = True
    return hub


def relayed_messages() -> list[bytes]:
    """Make relayed messages, each of which tells a change of some engines."""
    orders = [0] * ENGINES
    found = []
    for n in range(MESSAGES):
        rows = []
        for k in range(ROWS):
            engine = (n * ROWS + k) % ENGINES
            orders[engine] += 1
            changed = k % 9 == 0
            added = [["m", f"a{n % 50}", 1, 0.2]] if changed else []
            removed = [["m", f"a{(n + 42) % 50}"]] if changed else []
            row = EngineDelta(
                *(f"e{engine}", 7, orders[engine], added, removed, 5 + n % 5, 900),
                *(n // 20 % 3, 0, ["m"], 1, 0.3, 4800.0, 1.0, True),
            )
            rows.append(row)
        found.append(encode(StoreUpdate(n, n, pack_items([]), pack_engines(rows))))
    return found


def tell_engines(hub: Hub) -> None:
    """Tell all of each engine; streams have paused on a third of them."""
    for n in range(ENGINES):
        held = [["m", f"b{k}", 1, 0.0, 0, 0.0] for k in range(PLACES)]
        told = EngineSnapshot(
            *(f"e{n}", 7, 0, held, 0, 0, 0, 0, ["m"]),
            started_ms=1,
            pace_scale=float(n % 3 == 1),
        )
        hub.cluster.fleet.apply_snapshot(told, anyio.current_time())


async def relayed_us() -> float:
    """Measure a relayed row, decoded and taken by a daemon that hears a relay."""
    link = PeerLink(make_hub())
    tell_engines(link._hub)
    packed = relayed_messages()

    async def take_all() -> None:
        reader = unpacker()
        for each in packed:
            reader.feed(each)
            for value in reader:
                await link._dispatch("h1", decode(value))

    taken_us = await measure_us(take_all)
    told_orders = [each.update_order for each in link._hub.cluster.fleet.engines()]
    assert sum(told_orders) == MESSAGES * ROWS, told_orders
    return taken_us / MESSAGES / ROWS


class _MostlyCalm:
    """Stands in for what an owner needs of the daemon besides beliefs."""

    async def take(self, *_: Any) -> bool:
        return True


async def calls_us() -> float:
    """Measure a `CallsReport` message at an owner, and what its task does then."""
    hub = make_hub()
    hub.lease.ends_s = float("inf")
    tell_engines(hub)
    limits = hub.engine_limits("llm")
    assert limits is not None
    endpoint = hub.cluster.fleet.endpoints["e0"]
    sent: list[Any] = []

    async def send(daemon: str, message: Any) -> None:
        sent.append(message)

    calm: Any = _MostlyCalm()
    owner = EngineOwner(
        hub, endpoint, limits, OwnerRecord("h0", 1, 7), send, calm, calm
    )
    shown = {model: 1 for model in MODELS}
    owner.controller.apply_report(
        EngineReport(0, ("m",), shown, {}), anyio.current_time()
    )
    packed = [
        encode(
            CallsReport(
                *(f"e{0}", {str(MODELS[n % PLACES]): 1 + n % 2}, 300, 1),
                *(0.05, [900] if n % 3 == 0 else []),
            )
        )
        for n in range(MESSAGES // 4)
    ]

    async def pause_only() -> None:
        for _ in packed:
            await anyio.sleep(MESSAGE_PAUSE_S)

    async def take_all() -> None:
        reader = unpacker()
        for n, each in enumerate(packed):
            reader.feed(each)
            for value in reader:
                owner.record_calls(f"h{n % DAEMONS}", decode(value))
            await anyio.sleep(MESSAGE_PAUSE_S)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(owner._run_passes)
        await anyio.sleep(0.01)
        taken_us = await measure_us(take_all) - await measure_us(pause_only)
        tasks.cancel_scope.cancel()
    return taken_us / len(packed)


async def claims_us() -> float:
    """Measure a look for engines without an owner, where all have one."""
    hub = make_hub()
    follower: Any = SimpleNamespace()
    controller = LeaseController(hub, follower)

    async def look() -> None:
        for _ in range(MESSAGES):
            assert not list(controller._due())

    return await measure_us(look) / MESSAGES


async def hearers_us() -> float:
    """Measure a relay's look for those that it tells."""
    hub = make_hub()
    hub.identity.name = hub.cluster.relays["d0"][0]
    relaying = PeerLink(hub).relaying
    now_s = anyio.current_time()

    async def look() -> None:
        for _ in range(MESSAGES):
            assert relaying._subscribers(now_s)

    return await measure_us(look) / MESSAGES


async def stream_us() -> float:
    """Measure a message of a peer stream, one a write, at both ends together."""
    heard = asyncio.Event()

    async def submit(event: Any) -> None:
        if isinstance(event, PeerMessage):
            heard.set()

    async def passed() -> None:
        await heard.wait()
        heard.clear()

    message = CallsReport("e0", {"m/a1": 1}, 300, 1, 0.05, [900])
    dialling = Peers("h0", b"s", 1.5, submit)
    dialled = Peers("h1", b"s", 1.5, submit)
    listener = PeerListener()
    await listener.listen("127.0.0.1", 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, dialled.serve)
        dialling.know(tasks, {"h1": listener.address})
        dialled.know(tasks, {"h0": "127.0.0.1:1"})
        dialling.send("h1", message)
        await passed()

        async def send_all() -> None:
            for _ in range(MESSAGES):
                dialling.send("h1", message)
                await passed()

        taken_us = await measure_us(send_all)
        tasks.cancel_scope.cancel()
    return taken_us / MESSAGES


def startup_ms() -> list[tuple[str, float]]:
    """Measure what a daemon's imports take, by what is imported."""
    imports = {
        "interpreter": "sys",
        "anyio, asyncio, uvloop": "anyio, asyncio, uvloop",
        "all decisions": "anyio, uvloop, knapweedbridge_core.serving",
        "whole daemon": "uvloop, knapweedbridge_daemon.serving.main",
        "daemon and platform": (
            "uvloop, knapweedbridge_daemon.serving.main, knapweedbridge_platform"
        ),
    }
    phases = [(name, f"import {modules}") for name, modules in imports.items()]
    return [(name, _run_ms(code)) for name, code in phases]


def _run_ms(code: str) -> float:
    times = []
    for _ in range(STARTS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        subprocess.run([sys.executable, "-c", code], check=True)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        user_s = after.ru_utime - before.ru_utime
        times.append(user_s + after.ru_stime - before.ru_stime)
    return min(times) * 1000


async def measure_us(work: Callable[[], Awaitable[None]]) -> float:
    """Return the processor time of some work, in microseconds."""
    profile = cProfile.Profile() if os.environ.get("PROFILE") else None
    before_s = time.process_time()
    if profile is None:
        await work()
    else:
        with profile:
            await work()
    took_s = time.process_time() - before_s
    if profile is not None:
        pstats.Stats(profile).sort_stats("tottime").print_stats(22)
    return took_s * 1e6


MEASUREMENTS: dict[str, tuple[Callable[[], Awaitable[float]], str]] = {
    "relayed": (relayed_us, "a relayed row"),
    "calls": (calls_us, "a CallsRunning message and the owner's work on it"),
    "claims": (claims_us, f"a pass of the claim task at {ENGINES} engines"),
    "hearers": (hearers_us, "a relay's look for its hearers"),
    "stream": (stream_us, "a message of a peer stream, both ends"),
}


def main() -> None:
    """Print a line a measurement."""
    wanted = sys.argv[1:] or [*MEASUREMENTS, "startup"]
    rounds = 1 if os.environ.get("PROFILE") else ROUNDS
    for name, (work, what) in MEASUREMENTS.items():
        if name in wanted:
            times = [
                anyio.run(work, backend_options={"use_uvloop": True})
                for _ in range(rounds)
            ]
            print(f"{name}: {what} takes {min(times):.1f} us")
    if "startup" in wanted:
        for phase, took_ms in startup_ms():
            print(f"startup: {phase} takes {took_ms:.0f} ms")


if __name__ == "__main__":
    main()
