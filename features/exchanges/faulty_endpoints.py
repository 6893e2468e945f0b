"""Endpoints that send answers a second time, or bytes without end."""

import anyio
from standins import Endpoint, Engine, header
from whole_path import WholePath

MOST_POURED_BYTES = 256 << 20
"""At which the stand-in stops by itself."""

SLOW_INTERVAL_S = 0.02

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Seal: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"4000\r\n" + b"x" * 16384 + b"\r\n"
LINES = b"X-Line: value\r\n" * 1000
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
UNNAMED_REFUSAL = (
    b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nInstance-Id: %b\r\nContent-Length: 0\r\n\r\n"
)

ENDLESS = {
    "interim answers": (b"", b"HTTP/1.1 103 Hint\r\nX: y\r\n\r\n" * 500),
    "a status line": (b"HTTP/1.1 200 ", b"a" * 16384),
    "header lines": (HEAD, LINES),
    "a header value": (HEAD + b"X: ", b"a" * 16384),
    "a body without length": (HEAD + b"\r\n", b"x" * 16384),
    "chunks": (HEAD + CHUNKED, CHUNK),
    "a chunk extension": (HEAD + CHUNKED + b"4;", b"a" * 16384),
    "trailers": (HEAD + CHUNKED + b"0\r\n", LINES),
    "bytes past the length": (HEAD + b"Content-Length: 2\r\n\r\nok", b"x" * 16384),
    "answers to others": (b"", (OTHER + b"Content-Length: 2\r\n\r\nno") * 300),
    "an answer to another": (OTHER + CHUNKED, CHUNK),
    "a refusal's body": (
        b"HTTP/1.1 503 Full\r\nRequest-Id: %b\r\nNot-Run: 1\r\n" + CHUNKED,
        CHUNK,
    ),
    "an event": (
        HEAD + b"Content-Type: text/event-stream\r\n" + CHUNKED + b"5\r\ndata:\r\n",
        CHUNK,
    ),
    "events that the caller has": (
        HEAD + b"Content-Type: text/event-stream\r\n" + CHUNKED,
        b"f\r\nid: 1\ndata: x\n\n\r\n" * 500,
    ),
}
"""Bytes that are sent first, and those that follow again and again, by name."""

KINDS = {"/v1/report": "report", "/v1/order": "order", "/health": "check"}


class RecordingResponder:
    """Responder that records the latest complete answer of its connection."""

    def __init__(self, responder, latest):
        self._responder = responder
        self._connection = responder._connection
        self._latest = latest
        latest.pop(self._connection, None)

    async def answer(self, status, headers, body):
        lines = [b"HTTP/1.1 %d Once" % status]
        lines += [b"%b: %b" % pair for pair in headers]
        lines += [b"Content-Length: %d" % len(body), b"", body]
        self._latest[self._connection] = b"\r\n".join(lines)
        await self._responder.answer(status, headers, body)

    def __getattr__(self, name):
        return getattr(self._responder, name)


class Faulty:
    """Mixin for endpoints with such answers.

    Attributes
    ----------
    late : str
        What comes before an answer on a connection that carried a request before: the
        "previous answer", an "unnamed refusal", or nothing.
    endless : dict
        Name of the endless bytes by kind of request.
    exchanges : list
        Connection, kind and id of each request.
    """

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.late = ""
        self.endless = {}
        self.is_slow = False
        self.exchanges = []
        self.poured = []
        self._latest = {}

    async def handle(self, request, responder):
        kind = KINDS.get(request.head.path, "call")
        connection = responder._connection
        name = header(request, "Request-Id")
        self.exchanges.append((connection, kind, name))
        late = self._latest.get(connection)
        if self.late == "unnamed refusal" and self._has_carried(connection):
            await connection.write(UNNAMED_REFUSAL % self.name.encode())
        elif self.late == "previous answer" and late:
            await connection.write(late)
        if kind in self.endless:
            if kind == "call":
                self.requests.append(request)
            await self.pour(connection, self.endless[kind], (name or "").encode())
            return
        await super().handle(request, RecordingResponder(responder, self._latest))

    def _has_carried(self, connection):
        """Return whether a connection carried a request before the present one."""
        return sum(each[0] is connection for each in self.exchanges) > 1

    async def pour(self, connection, what, name):
        """Send bytes until the daemon closes the connection."""
        first, then = ENDLESS[what]
        poured = Poured()
        self.poured.append(poured)
        try:
            await connection.write(first % name if b"%b" in first else first)
            while poured.size < MOST_POURED_BYTES:
                piece = then[: len(then) // 100 or 1] if self.is_slow else then
                await connection.write(piece)
                poured.size += len(piece)
                await anyio.sleep(SLOW_INTERVAL_S if self.is_slow else 0)
        finally:
            poured.ended_s = anyio.current_time()

    async def answer(self, request, responder, behaviour):
        if behaviour != "not yet":
            await super().answer(request, responder, behaviour)
            return
        self.requests.pop()
        await self.refuse(request, responder, 421)


class Poured:
    """Bytes sent on one connection, and when it was closed."""

    def __init__(self):
        self.size = 0
        self.began_s = anyio.current_time()
        self.ended_s = None


class FaultyEndpoint(Faulty, Endpoint):
    """Plain endpoint with such answers."""


class FaultyEngine(Faulty, Engine):
    """Engine with such answers.

    Attributes
    ----------
    conflicts : int
        How many orders it still answers with 409 without carrying them out.
    answered : list
        Status of each order in turn.
    """

    conflicts = 0

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.answered = []

    async def _order(self, request, responder):
        if self.conflicts:
            self.conflicts -= 1
            self.answered.append(409)
            await responder.answer(409, self.signs(), b"")
            return
        await super()._order(request, responder)
        self.answered.append(202)


class FaultyPath(WholePath):
    """Whole path with such endpoints."""

    plain_kind = FaultyEndpoint
    engine_kind = FaultyEngine
