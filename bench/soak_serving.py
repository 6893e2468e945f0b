"""Real daemons on the platform's wire, under faults from outside, checked meanwhile.

``SOAK_SEEDS`` (``1-3``: first and last), ``SOAK_S`` (20), ``SOAK_DAEMONS`` (3),
``SOAK_RELEASES`` (1; 0: no engine gets new software, and no stream is taken up),
``SOAK_DEADLY`` (2: requests that end the endpoints which run them), ``SOAK_PARTS`` (1:
parts of prompts that end the engines which begin an answer on them) and ``SOAK_PLANT``
(a planted fault's name; the run must then find it) come from the environment. Ends only
processes that it started.
"""

import os
import random
import sys
from collections import Counter
from contextlib import ExitStack
from pathlib import Path

import anyio
import httpx

for area in ("platform", "exchanges"):
    sys.path.insert(0, str(Path(__file__).parent.parent / "features" / area))

from soak_callers import CLIENTS, Callers  # noqa: E402
from soak_checks import ORDER, StreamShares  # noqa: E402
from soak_disturbances import Disturbances  # noqa: E402
from soak_pool import Pool  # noqa: E402

SETTLE_S = 8.0


class Soak:
    """One seeded run."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.watched = pool.watched
        self.disturbances = Disturbances(pool)
        self.callers = Callers(pool)

    async def run(self, seconds: float) -> None:
        """Play the run."""
        await self.pool.start()
        until_s = anyio.current_time() + seconds
        async with anyio.create_task_group() as busy:
            busy.start_soon(self.disturbances.run, until_s)
            for client in range(CLIENTS):
                busy.start_soon(self.callers.call_on, client, until_s)
            for number in range(self.pool.deadly_requests):
                busy.start_soon(self.callers.repeat_deadly, number, until_s)
            for number in range(self.pool.deadly_parts):
                busy.start_soon(self.callers.repeat_part, number, until_s)
        self.pool.cuts.check()
        self.pool.deadly.check_sound()
        await self._recover()
        lost = self.pool.shares.violation()
        if lost:
            self.watched.broken(lost)

    async def _recover(self) -> None:
        await anyio.sleep(SETTLE_S)
        self.pool.end_faults()
        luck, found = random.Random(0), Counter()
        async with httpx.AsyncClient(timeout=6) as http:
            for number in range(40):
                kind = luck.choice(["look", "draft"])
                for attempt in range(3):
                    call = f"{kind}-r{attempt}-{number}"
                    outcome = await self.callers.one_call(http, luck, kind, call)
                    if outcome != "503":
                        break
                    # Callers come back when they are told to.
                    await anyio.sleep(1.0)
                found[outcome] += 1
        if found["200"] < 30:
            self.watched.broken(f"after the faults: {dict(found)}")

    def told(self) -> str:
        """Return what the run has seen, for people."""
        outcomes, watched = self.callers.outcomes, self.watched
        return (
            f"{sum(outcomes.values())} requests {dict(outcomes)},"
            f" faults {self.disturbances.counts}, begun {dict(watched.begun)},"
            f" at cut and linked hosts {self.pool.cuts.tries},"
            f" streams {self.pool.shares}, ended by deadly requests {self.pool.deadly},"
            f" {len(watched.violations)} violations"
        )


async def play(
    seed: int, seconds: float, daemons: int, plant: str, releases: bool
) -> Soak:
    """Play one seed, and stop what it started."""
    with ExitStack() as stack:
        async with anyio.create_task_group() as tasks:
            luck = random.Random(seed)
            soak = Soak(Pool(stack, tasks, luck, daemons, plant, releases))
            await soak.run(seconds)
            tasks.cancel_scope.cancel()
    return soak


def main() -> int:
    """Play all seeds, and return 1 if a promise was broken."""
    first, _, last = os.environ.get("SOAK_SEEDS", "1-3").partition("-")
    seconds = float(os.environ.get("SOAK_S", "20"))
    daemons = int(os.environ.get("SOAK_DAEMONS", "3"))
    plant = os.environ.get("SOAK_PLANT", "")
    releases = os.environ.get("SOAK_RELEASES", "1") != "0"
    found: dict[int, list[str]] = {}
    shares = StreamShares()
    for seed in range(int(first), int(last or first) + 1):
        soak = anyio.run(play, seed, seconds, daemons, plant, releases)
        found[seed] = soak.watched.violations
        shares.add(soak.pool.shares)
        print(f"seed {seed}: {soak.told()}", flush=True)
        for violation in some_of(found[seed]):
            print(f"  {violation}", flush=True)
    return tell(found, shares)


def some_of(violations: list[str]) -> list[str]:
    """Return the first five violations of ORDER, and of all others."""
    order = [each for each in violations if each.startswith(ORDER)]
    others = [each for each in violations if not each.startswith(ORDER)]
    return order[:5] + others[:5]


def tell(found: dict[int, list[str]], shares: StreamShares) -> int:
    """Print what all seeds have found, and return 1 if a promise was broken."""
    broken = [seed for seed, violations in found.items() if violations]
    lost = shares.violation()
    order = {seed: sum(v.startswith(ORDER) for v in found[seed]) for seed in broken}
    print(f"streams of all seeds: {shares}")
    print(f"seeds {broken} broke a promise; ORDER: {order}")
    print(lost or "none LOST")
    print(f"{len(found) - len(broken)} passed, {len(broken)} failed")
    return 1 if broken or lost else 0


if __name__ == "__main__":
    sys.exit(main())
