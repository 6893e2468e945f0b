"""The separate-process shape under load, with one daemon replaced in mid-load."""

import json
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import anyio
import httpx
from deployment import Deployment

from knapweedbridge_standins.example import CALLER_KEY, Example
from knapweedbridge_standins.oracle import answer

CALLERS = 24
RUN_S = 12.0
TOKENS = 24
SEED = 7


@dataclass
class Findings:
    """What the callers saw."""

    answers: Counter = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


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


async def caller(
    place: int, example: Example, open_daemons: set[int], findings: Findings
) -> None:
    """Ask until time is up; a refused connection goes to another host."""
    rng = random.Random(SEED * 1000 + place)
    headers = {"authorization": f"Bearer {CALLER_KEY}"}
    ends_s = time.monotonic() + RUN_S
    async with httpx.AsyncClient(
        headers=headers, timeout=30, trust_env=False
    ) as client:
        while time.monotonic() < ends_s:
            model = example.model(min(int(rng.expovariate(0.5)), example.adapters - 1))
            prompt = f"caller {place} {rng.random()}"
            host = rng.choice(sorted(open_daemons))
            url = f"http://{example.callers(host)}"
            try:
                text = await ask(client, url, model, prompt)
            except httpx.ConnectError:
                findings.answers["connection refused"] += 1
                await anyio.sleep(0.1)
                continue
            except (RuntimeError, httpx.HTTPError) as error:
                findings.faults.append(f"host-{host} {model}: {error!r}")
                await anyio.sleep(0.1)
                continue
            right = "".join(answer(model, prompt, TOKENS))
            findings.answers["right" if text == right else "wrong"] += 1
            if text != right:
                findings.faults.append(f"host-{host}: wrong answer for {model}")


async def replace(deployment: Deployment, open_daemons: set[int]) -> None:
    """Stop one daemon gracefully under load, and start it again."""
    await anyio.sleep(RUN_S / 3)
    open_daemons.discard(1)
    code = await anyio.to_thread.run_sync(deployment.stop, "host-1")
    print(f"host-1 stopped gracefully in mid-load, exit code {code}")
    deployment.daemon(1)
    url = f"http://{deployment.example.administration(1)}/v1/status"
    await anyio.to_thread.run_sync(deployment.await_answer, url)
    await anyio.sleep(2)
    open_daemons.add(1)


async def run(deployment: Deployment) -> Findings:
    """Run the callers beside the replacement."""
    findings = Findings()
    open_daemons = set(range(deployment.example.daemons))
    async with anyio.create_task_group() as tasks:
        for place in range(CALLERS):
            tasks.start_soon(caller, place, deployment.example, open_daemons, findings)
        tasks.start_soon(replace, deployment, open_daemons)
    return findings


def main() -> int:
    """Run the shape and print what the callers saw."""
    with Deployment(Example(base_port=26000)) as deployment:
        print("processes:", ", ".join(deployment.processes))
        findings = anyio.run(run, deployment)
    print("answers:", dict(findings.answers))
    for fault in findings.faults[:10]:
        print("fault:", fault)
    print(f"{len(findings.faults)} lost, cut or wrong")
    return 1 if findings.faults else 0


if __name__ == "__main__":
    sys.exit(main())
