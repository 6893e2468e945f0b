"""Retries under an outage, writes a claim, and silent connections, measured.

The first two drive the core in virtual time; the last runs a real daemon and a
stand-in engine in one process, with a TCP forwarder that goes silent between them.
"""

import heapq
import json
import os
import random
import statistics
import time
from dataclasses import asdict, dataclass
from itertools import count
from typing import Any

import anyio
import httpx

from knapweedbridge_core import Bridge, events
from knapweedbridge_core.actions import (
    ClaimTimer,
    ClaimWrite,
    Dispatch,
    Finish,
    StoreRead,
    StoreWrite,
)
from knapweedbridge_core.configuration import build
from knapweedbridge_core.outcomes import Complete, NotRun, Reason, Unknown
from knapweedbridge_core.retries import RetryBudget
from knapweedbridge_standins.embedded import EmbeddedPlatform
from knapweedbridge_standins.example import CALLER_KEY, Example
from knapweedbridge_standins.oracle import answer
from knapweedbridge_standins.silent_proxy import SilentProxy

SEED = 11
RATES_PER_S = (17, 100)
OUTAGE_S = (20.0, 40.0)
RUN_S = 60.0
SERVICE_S = 0.2
ENDPOINTS = 4
TICK_S = 0.2
STORE_S = 0.004
CLAIM_RATES_PER_S = (1, 11, 50, 200)
CLAIM_RUN_S = 60.0
BOUNDS_S = (0.25, 0.5, 1.0, 2.0)
# Sixteen of them fill the engine's batch; the others wait for their first token.
STREAMS = 20
TOKENS = 200
FIRST_TOKEN_S = 8.0
SILENT_AT = 20
BASE_PORT = 23300


class Unlimited(RetryBudget):
    """The baseline: every retry is paid for."""

    def spend(self, now_s: float) -> bool:
        """Allow it."""
        return True


@dataclass(slots=True)
class OutageFigures:
    """What an outage of some endpoints made of the requests of one daemon."""

    rate_per_s: int
    out: str
    budget: bool
    requests: int
    attempts: int
    attempts_a_request: float
    attempts_a_request_in_outage: float
    answered: int
    longest_end_s: float


@dataclass(slots=True)
class ClaimFigures:
    """What claims cost at one rate a data centre."""

    claims_per_s: int
    claims: int
    writes: int
    records: int
    writes_a_claim: float
    writes_per_s: float
    wait_p50_s: float
    wait_p95_s: float


@dataclass(slots=True)
class SilenceFigures:
    """What a silence of all connections made of the streams on them."""

    bound_s: float
    resumes: bool
    streams: int
    whole: int
    lost: int
    notice_p50_s: float
    notice_max_s: float


class VirtualDaemon:
    """One core in virtual time, before plain endpoints that a test lets fail."""

    def __init__(self, non_idempotent: bool = False) -> None:
        self.now_s = 0.0
        self.bridge = Bridge("host-0", "dc1")
        self.dispatched: list[tuple[float, str]] = []
        self.told: dict[str, tuple[float, Any]] = {}
        self.asked: dict[str, float] = {}
        self.writes = 0
        self.records = 0
        self._values: dict[str, tuple[bytes, int]] = {}
        self.is_out = lambda endpoint: None
        self._non_idempotent = non_idempotent
        self._queue: list[tuple[float, int, Any]] = []
        self._order = count()
        self.tell(events.ConfigurationRead(build(1, _sections())[0]))
        self._tick()

    def after(self, delay_s: float, work: Any) -> None:
        """Do something after a while."""
        heapq.heappush(self._queue, (self.now_s + delay_s, next(self._order), work))

    def run(self, until_s: float) -> None:
        """Let time pass."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, work = heapq.heappop(self._queue)
            work()
        self.now_s = until_s

    def arrivals(self, rate_per_s: float, until_s: float) -> None:
        """Plan requests at random times."""
        rng = random.Random(SEED)
        at_s = rng.expovariate(rate_per_s)
        while at_s < until_s:
            self.after(at_s, lambda: self._ask(f"r{len(self.asked)}"))
            at_s += rng.expovariate(rate_per_s)

    def tell(self, event: Any) -> None:
        """Give the core an event and do what it asks."""
        for action in self.bridge.handle(event, self.now_s):
            self._act(action)

    def _tick(self) -> None:
        self.tell(events.Tick())
        self.after(TICK_S, self._tick)

    def _ask(self, request_id: str) -> None:
        self.asked[request_id] = self.now_s
        key = request_id if self._non_idempotent else ""
        request = events.Request(
            request_id, "counter", "optics", None, "stock", "normal",
            self._non_idempotent, key, self.now_s + 10, request_id,
        )  # fmt: skip
        self.tell(events.RequestArrived(request))

    def _act(self, action: Any) -> None:
        if isinstance(action, Dispatch):
            self._dispatch(action)
        elif isinstance(action, Finish):
            self.told[action.request_id] = (self.now_s, action.outcome)
        elif isinstance(action, ClaimTimer):
            self.after(action.delay_s, lambda: self.tell(events.ClaimsDue()))
        elif isinstance(action, StoreRead | StoreWrite | ClaimWrite):
            self._store(action)

    def _store(self, action: Any) -> None:
        if isinstance(action, ClaimWrite):
            self.writes += 1
            self.records += len(action.puts)
            self._values.update({key: (value, 1) for key, value in action.puts.items()})
        keys = action.keys if isinstance(action, StoreRead) else ()
        values = {key: self._values[key] for key in keys if key in self._values}
        replied = events.StoreResponse(action.token, True, True, values)
        self.after(STORE_S, lambda: self.tell(replied))

    def _dispatch(self, action: Dispatch) -> None:
        self.dispatched.append((self.now_s, action.request_id))
        failed = self.is_out(action.endpoint)
        outcome = failed or Complete(1)
        ended = events.AttemptEnded(action.request_id, action.attempt_id, outcome)
        self.after(0.001 if failed else SERVICE_S, lambda: self.tell(ended))


def _sections() -> dict[str, dict[str, str]]:
    sections: dict[str, dict[str, str]] = {
        "team optics": {},
        "service stock": {"team": "optics", "path": "/stock"},
    }
    for place in range(ENDPOINTS):
        sections[f"endpoint counter-{place}"] = {
            "address": f"127.0.0.1:{place + 1}",
            "kind": "service",
            "data_centre": "dc1",
            "service": "stock",
        }
    return sections


OUTAGES = {
    "all refuse": (ENDPOINTS, NotRun(Reason.CONNECT_FAILED)),
    "half refuse": (ENDPOINTS // 2, NotRun(Reason.CONNECT_FAILED)),
    "all break": (ENDPOINTS, Unknown(Reason.STREAM_BROKEN)),
}


def measure_outage(rate_per_s: int, out: str, budget: bool) -> OutageFigures:
    """Fail some endpoints for 20 of 60 seconds under steady load."""
    daemon = VirtualDaemon()
    if not budget:
        daemon.bridge.requests.budget = Unlimited()
    broken, outcome = OUTAGES[out]
    names = {f"counter-{place}" for place in range(broken)}
    first_s, last_s = OUTAGE_S

    def is_out(endpoint: str) -> Any:
        return (
            outcome if endpoint in names and first_s <= daemon.now_s < last_s else None
        )

    daemon.is_out = is_out
    daemon.arrivals(rate_per_s, RUN_S)
    daemon.run(RUN_S + 20)
    within = {r for r, at_s in daemon.asked.items() if first_s <= at_s < last_s}
    tried = sum(request_id in within for _, request_id in daemon.dispatched)
    ends_s = [at_s - daemon.asked[r] for r, (at_s, _) in daemon.told.items()]
    whole = [o for _, o in daemon.told.values() if isinstance(o, Complete)]
    requests, attempts = len(daemon.asked), len(daemon.dispatched)
    assert len(daemon.told) == requests
    return OutageFigures(
        rate_per_s,
        out,
        budget,
        requests,
        attempts,
        round(attempts / requests, 4),
        round(tried / len(within), 4),
        len(whole),
        round(max(ends_s), 3),
    )


def measure_claims(rate_per_s: int) -> ClaimFigures:
    """Let keyed requests arrive at the claim keeper of a data centre."""
    daemon = VirtualDaemon(non_idempotent=True)
    daemon.arrivals(rate_per_s, CLAIM_RUN_S)
    daemon.run(CLAIM_RUN_S + 5)
    waits_s = sorted(at_s - daemon.asked[r] for at_s, r in daemon.dispatched)
    claims = len(daemon.asked)
    assert len(waits_s) == claims
    return ClaimFigures(
        rate_per_s,
        claims,
        daemon.writes,
        daemon.records,
        round(daemon.writes / claims, 4),
        round(daemon.writes / CLAIM_RUN_S, 2),
        round(statistics.median(waits_s), 4),
        round(waits_s[int(0.95 * len(waits_s))], 4),
    )


async def _stream(url: str, model: str, place: int, began: list[float]) -> tuple:
    """Stream one answer; return whether it is whole, and its longest gap."""
    body = {"model": model, "prompt": f"p{place}", "max_tokens": TOKENS, "stream": True}
    headers = {"authorization": f"Bearer {CALLER_KEY}"}
    text, gap_s, last_s = "", 0.0, time.monotonic()
    async with (
        httpx.AsyncClient(headers=headers, timeout=60, trust_env=False) as client,
        client.stream("POST", url, json=body) as response,
    ):
        async for line in response.aiter_lines():
            if line == "data: [DONE]":
                right = "".join(answer(model, f"p{place}", TOKENS))
                return text == right, gap_s
            if not line.startswith("data: "):
                continue
            event = json.loads(line[6:])
            if "error" in event:
                return False, max(gap_s, time.monotonic() - last_s)
            gap_s = max(gap_s, time.monotonic() - last_s)
            last_s = time.monotonic()
            text += event["choices"][0]["text"]
            began.append(last_s)
    return False, gap_s


async def measure_silence(place: int, bound_s: float, resumes: bool) -> SilenceFigures:
    """Let all connections to the engine go silent in the middle of streams."""
    port = BASE_PORT + 100 * place
    ip = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.3"
    example = Example(port, daemons=1, engines=1, ip=ip)
    proxy = SilentProxy(f"{ip}:{port + 90}", example.engine(0))
    await proxy.start()
    folder = f"[endpoint draft-0]\naddress = {ip}:{port + 90}\n"
    settings = f"""
[requests]
token_gap_timeout_s = {bound_s}
first_token_timeout_s = {FIRST_TOKEN_S}
"""
    async with EmbeddedPlatform(
        example, {"90-proxy.ini": folder}, settings
    ) as platform:
        engine = platform.engines[0]
        if not resumes:
            engine.work.find = lambda attempt_id: None
        url = f"http://{example.callers(0)}/v1/completions"
        await _stream(url, example.model(0), 1000, [])
        ended: list[tuple] = []
        began: list[float] = []

        async def one(number: int) -> None:
            ended.append(await _stream(url, example.model(0), number, began))

        async with anyio.create_task_group() as tasks:
            for number in range(STREAMS):
                tasks.start_soon(one, number)
            while len(began) < STREAMS * SILENT_AT:
                await anyio.sleep(0.005)
            proxy.silence()
    await proxy.stop()
    gaps_s = sorted(gap_s for _, gap_s in ended)
    whole = sum(right for right, _ in ended)
    return SilenceFigures(
        bound_s,
        resumes,
        len(ended),
        whole,
        len(ended) - whole,
        round(statistics.median(gaps_s), 3),
        round(gaps_s[-1], 3),
    )


async def _measure_silences() -> list[SilenceFigures]:
    found = []
    for place, bound_s in enumerate(BOUNDS_S):
        found.append(await measure_silence(place % 2, bound_s, True))
    found.append(await measure_silence(0, 0.5, False))
    return found


def _print(title: str, rows: list[Any]) -> None:
    print(f"\n{title}")
    names = list(asdict(rows[0]))
    cells = [names, *([str(value) for value in asdict(row).values()] for row in rows)]
    widths = [max(len(line[place]) for line in cells) for place in range(len(names))]
    for line in cells:
        print(
            "  ".join(
                cell.rjust(width) for cell, width in zip(line, widths, strict=True)
            )
        )


def run() -> dict[str, Any]:
    """Measure all, print tables, and return the figures."""
    outages = [
        measure_outage(rate_per_s, out, budget)
        for rate_per_s in RATES_PER_S
        for out in OUTAGES
        for budget in (True, False)
    ]
    _print("1. Retries: 20 of 60 s of outage, with and without a budget", outages)
    claims = [measure_claims(rate_per_s) for rate_per_s in CLAIM_RATES_PER_S]
    _print("2. Claims: writes to the key-value service, a data centre", claims)
    silences = anyio.run(_measure_silences)
    _print("4. Silent connections: time to notice, against the bound", silences)
    return {
        "outages": [asdict(row) for row in outages],
        "claims": [asdict(row) for row in claims],
        "silences": [asdict(row) for row in silences],
    }
