"""HTTP/1.1 as the stand-ins of a case speak it, and the record of a case."""

import asyncio
import socket
import struct
import time
from dataclasses import dataclass
from pathlib import Path

RESET_ON_CLOSE = struct.pack("ii", 1, 0)

__all__ = ["Record", "Request", "pack", "read_head", "read_request", "reset"]


class Record:
    """File with one line for all that was sent, answered and run.

    Parameters
    ----------
    path : Path
        The file, which is overwritten.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the case, in seconds."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Write a line with the present time."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


@dataclass(slots=True, frozen=True)
class Request:
    """A request that a stand-in has received; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a first line and headers; None if the connection ends before."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request with a Content-Length; None if the connection ends before."""
    found = await read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, target, _ = first.split(" ")
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def pack(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a complete response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the other side sees a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and not writer.transport.is_closing():
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
