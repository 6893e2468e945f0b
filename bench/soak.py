"""Whole runs under faults at random and together, checked against the promises.

``SOAK_S`` (600), ``SOAK_SEED`` (1), ``SOAK_FAULTS`` (names; empty: all) and
``SOAK_KEEP`` (a folder that takes the history) are read from the environment.
"""

import contextlib
import json
import os
import random
import shutil
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from statistics import quantiles

import anyio
import httpx
from deployment import Deployment
from forwarder import Forwarder
from load import LoadCaller
from soak_faults import FAULTS, POISON
from world import Life, World

from knapweedbridge_standins.example import ADMINISTRATOR_KEY, Example
from knapweedbridge_standins.runs import (
    Fault,
    GenerationSeen,
    History,
    Outcome,
    RequestEnded,
    check,
    read_history,
)

BASE_PORT = 26100
FORWARD = 500
CALLERS = 32
SETTLE_S = 10.0
FAULT_EVERY_S = 4.0
SUPERVISION_S = 0.5
RESULTS = Path(__file__).parent / "results"


def make_example() -> Example:
    """Return 8 daemons, 10 engines and 2 plain services behind forwarders."""
    return Example(
        BASE_PORT,
        daemons=8,
        engines=10,
        plains=2,
        adapters=60,
        slots=4,
        forward=FORWARD,
        checking=5,
    )


async def watch_generations(world: World) -> None:
    """Note twice a second which generation each host has in force."""
    headers = {"authorization": f"Bearer {ADMINISTRATOR_KEY}"}
    async with httpx.AsyncClient(headers=headers, trust_env=False, timeout=2) as client:
        while True:
            async with anyio.create_task_group() as tasks:
                for host in world.lives:
                    tasks.start_soon(_note_generation, world, client, host)
            await anyio.sleep(0.5)


async def _note_generation(world: World, client: httpx.AsyncClient, host: int) -> None:
    life, at_s = world.lives[host], time.time()
    url = f"http://{world.deployment.example.administration(host)}/v1/status"
    with contextlib.suppress(httpx.HTTPError, ValueError, KeyError):
        generation = (await client.get(url)).json()["generation"]
        seen = GenerationSeen(
            f"host-{host}", life.start, life.started_s, at_s, generation
        )
        if life is world.lives[host]:
            world.note(seen)


async def supervise(world: World) -> None:
    """Start engines that ended by themselves again, cold."""
    deployment = world.deployment
    while True:
        for place in range(deployment.example.engines):
            process = deployment.processes.get(f"draft-{place}")
            if process is not None and process.poll() is not None:
                deployment.engine(place)
        await anyio.sleep(SUPERVISION_S)


async def bring_faults(world: World, seed: int, wanted: set[str]) -> None:
    """Bring faults about until time is up, now and then several at once."""
    rng = random.Random(seed)
    faults = [fault for fault in FAULTS if not wanted or fault.name in wanted]
    weights = [fault.weight for fault in faults]
    if not faults:
        return
    async with anyio.create_task_group() as tasks:
        while time.time() < world.ends_s - SETTLE_S:
            together = 3 if rng.random() < 0.15 else 1
            for fault in rng.choices(faults, weights, k=together):
                own = random.Random(rng.random())
                tasks.start_soon(fault.run, world, own)
            await anyio.sleep(rng.expovariate(1 / FAULT_EVERY_S))


def make_forwarders(example: Example) -> list[Forwarder]:
    """Make a forwarder before each endpoint and each daemon's peers' address."""
    targets = [example.engine(place) for place in range(example.engines)]
    targets += [example.plain_instance(place) for place in range(example.plains)]
    targets += [example.peers(place) for place in range(example.daemons)]
    return [Forwarder(example.reached(target), target) for target in targets]


async def run(soak_s: float, seed: int, wanted: set[str], keep: str) -> History:
    """Run the deployment under load and faults and return its history."""
    example = make_example()
    options = ("--step-s", "0.02", "--report-lag-s", "0.5", "--crash-on", POISON)
    forwarders = make_forwarders(example)
    async with anyio.create_task_group() as background:
        for forwarder in forwarders:
            background.start_soon(forwarder.run)
        deployment = Deployment(example, options)
        await anyio.to_thread.run_sync(deployment.__enter__)
        with contextlib.ExitStack() as stack:
            stack.callback(deployment.__exit__)
            hosts = set(range(example.daemons))
            world = World(deployment, forwarders, hosts)
            world.lives = {host: Life() for host in hosts}
            world.ends_s = time.time() + soak_s
            await world.post(example.host_list, "/faults", lag_s=1.0)
            background.start_soon(watch_generations, world)
            background.start_soon(supervise, world)
            async with anyio.create_task_group() as tasks:
                for place in range(CALLERS):
                    tasks.start_soon(LoadCaller(place, world, seed).run)
                tasks.start_soon(bring_faults, world, seed, wanted)
            history = read_history(deployment.journals())
            history.records += world.records
            _keep(deployment, world, keep)
        background.cancel_scope.cancel()
    return history


def _keep(deployment: Deployment, world: World, keep: str) -> None:
    if not keep:
        return
    folder = Path(keep)
    folder.mkdir(parents=True, exist_ok=True)
    lines = [record.line() for record in world.records]
    (folder / "callers.jsonl").write_text("\n".join(lines) + "\n")
    for path in deployment.journals():
        shutil.copy(path, folder)
    for name in deployment.processes:
        (folder / f"{name}.log").write_text(deployment.log(name))


def summarise(history: History, seed: int, soak_s: float) -> dict[str, object]:
    """Return the figures of a run."""
    requests = history.of(RequestEnded)
    outcomes = Counter(str(request.outcome) for request in requests)
    reasons = Counter(
        request.reason for request in requests if request.outcome != Outcome.COMPLETE
    )
    first_s = [request.first_token_s for request in requests if request.first_token_s]
    cuts = quantiles(first_s, n=100) if len(first_s) > 1 else [0.0] * 99
    violations = check(history)
    return {
        "commit": _commit(),
        "command": f"SOAK_S={soak_s:g} SOAK_SEED={seed} make soak",
        "seconds": soak_s,
        "requests": len(requests),
        "outcomes": dict(outcomes),
        "reasons": {name[:60]: count for name, count in reasons.most_common(12)},
        "faults": dict(Counter(fault.name for fault in history.of(Fault))),
        "first_token_p50_s": round(cuts[49], 3),
        "first_token_p95_s": round(cuts[94], 3),
        "violations": dict(Counter(held.promise for held in violations)),
        "examples": [f"{held.promise}: {held.detail}" for held in violations[:20]],
    }


def _commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.run(command, capture_output=True, text=True).stdout.strip()


def main() -> int:
    """Run, check and print."""
    soak_s = float(os.environ.get("SOAK_S", "600"))
    seed = int(os.environ.get("SOAK_SEED", "1"))
    wanted = set(os.environ.get("SOAK_FAULTS", "").split())
    keep = os.environ.get("SOAK_KEEP", "")
    history = anyio.run(run, soak_s, seed, wanted, keep)
    figures = summarise(history, seed, soak_s)
    for name, value in figures.items():
        if name != "examples":
            print(f"{name}: {value}")
    for line in figures["examples"]:  # type: ignore[attr-defined]
        print("violation:", line)
    if not wanted:
        RESULTS.mkdir(exist_ok=True)
        text = json.dumps(figures, indent=2)
        (RESULTS / "soak.json").write_text(text + "\n")
    return 1 if figures["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
