"""One case of each deployment through whole cores, and on real processes.

The same seeded arrivals, from a cold start, through three things: the fast model
of `placement_model`, three whole cores in virtual time, and separate processes.
"""

import argparse
import json
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path

import anyio
import httpx
from deployment import Deployment
from placement_model import (
    CHAOPHRAYA,
    OKAVANGO,
    Arrival,
    Faults,
    Run,
    Site,
    arrivals,
)
from placement_policies import OURS, POLICIES

from knapweedbridge_core import NotRun
from knapweedbridge_core.actions import Dispatch, Finish
from knapweedbridge_core.configuration import Configuration, build
from knapweedbridge_standins.example import CALLER_KEY, Example
from knapweedbridge_standins.history import World

RESULTS = Path(__file__).parent / "results" / "placement-whole.json"
DAEMONS = 3
RUN_S = 180.0
WARM_S = 90.0
SETTLE_S = 5.0
LOAD_SHARE = 0.9
ENGINE_STEP_S = 0.01
SEED = 505
PER_S = {"okavango": 5.0, "chaophraya": 7.0}
BASE_PORTS = {"okavango": 25500, "chaophraya": 25700}


@dataclass(slots=True)
class Figures:
    """What callers saw after the warm-up."""

    way: str
    requests: int
    stalled: float
    mean_s: float
    p50_s: float
    p95_s: float
    p99_s: float
    unanswered: int
    loads_per_s: float


def figures(
    way: str, waits: list[float], unanswered: int, loads: float, quick_s: float
) -> Figures:
    """Sum up waits; a wait above ``quick_s`` is a stall."""
    ordered = sorted(waits)
    count = len(ordered)
    return Figures(
        way,
        count,
        sum(wait > quick_s for wait in ordered) / count,
        sum(ordered) / count,
        ordered[count // 2],
        ordered[int(count * 0.95)],
        ordered[int(count * 0.99)],
        unanswered,
        loads,
    )


class PlacementWorld(World):
    """Whole cores with the sizes of a deployment."""

    def __init__(self, site: Site, stream: list[Arrival]) -> None:
        self._site = site
        self._service_s: dict[str, float] = {}
        self._arrived_s: dict[str, float] = {}
        self.waits: list[float] = []
        self.unanswered = 0
        self.loads = 0
        super().__init__(SEED, DAEMONS, site.engines, site.slots, site.adapters)
        for engine in self.engines.values():
            engine.load_s = LOAD_SHARE / site.loads_per_s
        for arrival in stream:
            self.at(SETTLE_S + arrival.at_s, partial(self._arrive, arrival))

    def _build(self, slots: int, checks_fencing: bool) -> Configuration:
        built = super()._build(slots, checks_fencing)
        sections = built.sections
        sections["weight_store"] = {"loads_per_s": str(self._site.loads_per_s)}
        sections["placement"] = {"weigh": str(self._site.weigh)}
        for n in range(self._site.adapters):
            name = f"a{n:05}"
            adapter = {"team": "optics", "base_model": "namib-7b"}
            sections[f"adapter {name}"] = adapter
            sections[f"version {name}@1"] = {}
        return build(1, sections)[0]

    def _arrive(self, arrival: Arrival) -> None:
        host = self.rng.choice(self.live())
        request_id = f"{host}.r{len(self._service_s) + 1}"
        self._service_s[request_id] = arrival.service_s
        if arrival.at_s > WARM_S:
            self._arrived_s[request_id] = self.now_s
        asked = self.ask(host, arrival.model)
        assert asked == request_id, (asked, request_id)

    def _dispatch(self, host: str, action: Dispatch) -> None:
        since_s = self._arrived_s.pop(action.request_id, None)
        if since_s is not None:
            self.waits.append(self.now_s - since_s)
        self.stream_s = self._service_s[action.request_id]
        super()._dispatch(host, action)

    def _finish(self, host: str, action: Finish) -> None:
        if self._arrived_s.pop(action.request_id, None) is not None:
            self.unanswered += isinstance(action.outcome, NotRun)
        super()._finish(host, action)

    def _load(self, host: str, node: object, action: object) -> None:
        self.loads += self.now_s > SETTLE_S + WARM_S
        super()._load(host, node, action)


def from_cold(site: Site) -> list[Arrival]:
    """Draw arrivals without what came before time 0."""
    drawn = arrivals(site, PER_S[site.name], RUN_S, SEED, Faults())
    return [arrival for arrival in drawn if arrival.at_s > 0]


def through_model(site: Site, stream: list[Arrival]) -> Figures:
    """Run the fast model."""
    policy = next(policy for policy in POLICIES if policy.name == OURS)
    order = policy.order(site, stream, SEED)
    run = Run(site, stream, order, policy.join(site), Faults(), WARM_S, SEED)
    result = run.run()
    waits = [wait_s for _, wait_s in result.stalls]
    loads = result.loads / (RUN_S - WARM_S)
    return figures("fast model", waits, len(result.refused), loads, 0.0)


def through_cores(site: Site, stream: list[Arrival]) -> Figures:
    """Run three whole cores in virtual time."""
    world = PlacementWorld(site, stream)
    world.run(SETTLE_S + RUN_S)
    violations = world.checker.violations
    if violations:
        raise RuntimeError(str(violations[:3]))
    loads = world.loads / (RUN_S - WARM_S)
    return figures("whole cores", world.waits, world.unanswered, loads, 0.05)


class SizedExample(Example):
    """The example with a deployment's adapters, rate and setting."""

    site: Site = OKAVANGO

    def model(self, place: int) -> str:
        """Return an adapter version."""
        return f"a{place:05}@1"

    def _adapters(self) -> str:
        return "".join(
            f"[adapter a{place:05}]\nteam = optics\nbase_model = namib-7b\n"
            f"[version {self.model(place)}]\n"
            for place in range(self.adapters)
        )

    def _routes(self) -> str:
        routes = super()._routes()
        rate = f"loads_per_s = {self.site.loads_per_s}"
        routes = routes.replace("loads_per_s = 4", rate)
        return f"{routes}\n[placement]\nweigh = {self.site.weigh}\n"


async def ask(
    client: httpx.AsyncClient, url: str, arrival: Arrival, waits: list, lost: list
) -> None:
    """Ask once and note the time to the first token."""
    tokens = round(arrival.service_s / ENGINE_STEP_S)
    body = {
        "model": str(arrival.model),
        "prompt": f"p{arrival.at_s}",
        "max_tokens": tokens,
        "stream": True,
    }
    started_s = time.monotonic()
    first_s = None
    async with client.stream("POST", url + "/v1/completions", json=body) as answer:
        async for line in answer.aiter_lines():
            if first_s is None and line.startswith("data: ") and "choices" in line:
                first_s = time.monotonic() - started_s
    if arrival.at_s > WARM_S:
        (lost if first_s is None else waits).append(first_s)


async def replay(example: Example, stream: list[Arrival]) -> tuple[list, list]:
    """Send the arrivals at their times, to the daemons in turn."""
    waits: list[float] = []
    lost: list = []
    headers = {"authorization": f"Bearer {CALLER_KEY}"}
    limits = httpx.Limits(max_connections=200, max_keepalive_connections=100)
    async with (
        httpx.AsyncClient(
            headers=headers, timeout=60, trust_env=False, limits=limits
        ) as client,
        anyio.create_task_group() as tasks,
    ):
        began_s = time.monotonic()
        for place, arrival in enumerate(stream):
            await anyio.sleep(max(0.0, began_s + arrival.at_s - time.monotonic()))
            url = f"http://{example.callers(place % example.daemons)}"
            tasks.start_soon(ask, client, url, arrival, waits, lost)
    return waits, lost


def through_processes(site: Site, stream: list[Arrival]) -> Figures:
    """Run separate processes on loopback."""
    example = SizedExample(
        BASE_PORTS[site.name], DAEMONS, site.engines, site.adapters, site.slots
    )
    SizedExample.site = site
    with Deployment(example) as deployment:
        deployment.await_answer(f"http://{example.callers(0)}/")
        time.sleep(SETTLE_S)
        faults = {"load_s": LOAD_SHARE / site.loads_per_s}
        httpx.post(f"http://{example.weight_store}/faults", json=faults)
        calls = f"http://{example.weight_store}/calls"
        before = httpx.get(calls).json()["loads"]
        waits, lost = anyio.run(replay, example, stream)
        loads = (httpx.get(calls).json()["loads"] - before) / RUN_S
    quick_s = sorted(waits)[len(waits) // 4] + 0.05
    return figures("processes", waits, len(lost), loads, quick_s)


def show(site: Site, found: Figures) -> None:
    """Print one line."""
    print(
        f"{site.name:10} {found.way:12} requests {found.requests}"
        f" stalled {found.stalled:5.1%} mean {found.mean_s:.3f}"
        f" p50 {found.p50_s:.3f} p95 {found.p95_s:.2f} p99 {found.p99_s:.2f}"
        f" unanswered {found.unanswered} loads/s {found.loads_per_s:.2f}",
        flush=True,
    )


def main() -> int:
    """Run all three ways and write the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--without-processes", action="store_true")
    arguments = parser.parse_args()
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    rows = []
    for site in (OKAVANGO, CHAOPHRAYA):
        stream = from_cold(site)
        ways = [through_model, through_cores]
        if not arguments.without_processes:
            ways.append(through_processes)
        for way in ways:
            found = way(site, stream)
            rows.append({"site": site.name, **asdict(found)})
            show(site, found)
    command = "python bench/placement_whole.py"
    record = {"command": command, "commit": commit, "rows": rows}
    RESULTS.write_text(json.dumps(record, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
