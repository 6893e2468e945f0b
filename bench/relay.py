"""Relay cost: the daemon beside a bare hypercorn-and-httpx relay, in one run.

Each way serves the same load from the same stand-in engine, which runs in a process
of its own like the callers. The cost is the processor time that the relay's process
spent in the measured span (user and system, by /proc), a token.
"""

import argparse
import json
import os
import subprocess
import sys
from contextlib import ExitStack
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from deployment import Deployment

from knapweedbridge_standins.example import Example

HERE = Path(__file__).parent
RESULTS = HERE / "results" / "relay.json"
BASE_PORT = 22000
BARE_PORT = 22090
ENGINE_PORT = BASE_PORT + 10
TICK_S = 1 / os.sysconf("SC_CLK_TCK")
PLANNED_TOKENS_PER_S = 8100
PEAK_RATE = 17.0
TOKENS = 476
TARGET_US = 60.0


@dataclass(slots=True, frozen=True)
class Load:
    """One load: requests a second, tokens a request, time between tokens."""

    name: str
    rate: float
    tokens: int
    gap_s: float
    warm_s: float
    run_s: float


@dataclass(slots=True, frozen=True)
class Way:
    """One relay to measure; no port: the callers speak to the engine itself."""

    name: str
    kind: str
    option: str = ""


@dataclass(slots=True)
class Figures:
    """What one way cost under one load."""

    way: str
    load: str
    us_a_token: float
    core: float
    tokens_per_s: float
    requests: int
    cut: int
    first_p50_ms: float
    first_p95_ms: float
    gap_p50_ms: float
    gap_p95_ms: float


WAYS = [
    Way("engine alone", "direct"),
    Way("bare relay", "bare", "asyncio"),
    Way("bare relay, uvloop", "bare", "uvloop"),
    Way("bytes alone, uvloop", "bare", "bytes"),
    Way("daemon, httpx", "daemon", "0 httpx"),
    Way("daemon, no wait", "daemon", "0"),
    Way("daemon, wait 10 ms", "daemon", "0.010"),
    Way("daemon, wait 20 ms", "daemon", "0.020"),
    Way("daemon, wait 40 ms", "daemon", "0.040"),
]


ENGINE_BATCH = 4096


class RelayDeployment(Deployment):
    """One daemon before the benchmark's engine."""

    def __init__(self, load: Load, option: str) -> None:
        # The engine bounds nothing: admission would queue what its batch cannot hold.
        example = Example(
            BASE_PORT, daemons=1, engines=1, adapters=1, batch=ENGINE_BATCH
        )
        super().__init__(example)
        self._load = load
        self._option = option

    def engine(self, place: int) -> None:
        """Start the cheap engine."""
        self._start("engine", engine_command(self._load))

    def settings(self, place: int) -> str:
        """Return the daemon's settings with the wait and the client."""
        text = super().settings(place)
        wait_s, _, client = self._option.partition(" ")
        text += f"\n[requests]\njoin_wait_s = {wait_s}\n"
        return text + f"stream_client = {client or 'aiohttp'}\n"


def engine_command(load: Load) -> list[str]:
    """Return the command that runs the engine."""
    arguments = [str(ENGINE_PORT), str(load.tokens), str(load.gap_s)]
    return [sys.executable, str(HERE / "relay_engine.py"), *arguments]


def spent_s(pid: int) -> float:
    """Return the processor time that a process has spent."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def call(load: Load, way: Way, port: int, pid: int | None) -> Figures:
    """Run the callers against one relay."""
    command = [sys.executable, str(HERE / "relay_load.py"), str(port), str(load.rate)]
    command += [str(load.tokens), str(load.warm_s), str(load.run_s)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as callers:
        assert callers.stdout is not None
        callers.stdout.readline()
        before_s = spent_s(pid) if pid else 0.0
        found = json.loads(callers.stdout.readline())
        cost_s = spent_s(pid) - before_s if pid else 0.0
    return Figures(
        way=way.name,
        load=load.name,
        us_a_token=round(1e6 * cost_s / max(1, found["tokens"]), 1),
        core=round(cost_s / load.run_s, 3),
        tokens_per_s=round(found["tokens"] / load.run_s),
        requests=found["requests"],
        cut=found["cut"],
        first_p50_ms=round(1e3 * found["first_p50_s"], 1),
        first_p95_ms=round(1e3 * found["first_p95_s"], 1),
        gap_p50_ms=round(1e3 * found["gap_p50_s"], 1),
        gap_p95_ms=round(1e3 * found["gap_p95_s"], 1),
    )


def measure(load: Load, way: Way) -> Figures:
    """Start one way, call it, end it."""
    with ExitStack() as stack:
        if way.kind == "daemon":
            deployment = RelayDeployment(load, way.option)
            stack.enter_context(deployment)
            pid = deployment.processes["host-0"].pid
            return call(load, way, BASE_PORT + 50, pid)
        start(stack, engine_command(load))
        if way.kind == "direct":
            Deployment.await_answer(f"http://127.0.0.1:{ENGINE_PORT}/report")
            return call(load, way, ENGINE_PORT, None)
        arguments = [str(BARE_PORT), str(ENGINE_PORT), way.option]
        bare = start(stack, [sys.executable, str(HERE / "relay_bare.py"), *arguments])
        Deployment.await_answer(f"http://127.0.0.1:{BARE_PORT}/report")
        return call(load, way, BARE_PORT, bare.pid)


def start(stack: ExitStack, command: list[str]) -> subprocess.Popen:
    """Start a process that ends with the stack."""
    process = subprocess.Popen(command)
    stack.callback(process.wait)
    stack.callback(process.kill)
    return process


def show(figures: list[Figures]) -> None:
    """Print a table."""
    print(
        f"{'load':9} {'way':24} {'us/token':>8} {'core':>6} {'tokens/s':>8} "
        f"{'cut':>4} {'first p50':>9} {'p95':>7} {'gap p50':>8} {'p95 ms':>7}"
    )
    for found in figures:
        print(
            f"{found.load:9} {found.way:24} {found.us_a_token:8.1f} {found.core:6.3f} "
            f"{found.tokens_per_s:8.0f} {found.cut:4d} {found.first_p50_ms:9.1f} "
            f"{found.first_p95_ms:7.1f} {found.gap_p50_ms:8.1f} {found.gap_p95_ms:7.1f}"
        )


def loads(arguments: argparse.Namespace) -> list[Load]:
    """Return the loads: the planned peak at two speeds, a quarter, single tokens."""
    run_s, tokens = arguments.run_s, TOKENS
    found = {
        "quarter": Load("quarter", PEAK_RATE / 4, tokens, 0.03, 0.0, run_s),
        "peak": Load("peak", PEAK_RATE, tokens, 0.03, 0.0, run_s),
        "fast": Load("fast", PEAK_RATE, tokens, 0.01, 0.0, run_s),
        "requests": Load("requests", 50.0, 1, 0.03, 0.0, run_s),
    }
    named = [found[name] for name in arguments.loads.split(",")]
    return [replace(load, warm_s=load.tokens * load.gap_s + 1) for load in named]


def main() -> int:
    """Measure all ways under all loads, print and keep the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--loads", default="peak,fast,requests")
    parser.add_argument("--ways", default="", help="words of the ways' names")
    parser.add_argument("--run-s", type=float, default=8.0)
    parser.add_argument("--keep", action="store_true", help="write the results file")
    arguments = parser.parse_args()
    words = [word for word in arguments.ways.split(",") if word]
    ways = [way for way in WAYS if not words or any(w in way.name for w in words)]
    figures = []
    for load in loads(arguments):
        for way in ways:
            figures.append(measure(load, way))
            show(figures[-1:])
    show(figures)
    if arguments.keep:
        keep(figures)
    return 1 if any(found.cut for found in figures) else 0


def keep(figures: list[Figures]) -> None:
    """Write the results file."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    RESULTS.parent.mkdir(exist_ok=True)
    kept = {
        "command": "python bench/relay.py " + " ".join(sys.argv[1:]),
        "commit": commit,
        "planned_tokens_per_s": PLANNED_TOKENS_PER_S,
        "target_us_a_token": TARGET_US,
        "figures": [asdict(found) for found in figures],
    }
    RESULTS.write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    sys.exit(main())
