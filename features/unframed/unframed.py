"""Endpoints whose answers have neither a length nor chunks."""

import os

import anyio
from standins import Endpoint, Engine, header
from whole_path import WholePath

EVENTS = 10
BODY = b"a body that is whole"
HEAD = b"HTTP/1.1 200 OK\r\n%s\r\nConnection: close\r\n\r\n"
CUT_AT = 4
"""Event that the first answer breaks at."""

WRITTEN_S = 0.02


class Unframed:
    """Mixed into a stand-in of an endpoint, whose answers end with the connection.

    Parameters
    ----------
    breaks : str
        How the first answer ends, of all that share the list; the others end in order.
    """

    breaks = ()
    kind = ()

    async def answer(self, request, responder, behaviour):
        ends = self.breaks.pop() if self.breaks else "ends in order"
        lines = [b"%s: %s" % pair for pair in [*self.sealed(request), *self.kind]]
        self._write(responder, HEAD % b"\r\n".join(lines))
        for part in self._parts(request, ends):
            self._write(responder, part)
            await anyio.sleep(WRITTEN_S)
        if ends.startswith("is reset"):
            responder._connection._wire.reset()

    @staticmethod
    def _write(responder, data):
        stream = responder._connection._stream
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        os.write(raw.fileno(), data)


class UnframedEndpoint(Unframed, Endpoint):
    """A plain endpoint."""

    def _parts(self, request, ends):
        half = len(BODY) // 2
        return [BODY[:half]] if ends != "ends in order" else [BODY[:half], BODY[half:]]


class UnframedEngine(Unframed, Engine):
    """An engine."""

    kind = ((b"Content-Type", b"text/event-stream"),)

    def _parts(self, request, ends):
        first = int(header(request, "Last-Event-Id") or 0) + 1
        events = [
            f"id: {number}\ndata: t{number}\n\n".encode()
            for number in range(first, EVENTS + 1)
        ]
        if ends == "ends in order":
            return events
        events = events[:CUT_AT]
        return [*events, b"id: 5\ndat"] if ends == "ends inside an event" else events


class UnframedPath(WholePath):
    """A whole path with such endpoints."""

    plain_kind = UnframedEndpoint
    engine_kind = UnframedEngine
