"""The separate-process shape under load, with one daemon replaced in mid-load.

Streamed, unstreamed and plain requests; each answer is checked against the
oracle, and the runs that the stand-ins wrote down against what callers heard.
"""

import random
import sys
import time
from collections import Counter

import anyio
from deployment import Deployment
from load import LoadCaller
from soak_faults import Replace
from world import Life, World

from knapweedbridge_standins.example import find_free_example
from knapweedbridge_standins.runs import (
    History,
    Outcome,
    RequestEnded,
    check,
    read_history,
)

BASE_PORT = 26000
CALLERS = 24
RUN_S = 15.0
THINK_S = 0.05
SEED = 7


async def run(deployment: Deployment) -> History:
    """Run the callers beside the replacement of host-1."""
    hosts = range(deployment.example.daemons)
    world = World(deployment, [], set(hosts))
    world.lives = {host: Life() for host in hosts}
    world.ends_s = time.time() + RUN_S
    async with anyio.create_task_group() as tasks:
        for place in range(CALLERS):
            tasks.start_soon(LoadCaller(place, world, SEED, THINK_S).run)
        await anyio.sleep(RUN_S / 3)
        await Replace().take(world, random.Random(SEED), 1)
        print("host-1 was stopped gracefully in mid-load and replaced")
    history = read_history(deployment.journals())
    history.records += world.records
    return history


def find_faults(history: History) -> list[str]:
    """Return what broke a promise and each request without its whole answer.

    A refused connection is none: the balancer sends the caller elsewhere.
    """
    found = [f"{held.promise}: {held.detail}" for held in check(history)]
    fine = (Outcome.COMPLETE, Outcome.REFUSED)
    for request in history.of(RequestEnded):
        if request.outcome not in fine:
            waited_s = request.ended_s - request.began_s
            asked = request.model or "order"
            detail = f"{request.outcome} {request.reason} after {waited_s:.1f} s"
            found.append(f"{request.host} {asked} {request.nonce}: {detail}")
    return found


def describe(request: RequestEnded) -> str:
    """Name the form of a request and how it ended."""
    form = "streamed" if request.streamed else "whole"
    form = form if request.model else "plain"
    return f"{form} {request.outcome}"


def main() -> int:
    """Run the shape and print what the callers saw."""
    example = find_free_example(BASE_PORT, daemons=3, engines=2, plains=2)
    with Deployment(example) as deployment:
        print("processes:", ", ".join(deployment.processes))
        history = anyio.run(run, deployment)
        wrote = deployment.tracebacks()
    requests = history.of(RequestEnded)
    seen = Counter(describe(request) for request in requests)
    print(f"{len(requests)} requests:", dict(sorted(seen.items())))
    faults = find_faults(history)
    faults += [f"{name} wrote {text}" for name, text in wrote.items()]
    for fault in faults[-10:]:
        print("fault:", fault)
    print(f"{len(faults)} lost, cut or wrong")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
