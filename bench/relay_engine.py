"""A cheap stand-in engine for the relay's benchmark: streams of timed tokens.

It speaks just enough HTTP/1.1 for the benchmark, so that its own cost leaves the
processor to what is measured. Usage: relay_engine.py PORT TOKENS GAP_S.
"""

import asyncio
import json
import sys

import uvloop

GROUPS = 16
"""Batches; the streams of one batch get their tokens in the same step."""

HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"x-model: %s\r\ntransfer-encoding: chunked\r\n\r\n"
)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(place: int) -> bytes:
    fields = {
        "id": "cmpl-0123456789abcdef",
        "object": "text_completion",
        "created": 1790000000,
        "model": "refill-0@1",
        "choices": [{"index": 0, "text": f" tide{place}", "finish_reason": None}],
    }
    return chunk(b"data: " + json.dumps(fields).encode() + b"\n\n")


class Batches:
    """Steps the batches in turn."""

    def __init__(self, tokens: int, gap_s: float) -> None:
        self._gap_s = gap_s
        self._events = [event(place) for place in range(tokens)]
        self._last = chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n"
        self._groups: list[dict[asyncio.Transport, int]] = [{} for _ in range(GROUPS)]
        self._next = 0

    def add(self, transport: asyncio.Transport) -> None:
        """Begin a stream in the next batch."""
        self._next = (self._next + 1) % GROUPS
        self._groups[self._next][transport] = 0

    def remove(self, transport: asyncio.Transport) -> None:
        """End a stream."""
        for group in self._groups:
            group.pop(transport, None)

    async def run(self) -> None:
        """Step for ever, one batch after the other."""
        loop = asyncio.get_running_loop()
        at_s, place = loop.time(), 0
        while True:
            at_s += self._gap_s / GROUPS
            await asyncio.sleep(max(0.0, at_s - loop.time()))
            place = (place + 1) % GROUPS
            self._step(self._groups[place])

    def _step(self, group: dict[asyncio.Transport, int]) -> None:
        for transport, place in list(group.items()):
            transport.write(self._events[place])
            group[transport] = place + 1
            if place + 1 == len(self._events):
                transport.write(self._last)
                del group[transport]


class Connection(asyncio.Protocol):
    """One connection, one request at a time."""

    def __init__(self, batches: Batches) -> None:
        self._batches = batches
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._batches.remove(self._transport)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self._buffer += data
        head, found, body = self._buffer.partition(b"\r\n\r\n")
        if not found:
            return
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        if len(body) < length:
            return
        self._buffer = body[length:]
        self._answer(head.split(b" ", 2)[1], body[:length])

    def _answer(self, path: bytes, body: bytes) -> None:
        if path.endswith(b"completions"):
            model = json.loads(body)["model"].encode()
            self._transport.write(HEAD % model)
            self._batches.add(self._transport)
            return
        whole = b'{"loaded": ["refill-0@1"], "running": {}}'
        self._transport.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n%s" % (len(whole), whole)
        )


async def main() -> None:
    port, tokens, gap_s = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    batches = Batches(tokens, gap_s)
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: Connection(batches), "127.0.0.1", port)
    await batches.run()


if __name__ == "__main__":
    uvloop.run(main())
