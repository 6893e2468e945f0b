"""Replaces every daemon under load, one after the other, with real processes.

Callers go through a balancer that polls `/health` and, like the platform's, sends
nothing more to a host that answers 503. Each caller keeps its connections. Every
answer is checked against the oracle, and every call of the plain service, which
may run at most once, against what the service says it ran.
"""

import argparse
import json
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx
from deployment import Deployment

from knapweedbridge_standins.example import CALLER_KEY, Example
from knapweedbridge_standins.oracle import answer

BASE_PORT = 23600
CALLERS = 16
TOKENS = 24
POLL_S = 0.2
GRACE_S = 1
APPLY_TIMES = 20
APPLY_AGAIN_S = 0.5
SETTLE_S = 2.0
SEED = 5
SECOND_SIGNAL_S = 10.0
RESULT = Path(__file__).parent / "results" / "rolling.json"


class RollingDeployment(Deployment):
    """A deployment whose daemons give the balancer a second to learn."""

    def settings(self, place: int) -> str:
        """Return the daemon's settings with the grace."""
        return super().settings(place) + f"\n[requests]\ndrain_grace_s = {GRACE_S}\n"

    def apply(self) -> None:
        """Apply the folder, again while the daemons have not met yet."""
        for _ in range(APPLY_TIMES):
            try:
                super().apply()
                return
            except RuntimeError as error:
                if "try again" not in str(error):
                    raise
            time.sleep(APPLY_AGAIN_S)
        raise RuntimeError("the daemons did not meet")


class Balancer:
    """Knows which hosts answer that they serve."""

    def __init__(self, example: Example) -> None:
        self._example = example
        self._serving: set[int] = set(range(example.daemons))

    def choose(self, rng: random.Random) -> int:
        """Choose a host that serves."""
        return rng.choice(sorted(self._serving))

    async def poll(self) -> None:
        """Ask each host for its health for ever."""
        async with httpx.AsyncClient(timeout=1, trust_env=False) as client:
            while True:
                for place in range(self._example.daemons):
                    await self._ask(client, place)
                await anyio.sleep(POLL_S)

    async def _ask(self, client: httpx.AsyncClient, place: int) -> None:
        url = f"http://{self._example.callers(place)}/health"
        try:
            status = (await client.get(url)).status_code
        except httpx.HTTPError:
            status = 0
        if status == 200:
            self._serving.add(place)
        elif len(self._serving) > 1:
            self._serving.discard(place)


@dataclass
class Findings:
    """What the callers saw."""

    answers: Counter = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    orders: list[str] = field(default_factory=list)
    codes: list[int] = field(default_factory=list)
    stop_s: list[float] = field(default_factory=list)


async def caller(
    place: int, example: Example, balancer: Balancer, found: Findings, over: anyio.Event
) -> None:
    rng = random.Random(SEED * 1000 + place)
    headers = {"authorization": f"Bearer {CALLER_KEY}"}
    async with httpx.AsyncClient(
        headers=headers, timeout=30, trust_env=False
    ) as client:
        while not over.is_set():
            host = balancer.choose(rng)
            url = f"http://{example.callers(host)}"
            asking = order if rng.random() < 0.3 else complete
            try:
                await asking(client, url, rng, example, found)
            except (RuntimeError, httpx.HTTPError) as error:
                found.faults.append(f"host-{host} {asking.__name__}: {error!r}")


async def ask(client: httpx.AsyncClient, url: str, model: str, prompt: str) -> str:
    """Stream one completion and return its text, or raise."""
    body = {"model": model, "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    text, done = "", False
    async with client.stream("POST", url + "/v1/completions", json=body) as response:
        if response.status_code != 200:
            raise RuntimeError((await response.aread()).decode())
        async for line in response.aiter_lines():
            if line == "data: [DONE]":
                done = True
            elif line.startswith("data: "):
                event = json.loads(line[6:])
                if "error" in event:
                    raise RuntimeError(line)
                text += event["choices"][0]["text"]
    if not done:
        raise RuntimeError("cut: a clean end without [DONE]")
    return text


async def complete(
    client: httpx.AsyncClient,
    url: str,
    rng: random.Random,
    example: Example,
    found: Findings,
) -> None:
    model = example.model(min(int(rng.expovariate(0.5)), example.adapters - 1))
    prompt = f"prompt {rng.random()}"
    text = await ask(client, url, model, prompt)
    right = text == "".join(answer(model, prompt, TOKENS))
    found.answers["right" if right else "wrong"] += 1


async def order(
    client: httpx.AsyncClient,
    url: str,
    rng: random.Random,
    example: Example,
    found: Findings,
) -> None:
    body = f"order {rng.random()}"
    found.orders.append(body)
    response = await client.post(f"{url}/orders/1", content=body)
    if response.status_code != 200:
        raise RuntimeError(response.text)
    found.answers["order"] += 1


async def replace_all(
    deployment: Deployment, found: Findings, over: anyio.Event
) -> None:
    await anyio.sleep(SETTLE_S)
    for place in range(deployment.example.daemons):
        began_s = time.monotonic()
        stop = anyio.to_thread.run_sync(deployment.stop, f"host-{place}")
        found.codes.append(await stop)
        found.stop_s.append(round(time.monotonic() - began_s, 2))
        deployment.daemon(place)
        url = f"http://{deployment.example.administration(place)}/v1/status"
        await anyio.to_thread.run_sync(deployment.await_answer, url)
        await anyio.sleep(SETTLE_S)
    over.set()


async def run(deployment: Deployment) -> Findings:
    found, over = Findings(), anyio.Event()
    balancer = Balancer(deployment.example)
    async with anyio.create_task_group() as polling:
        polling.start_soon(balancer.poll)
        async with anyio.create_task_group() as tasks:
            for place in range(CALLERS):
                tasks.start_soon(
                    caller, place, deployment.example, balancer, found, over
                )
            tasks.start_soon(replace_all, deployment, found, over)
        polling.cancel_scope.cancel()
    return found


def check_orders(example: Example, found: Findings) -> None:
    """Count the orders that ran twice or were lost."""
    ran = httpx.get(f"http://{example.plain}/runs").json()
    for body in found.orders:
        if ran.get(body, 0) != 1:
            found.faults.append(f"{body} ran {ran.get(body, 0)} times")


def signal_twice(deployment: Deployment) -> tuple[int, str, float]:
    """Signal a daemon twice in mid-stream; return its code, its words, its time."""
    example = deployment.example
    headers = {"authorization": f"Bearer {CALLER_KEY}"}
    body = {"model": example.model(0), "prompt": "x", "max_tokens": 2000}
    url = f"http://{example.callers(0)}/v1/completions"
    client = httpx.Client(headers=headers, timeout=30, trust_env=False)
    with (
        client,
        client.stream("POST", url, json={**body, "stream": True}) as response,
    ):
        lines = response.iter_lines()
        first = next(lines)
        if response.status_code != 200:
            raise RuntimeError(first)
        process = deployment.processes.pop("host-0")
        process.send_signal(signal.SIGTERM)
        time.sleep(1.5)
        began_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        code = process.wait(SECOND_SIGNAL_S)
        took_s = time.monotonic() - began_s
    words = [line for line in deployment.log("host-0").splitlines() if "cut " in line]
    return code, words[-1] if words else "", took_s


def commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.run(command, capture_output=True, text=True).stdout.strip()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=4)
    daemons = parser.parse_args().daemons
    with RollingDeployment(Example(BASE_PORT, daemons=daemons)) as deployment:
        found = anyio.run(run, deployment)
        check_orders(deployment.example, found)
        tracebacks = sum(
            deployment.log(f"host-{place}").count("Traceback")
            for place in range(daemons)
        )
        code, words, took_s = signal_twice(deployment)
    result = {
        "command": f"make rolling ({daemons} daemons)",
        "commit": commit(),
        "answers": dict(found.answers),
        "lost_cut_wrong_or_doubled": len(found.faults),
        "exit_codes": found.codes,
        "stop_s": found.stop_s,
        "tracebacks": tracebacks,
        "second_signal": {"code": code, "words": words, "took_s": round(took_s, 2)},
    }
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(result, indent=1) + "\n")
    for name, value in result.items():
        print(f"{name}: {value}")
    for fault in found.faults[:10]:
        print("fault:", fault)
    bad = found.faults or any(found.codes) or tracebacks or code != 3 or not words
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
