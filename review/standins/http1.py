"""A small HTTP/1.1 server on asyncio, for the stand-ins of the review."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict"}


@dataclass
class Request:
    """One request, with its headers by name in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body) if self.body else {}


@dataclass
class Connection:
    """One accepted connection; `notes` is free for the handler."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    notes: dict[str, Any] = field(default_factory=dict)

    async def send(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Write a whole answer."""
        await self.send(pack(status, headers or {}, body))

    async def answer_json(
        self, status: int, value: Any, headers: dict[str, str] | None = None
    ) -> None:
        """Write a whole answer with a JSON body."""
        kind = {"Content-Type": "application/json", **(headers or {})}
        await self.answer(status, kind, json.dumps(value).encode())


def pack(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Handler = Callable[[Connection, Request], Awaitable[None]]


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


class Server:
    """Serves a handler; each request runs until its connection closes."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.address = ""

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, port)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                await self.handler(connection, request)
        writer.close()
