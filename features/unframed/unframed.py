"""Endpoints whose responses have neither a length nor chunks."""

import os

import anyio
from standins import Endpoint, Engine, header
from whole_path import WholePath

EVENTS = 10
BODY = b"a body that is whole"
HEAD = b"HTTP/1.1 200 OK\r\n%s\r\nConnection: close\r\n\r\n"
EVENTS_BEFORE_CUT = 4
"""Number of events in the first response if it is cut."""

PART_INTERVAL_S = 0.02


class Unframed:
    """Mixin for endpoints whose responses end with the connection.

    Attributes
    ----------
    breaks : list of str
        How the next responses end, over all endpoints; later ones end normally.
    kind : tuple
        Headers of the content type.
    """

    breaks = ()
    kind = ()

    async def answer(self, request, responder, behaviour):
        ends = self.breaks.pop() if self.breaks else "ends normally"
        lines = [b"%s: %s" % pair for pair in [*self.sealed(request), *self.kind]]
        self._write(responder, HEAD % b"\r\n".join(lines))
        for part in self._parts(request, ends):
            self._write(responder, part)
            await anyio.sleep(PART_INTERVAL_S)
        if ends.startswith("is reset"):
            responder._connection._wire.reset()

    @staticmethod
    def _write(responder, data):
        stream = responder._connection._stream
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        os.write(raw.fileno(), data)


class UnframedEndpoint(Unframed, Endpoint):
    """Plain endpoint with such responses."""

    def _parts(self, request, ends):
        half = len(BODY) // 2
        return [BODY[:half]] if ends != "ends normally" else [BODY[:half], BODY[half:]]


class UnframedEngine(Unframed, Engine):
    """Engine with such responses."""

    kind = ((b"Content-Type", b"text/event-stream"),)

    def _parts(self, request, ends):
        first = int(header(request, "Last-Event-Id") or 0) + 1
        events = [
            f"id: {number}\ndata: t{number}\n\n".encode()
            for number in range(first, EVENTS + 1)
        ]
        if ends == "ends normally":
            return events
        events = events[:EVENTS_BEFORE_CUT]
        return [*events, b"id: 5\ndat"] if ends == "ends within an event" else events


class UnframedPath(WholePath):
    """Whole path with such endpoints."""

    plain_kind = UnframedEndpoint
    engine_kind = UnframedEngine
