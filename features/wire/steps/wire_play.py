"""A callers' face and the playing of byte sequences, over sockets on loopback."""

import random
import socket
import struct

import anyio
from h11_reading import BODY_BYTES, HEAD_BYTES

from knapweedbridge_core.serving import RequestLimits
from knapweedbridge_daemon.serving.http_server import HttpServer

SEED = 3
RANDOM_CUTS = 6
MOST_PIECES = 5
QUIET_S = 0.4
SETTLE_S = 0.05
PIECE_GAP_S = 0.002
LIMITS = RequestLimits(HEAD_BYTES, BODY_BYTES, QUIET_S, QUIET_S)


def run(work, *values):
    """Run on the event loop that daemons use."""
    return anyio.run(work, *values, backend_options={"use_uvloop": True})


def random_cuts(data):
    """Return no cut, one at each of the last places, and random ones."""
    chosen = random.Random(SEED)
    last = [[len(data) - back] for back in range(1, 5) if len(data) > back]
    some = [
        chosen.sample(range(len(data)), min(len(data), MOST_PIECES))
        for _ in range(RANDOM_CUTS)
    ]
    return [[], *last, *some]


async def send_pieces(stream, pieces):
    for piece in pieces:
        await stream.send(piece)
        await anyio.sleep(PIECE_GAP_S)


class Face:
    """A callers' face that keeps what it is asked."""

    def __init__(self, handler=None):
        self.requests = []
        self.faults = []
        self._handler = handler

    async def handle(self, request, responder):
        self.requests.append(request)
        if self._handler is not None:
            await self._handler(request, responder)
            return
        await responder.answer(200, [], b"ok")

    async def start(self, tasks):
        self.face = HttpServer(
            self.handle, lambda: LIMITS, lambda error: None, self.faults.append
        )
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, self.face.serve)
        return listener.extra(anyio.abc.SocketAttribute.local_port)


async def read_all(stream):
    got = b""
    try:
        while True:
            got += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return got


def statuses_of(got):
    found = [part[:3].decode() for part in got.split(b"HTTP/1.1 ")[1:]]
    return " ".join(found) or "none"


async def play_all(cases, play):
    found = {name: [] for name in cases}

    async def keep(name, data, cuts):
        found[name].append(await play(data, cuts))

    async with anyio.create_task_group() as tasks:
        for name, data in cases.items():
            for cuts in random_cuts(data):
                tasks.start_soon(keep, name, data, cuts)
                await anyio.sleep(0)
    return found


async def reset(stream):
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await stream.aclose()
