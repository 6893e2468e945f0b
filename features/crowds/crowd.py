"""A crowd of separate clients that do not behave, as a process of its own.

    python crowd.py KIND IP:PORT CLIENTS BODY_BYTES HEAD

Each client has an address and a connection of its own. Once each has sent what it
sends, was refused or is held up, the process prints a line. It keeps its connections,
and those who send without end go on, until it is ended.
"""

import asyncio
import sys
from abc import ABC, abstractmethod

HELD_UP_S = 1.0
"""How long a write makes no progress until the client counts as held up."""

AGAIN = 20
"""How often a client that was refused or disconnected comes again."""

PART_BYTES = 50_000
LARGE_PART_BYTES = 1_000_000
TINY_CHUNK = b"2\r\nxx\r\n"


def packed(head, *headers):
    return b"\r\n".join([head.encode().replace(b"\\n", b"\r\n"), *headers, b"", b""])


def chunk(size):
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


class Client(ABC):
    """One client; kinds differ in what they send and whether they read."""

    reads = True
    comes_again = False

    def __init__(self, head, body_bytes):
        self.head = head
        self.body_bytes = body_bytes
        self.stands = asyncio.Event()

    @abstractmethod
    def parts(self):
        """Yield what is sent, part by part."""

    async def run(self, number, ip, port):
        """Connect, send all parts and stay, until cancelled."""
        source = f"127.0.{1 + number // 200}.{1 + number % 200}"
        for _ in range(AGAIN if self.comes_again else 1):
            try:
                async with asyncio.timeout(HELD_UP_S):
                    reader, writer = await asyncio.open_connection(
                        ip, port, local_addr=(source, 0)
                    )
            except OSError:
                self.stands.set()
                continue
            try:
                await self._send(reader, writer)
            except OSError:
                pass
            finally:
                self.stands.set()
                writer.close()

    async def _send(self, reader, writer):
        writer.transport.set_write_buffer_limits(0)
        reading = asyncio.create_task(self._read(reader, writer))
        for part in self.parts():
            writer.write(part)
            await self._drain(writer)
        self.stands.set()
        await reading

    async def _drain(self, writer):
        drained = asyncio.create_task(writer.drain())
        done, _ = await asyncio.wait([drained], timeout=HELD_UP_S)
        if not done:
            self.stands.set()
        await drained

    async def _read(self, reader, writer):
        if not self.reads:
            writer.transport.pause_reading()
            await asyncio.Event().wait()
        while await reader.read(PART_BYTES):
            pass
        # The server has closed; what is still being sent fails.
        writer.transport.abort()


class ShortOfTheirEnd(Client):
    """Announces a body and sends all but its last byte."""

    def parts(self):
        yield packed(self.head, b"Content-Length: %d" % self.body_bytes)
        yield from whole_parts(self.body_bytes - 1)


class ChunkedWithoutEnd(Client):
    """Sends a body of large chunks, and never its end."""

    def parts(self):
        yield packed(self.head, b"Transfer-Encoding: chunked")
        for _ in range(self.body_bytes // PART_BYTES):
            yield chunk(PART_BYTES)


class TinyChunks(Client):
    """Sends chunks of two bytes, up to just below the limit, again and again."""

    comes_again = True

    def parts(self):
        yield packed(self.head, b"Transfer-Encoding: chunked")
        each = TINY_CHUNK * (PART_BYTES // len(TINY_CHUNK))
        for _ in range(self.body_bytes // 2 // (PART_BYTES // len(TINY_CHUNK))):
            yield each
        # Refused for the rest, which is over the limit.
        while True:
            yield each


class FarOver(Client):
    """Announces a body far over the limit, sends it whatever the answer, and again."""

    reads = False
    comes_again = True

    def parts(self):
        yield packed(self.head, b"Content-Length: %d" % (1 << 30))
        part = b"x" * LARGE_PART_BYTES
        while True:
            yield part


class ChunkedFarOver(Client):
    """Sends chunks on and on, past the limit."""

    def parts(self):
        yield packed(self.head, b"Transfer-Encoding: chunked")
        while True:
            yield chunk(PART_BYTES)


class WholeAtOnce(Client):
    """Sends a whole request with a body of the largest size, and reads nothing."""

    reads = False

    def parts(self):
        yield packed(self.head, b"Content-Length: %d" % self.body_bytes)
        yield from whole_parts(self.body_bytes)


class Pipelined(Client):
    """Sends request after request, and reads nothing."""

    reads = False

    def parts(self):
        each = packed(self.head, b"Content-Length: %d" % 1000) + b"x" * 1000
        while True:
            yield each * 20


class HalfHeads(Client):
    """Sends half a head and stays; comes again when it is refused."""

    comes_again = True

    def parts(self):
        yield packed(self.head)[:-4] + b"\r\nX-More: " + b"x" * 8000


class Idle(Client):
    """Connects, and sends nothing."""

    def parts(self):
        return iter(())


def whole_parts(size):
    for start in range(0, size, PART_BYTES):
        yield b"x" * min(PART_BYTES, size - start)


KINDS = {
    "stop-short-of-their-end": ShortOfTheirEnd,
    "send-large-chunks-without-end": ChunkedWithoutEnd,
    "send-tiny-chunks": TinyChunks,
    "announce-far-more-than-allowed": FarOver,
    "send-chunks-far-past-the-limit": ChunkedFarOver,
    "send-whole-bodies-and-read-nothing": WholeAtOnce,
    "pipeline-and-read-nothing": Pipelined,
    "send-half-heads": HalfHeads,
    "send-nothing": Idle,
}


async def main(kind, address, clients, body_bytes, head):
    ip, _, port = address.rpartition(":")
    crowd = [KINDS[kind](head, int(body_bytes)) for _ in range(int(clients))]
    async with asyncio.TaskGroup() as tasks:
        for number, client in enumerate(crowd):
            tasks.create_task(client.run(number, ip, int(port)))
        for client in crowd:
            await client.stands.wait()
        print("standing", flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
