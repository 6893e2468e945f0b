"""Plain endpoints that end or answer a call while its body is still written."""

import re
import socket

import anyio
from standins import Endpoint
from whole_path import WholePath, configuration

from knapweedbridge_daemon.serving.byte_stream import RESET_ON_CLOSE

LONG_BODY_BYTES = 4 << 20
READ_BYTES = 100_000

REFUSAL = (
    b"HTTP/1.1 503 Full\r\nRequest-Id: %b\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Seal: s\r\n"
    b"Content-Length: 4\r\n\r\ndone"
)


class ScriptedEndpoint(Endpoint):
    """Plain endpoint without an HTTP server.

    Attributes
    ----------
    script : list of str
        What each call meets in turn, over all endpoints; later ones are answered.
    arrivals : list of (str, str)
        Endpoint and id of each call, over all endpoints.
    """

    script = ()
    arrivals = ()

    def make_connection_handler(self):
        return self._serve

    async def _serve(self, stream):
        async with stream:
            try:
                while await self._exchange(stream):
                    pass
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass

    async def _exchange(self, stream):
        """Serve one request; return whether the connection goes on."""
        head, left = await self._read_head(stream)
        named = re.search(rb"(?i)request-id: ([^\r]+)", head)
        if b"/health" in head.splitlines()[0] or named is None:
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return False
        name = named[1]
        self.arrivals.append((self.name, name.decode()))
        does = self.script.pop(0) if self.script else "answers"
        if does.startswith("refuses early"):
            await stream.send(REFUSAL % name)
            if does.endswith("closes"):
                return False
        rest = LONG_BODY_BYTES - READ_BYTES if does.endswith("midway") else 0
        while left > rest:
            left -= len(await stream.receive())
        if does.endswith("midway") or does.startswith("reads all"):
            return self._end(stream, does)
        if does == "answers after a second":
            await anyio.sleep(1.0)
        if does.startswith("answers"):
            await stream.send(ANSWER % name)
        return True

    @staticmethod
    async def _read_head(stream):
        """Return a request's head, and how many bytes of its body are to come."""
        got = b""
        while b"\r\n\r\n" not in got:
            got += await stream.receive()
        head, _, body = got.partition(b"\r\n\r\n")
        found = re.search(rb"(?i)content-length: (\d+)", head)
        return head, int(found[1]) - len(body) if found else 0

    @staticmethod
    def _end(stream, does):
        if "resets" in does:
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return False


class ScriptedPath(WholePath):
    """Whole path with such plain endpoints, and long bodies."""

    plain_kind = ScriptedEndpoint

    async def start(self, daemons=1):
        async def allow_long_bodies(path):
            allowed = configuration(version=2)
            allowed["limits"]["max_body_bytes"] = 2 * LONG_BODY_BYTES
            path.store.put("op/config", allowed)

        self.prepare = allow_long_bodies
        await super().start(daemons)
