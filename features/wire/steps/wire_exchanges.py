"""Server and exchanges of byte sequences over loopback sockets."""

import random
import socket
import struct

import anyio
from h11_reference import BODY_BYTES, HEAD_BYTES

from knapweedbridge_core.serving import RequestLimits
from knapweedbridge_daemon.serving.http_server import HttpServer

SEED = 3
RANDOM_SPLITS = 6
MAX_SPLITS = 5
QUIET_S = 0.4
SETTLE_S = 0.05
PIECE_GAP_S = 0.002
LIMITS = RequestLimits(HEAD_BYTES, BODY_BYTES, QUIET_S, QUIET_S)


def run(work, *values):
    """Run a coroutine function on the event loop that daemons use."""
    return anyio.run(work, *values, backend_options={"use_uvloop": True})


def choose_splits(data):
    """Return lists of split positions: none, each of the last, random."""
    rng = random.Random(SEED)
    last_positions = [[len(data) - back] for back in range(1, 5) if len(data) > back]
    random_positions = [
        rng.sample(range(len(data)), min(len(data), MAX_SPLITS))
        for _ in range(RANDOM_SPLITS)
    ]
    return [[], *last_positions, *random_positions]


async def send_pieces(stream, pieces):
    for piece in pieces:
        await stream.send(piece)
        await anyio.sleep(PIECE_GAP_S)


class RecordingServer:
    """HTTP server that records its requests and internal errors."""

    def __init__(self, handler=None):
        self.requests = []
        self.errors = []
        self._handler = handler

    async def handle(self, request, responder):
        self.requests.append(request)
        if self._handler is not None:
            await self._handler(request, responder)
            return
        await responder.answer(200, [], b"ok")

    async def start(self, tasks):
        self.http_server = HttpServer(
            self.handle, lambda: LIMITS, lambda error: None, self.errors.append
        )
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, self.http_server.serve)
        return listener.extra(anyio.abc.SocketAttribute.local_port)


async def read_all(stream):
    received = b""
    try:
        while True:
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


def parse_statuses(received):
    outcomes = [part[:3].decode() for part in received.split(b"HTTP/1.1 ")[1:]]
    return " ".join(outcomes) or "none"


async def exchange_all(cases, exchange):
    outcomes = {name: [] for name in cases}

    async def record(name, data, splits):
        outcomes[name].append(await exchange(data, splits))

    async with anyio.create_task_group() as tasks:
        for name, data in cases.items():
            for splits in choose_splits(data):
                tasks.start_soon(record, name, data, splits)
                await anyio.sleep(0)
    return outcomes


async def reset(stream):
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await stream.aclose()
