"""Clients of one daemon, in a process of their own.

    python3 client_process.py PORT CLIENTS PATH

Each client keeps one connection and sends one request after another, each with an id of
its own. Prints once a second how many requests were answered, by status.
"""

import asyncio
import contextlib
import sys

HOST = "127.0.0.1"


class Client(asyncio.Protocol):
    """One client on one connection."""

    def __init__(self, name: str, path: str, answers: dict[bytes, int]) -> None:
        self.name = name
        self.path = path.encode()
        self.answers = answers
        self.sent = 0
        self.buffer = bytearray()
        self.needed = 0
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self.transport = transport
        self.send()

    def send(self) -> None:
        """Send a request."""
        self.sent += 1
        call = f"{self.name}-{self.sent}"
        self.transport.write(
            b"GET "
            + self.path
            + b" HTTP/1.1\r\nHost: review.example\r\nDeadline-Ms: 10000\r\n"
            b"Request-Id: " + call.encode() + b"\r\n\r\n"
        )

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer."""
        self.buffer += data
        if not self.needed:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            head = bytes(self.buffer[:end]).lower()
            length = head.partition(b"\r\ncontent-length: ")[2].partition(b"\r\n")[0]
            self.needed = end + 4 + int(length or 0)
        if len(self.buffer) >= self.needed:
            status = bytes(self.buffer[9:12])
            self.answers[status] = self.answers.get(status, 0) + 1
            self.buffer.clear()
            self.needed = 0
            pause_s = 0.0 if status == b"200" else 0.5
            asyncio.get_running_loop().call_later(pause_s, self.send)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the connection is gone."""
        if not self.ended.done():
            self.ended.set_result(None)


async def call_on(name: str, port: int, path: str, answers: dict[bytes, int]) -> None:
    """Be one client: connect again whenever the connection is gone."""
    loop = asyncio.get_running_loop()
    again = 0
    while True:
        again += 1
        with contextlib.suppress(OSError):
            _, client = await loop.create_connection(
                lambda: Client(f"{name}-{again}", path, answers),  # noqa: B023
                HOST,
                port,
            )
            await client.ended
        await asyncio.sleep(0.3)


async def main(port: int, clients: int, path: str) -> None:
    """Call until the process is ended."""
    answers: dict[bytes, int] = {}
    tasks = [
        asyncio.create_task(call_on(f"c{n}", port, path, answers))
        for n in range(clients)
    ]
    while True:
        await asyncio.sleep(1.0)
        told = {status.decode(): count for status, count in answers.items()}
        print(f"{told}, {len(tasks)} clients", flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]))
