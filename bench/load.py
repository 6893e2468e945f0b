"""The load of whole runs, and what a request that was not answered waited for."""

import contextlib
import random
import time

import anyio
import httpx
from asking import Asker, Work
from world import World

from knapweedbridge_standins.example import ADMINISTRATOR_KEY
from knapweedbridge_standins.runs import Outcome, RequestEnded

THINK_S = 0.6
REPEATS = 3
EVIDENCE_EVENTS = 60


class LoadCaller:
    """One caller: asks, repeats what was not run, sends orders with a key."""

    def __init__(
        self, place: int, world: World, seed: int, think_s: float = THINK_S
    ) -> None:
        self._place = place
        self._think_s = think_s
        self._world = world
        self._rng = random.Random(seed * 1000 + place)
        self._count = 0

    async def run(self) -> None:
        """Ask until time is up."""
        example = self._world.deployment.example
        async with Asker(example, f"caller-{self._place}") as asker:
            while time.time() < self._world.ends_s:
                await self._do(asker, self._next())
                await anyio.sleep(self._rng.expovariate(1 / self._think_s))

    def _next(self) -> Work:
        self._count += 1
        example = self._world.deployment.example
        nonce = f"c{self._place}-{self._count}"
        kind = self._rng.random()
        if kind < 0.15:
            return Work(nonce, non_idempotent=True, key=nonce)
        if kind < 0.2:
            return Work(nonce, non_idempotent=True)
        if kind < 0.25:
            model = example.receipts_model
            return Work(nonce, "receipts", model, non_idempotent=True, key=nonce)
        if kind < 0.3:
            return Work(nonce, "reminders", example.model(0))
        adapter = min(int(self._rng.paretovariate(0.7)), example.adapters) - 1
        model = example.model(adapter)
        tokens = self._rng.randint(4, 60)
        return Work(nonce, model, model, self._rng.random() < 0.7, tokens=tokens)

    async def _do(self, asker: Asker, work: Work) -> None:
        for _ in range(REPEATS):
            hosts = sorted(self._world.open_hosts)
            ended, retry_after_s = await asker.ask(work, self._rng.choice(hosts))
            self._world.note(ended)
            if ended.outcome == Outcome.UNANSWERED:
                await write_evidence(self._world, ended)
            if not self._may_repeat(work, ended):
                return
            await anyio.sleep(min(5.0, max(0.2, retry_after_s)))

    @staticmethod
    def _may_repeat(work: Work, ended: RequestEnded) -> bool:
        if ended.outcome == Outcome.COMPLETE:
            return False
        proved = ended.outcome in (Outcome.NOT_RUN, Outcome.REFUSED)
        return proved or not work.non_idempotent or bool(work.key)


async def write_evidence(world: World, ended: RequestEnded) -> None:
    """Pull the time line of what a request waited for from every host."""
    events = []
    headers = {"authorization": f"Bearer {ADMINISTRATOR_KEY}"}
    async with httpx.AsyncClient(headers=headers, trust_env=False, timeout=3) as client:
        for host in sorted(world.lives):
            url = f"http://{world.deployment.example.administration(host)}"
            with contextlib.suppress(httpx.HTTPError, ValueError, KeyError, TypeError):
                query = {"model": ended.model}
                found = await client.get(f"{url}/v1/timeline", params=query)
                held = found.json()
                events += held if isinstance(held, list) else held["events"]
    events.sort(key=lambda event: event["wall_us"])
    print(f"waiting: {ended.nonce} {ended.model} on {ended.host}")
    for event in events[-EVIDENCE_EVENTS:]:
        at_s = event["wall_us"] / 1e6 - ended.began_s
        print(f"  {at_s:8.2f} {event['host']} {event['kind']} {event['fields']}")
