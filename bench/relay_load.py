"""Callers of the relay's benchmark, at a steady rate.

Usage: relay_load.py PORT RATE TOKENS WARM_S RUN_S. It prints a JSON line when the
measured span begins and one with what the callers saw when the span ends. Latencies
are of requests and tokens within the span.
"""

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field

import uvloop

from knapweedbridge_standins.example import CALLER_KEY

BODY = json.dumps({"model": "refill-0@1", "prompt": "hello", "stream": True}).encode()
REQUEST = (
    b"POST /v1/completions HTTP/1.1\r\nhost: relay\r\nauthorization: Bearer %s\r\n"
    b"content-type: application/json\r\ncontent-length: %d\r\n"
    b"connection: close\r\n\r\n%s"
)
EVENT = b"data: {"


@dataclass
class Seen:
    """What the callers saw within the span."""

    measuring: bool = False
    requests: int = 0
    tokens: int = 0
    whole: int = 0
    cut: int = 0
    first_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)


class Caller(asyncio.Protocol):
    """One request on a connection of its own."""

    def __init__(self, seen: Seen, tokens: int) -> None:
        self._seen = seen
        self._tokens = tokens
        self._got = 0
        self._tail = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self._sent_s = self._last_s = time.perf_counter()
        self._seen.requests += self._seen.measuring
        transport.write(REQUEST % (CALLER_KEY.encode(), len(BODY), BODY))

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        kept = self._tail + data
        count = kept.count(EVENT)
        self._tail = kept[-(len(EVENT) - 1) :]
        if not count:
            return
        now_s = time.perf_counter()
        if self._seen.measuring:
            self._seen.tokens += count
            if self._got:
                self._seen.gaps_s += [now_s - self._last_s] + [0.0] * (count - 1)
            else:
                self._seen.first_s.append(now_s - self._sent_s)
        self._got += count
        self._last_s = now_s

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        if self._seen.measuring:
            whole = self._got == self._tokens
            self._seen.whole += whole
            self._seen.cut += not whole


def percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


async def main() -> None:
    port, rate, tokens = int(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3])
    warm_s, run_s = float(sys.argv[4]), float(sys.argv[5])
    seen = Seen()
    loop = asyncio.get_running_loop()
    started_s = at_s = loop.time()
    calls = set()
    while (now_s := loop.time()) < started_s + warm_s + run_s:
        if not seen.measuring and now_s >= started_s + warm_s:
            seen.measuring = True
            print(json.dumps({"measuring": True}), flush=True)
        call = loop.create_connection(lambda: Caller(seen, tokens), "127.0.0.1", port)
        task = loop.create_task(call)
        calls.add(task)
        task.add_done_callback(calls.discard)
        at_s += 1 / rate
        await asyncio.sleep(max(0.0, at_s - loop.time()))
    seen.measuring = False
    found = {
        "requests": seen.requests,
        "tokens": seen.tokens,
        "whole": seen.whole,
        "cut": seen.cut,
        "first_p50_s": percentile(seen.first_s, 0.5),
        "first_p95_s": percentile(seen.first_s, 0.95),
        "gap_p50_s": percentile(seen.gaps_s, 0.5),
        "gap_p95_s": percentile(seen.gaps_s, 0.95),
    }
    print(json.dumps(found), flush=True)


if __name__ == "__main__":
    uvloop.run(main())
