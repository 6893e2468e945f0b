"""Sound servers of a plain service, in a process of their own.

    python3 server_process.py ID...

Prints the port of each. A server reads one request at a time on a connection, works for
some milliseconds, and answers with 800 bytes, or with a megabyte at /look/long/.
"""

import asyncio
import sys

HOST = "127.0.0.1"
WORK_S = 0.05
SLOTS = 64
BODY = b"x" * 800
LONG_BODY = b"x" * 1_000_000
PIECE_BYTES = 62_500
PIECE_S = 0.1
"""A long answer is sent in 16 pieces, over 1.6 s."""


def find(block: bytes, name: bytes) -> bytes:
    """Return a header's value; empty where it is missing."""
    begin = block.find(b"\r\n" + name + b": ")
    if begin < 0:
        return b""
    begin += len(name) + 4
    return block[begin : block.find(b"\r\n", begin)]


class Connection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, name: bytes, busy: list[int]) -> None:
        self.name = name
        self.busy = busy
        self.buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Take bytes of a request."""
        self.buffer += data
        if data[-4:] == b"\r\n\r\n":
            block = bytes(self.buffer)
            self.buffer.clear()
            self.answer(block)

    def answer(self, block: bytes) -> None:
        """Answer a request, once it was worked on."""
        call = find(block, b"Request-Id")
        if find(block, b"Expect-Instance") not in (b"", self.name):
            self.refuse(call, 421)
        elif block.startswith(b"GET /health "):
            self.reply(b"200 OK", b"Instance-Id: " + self.name, b"")
        elif self.busy[0] >= SLOTS:
            self.refuse(call, 503)
        else:
            self.busy[0] += 1
            body = LONG_BODY if block.startswith(b"GET /look/long/") else BODY
            asyncio.get_running_loop().call_later(WORK_S, self.done, call, body)

    def done(self, call: bytes, body: bytes) -> None:
        """Answer a request that was worked on."""
        head = b"Response-Seal: seal\r\nKeep-Alive: timeout=30\r\nRequest-Id: " + call
        self.reply(b"200 OK", head, body, body[:PIECE_BYTES])
        self.send_rest(body, PIECE_BYTES)

    def send_rest(self, body: bytes, sent: int) -> None:
        """Send the rest of an answer, a piece at a time."""
        if sent >= len(body) or self.transport.is_closing():
            self.busy[0] -= 1
            return
        self.transport.write(body[sent : sent + PIECE_BYTES])
        loop = asyncio.get_running_loop()
        loop.call_later(PIECE_S, self.send_rest, body, sent + PIECE_BYTES)

    def refuse(self, call: bytes, status: int) -> None:
        """Answer that a request was not run."""
        head = b"Not-Run: 1\r\nInstance-Id: " + self.name + b"\r\nRequest-Id: " + call
        self.reply(b"%d No" % status, head, b"")

    def reply(
        self, status: bytes, head: bytes, body: bytes, first: bytes | None = None
    ) -> None:
        """Write an answer, or its first piece."""
        length = b"\r\nContent-Length: %d\r\n\r\n" % len(body)
        if self.transport.is_closing():
            return
        begun = b"HTTP/1.1 " + status + b"\r\n" + head + length
        self.transport.write(begun + (body if first is None else first))


async def serve(names: list[str]) -> None:
    """Serve until the process is ended."""
    loop = asyncio.get_running_loop()
    for name in names:
        busy = [0]

        def make(name: bytes = name.encode(), busy: list[int] = busy) -> Connection:
            return Connection(name, busy)

        server = await loop.create_server(make, HOST, 0)
        print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1:]))
