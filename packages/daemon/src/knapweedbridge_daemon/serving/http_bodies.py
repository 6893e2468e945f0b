"""Bodies of HTTP/1.1 messages: where they end, and the bytes that they carry."""

import re
from abc import ABC, abstractmethod

MOST_CHUNK_LINE_BYTES = 4096
MOST_TRAILER_BYTES = 65536

MOST_DIGITS = 16
"""Digits of a chunk's length."""

_DIGITS = re.compile(rb"[0-9A-Fa-f]+")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\x00\r\n]*)?")
_TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00\r\n]*")


class BodyError(Exception):
    """The bytes are no body of the framing that its head told."""


class BodyDecoder(ABC):
    """Takes the bytes that follow a head, and gives those of its body.

    Parameters
    ----------
    is_complete : bool
        Whether the body has come to its end.
    rest : bytes
        What came after its end.
    """

    is_complete: bool = False
    rest: bytes = b""

    @abstractmethod
    def feed(self, data: bytes) -> bytes:
        """Take received bytes, and return the body's among them.

        Raises
        ------
        BodyError
            If they break the framing.
        """

    def end(self) -> None:
        """Take that the connection ended in order.

        Raises
        ------
        BodyError
            If the body was cut by that.
        """
        raise BodyError("cut before its end")


class LengthBody(BodyDecoder):
    """A body whose length the head told.

    Parameters
    ----------
    length : int
        In bytes.
    """

    def __init__(self, length: int) -> None:
        self._left = length
        self.is_complete = length == 0

    def feed(self, data: bytes) -> bytes:
        """See `BodyDecoder.feed`."""
        left = self._left
        if len(data) < left:
            self._left = left - len(data)
            return data
        self._left = 0
        self.is_complete = True
        self.rest += data[left:]
        return data[:left]


class UnboundedBody(BodyDecoder):
    """A body that ends with its connection."""

    def feed(self, data: bytes) -> bytes:
        """See `BodyDecoder.feed`."""
        return data

    def end(self) -> None:
        """See `BodyDecoder.end`."""
        self.is_complete = True


class ChunkedBody(BodyDecoder):
    """A body in chunks, each with its length; trailers are checked and dropped."""

    def __init__(self) -> None:
        self._held = b""
        self._left = 0
        self._wants_end = False
        self._in_trailers = False
        self._trailer_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """See `BodyDecoder.feed`."""
        buffer = self._held + data if self._held else data
        self._held = b""
        parts: list[bytes] = []
        start = 0
        if not (self._left or self._wants_end or self._in_trailers):
            start = self._whole_chunks(buffer, start, parts)
        while not self.is_complete:
            end = self._step(buffer, start, parts)
            if end == start:
                break
            start = end
        if self.is_complete:
            self.rest += buffer[start:]
        else:
            self._held = buffer[start:]
        return parts[0] if len(parts) == 1 else b"".join(parts)

    @staticmethod
    def _whole_chunks(buffer: bytes, start: int, parts: list[bytes]) -> int:
        """Read whole chunks, as most come, in few steps; returns where they end."""
        while True:
            end = buffer.find(b"\r\n", start, start + MOST_DIGITS + 2)
            if end < 0 or not _DIGITS.fullmatch(buffer, start, end):
                return start
            size = int(buffer[start:end], 16)
            stop = end + 2 + size
            if not size or buffer[stop : stop + 2] != b"\r\n":
                return start
            parts.append(buffer[end + 2 : stop])
            start = stop + 2

    def _step(self, buffer: bytes, start: int, parts: list[bytes]) -> int:
        """Read one element of the framing; returns where the next one starts."""
        if self._left:
            return self._read_data(buffer, start, parts)
        if self._wants_end:
            return self._read_data_end(buffer, start)
        end = buffer.find(b"\r\n", start)
        if end < 0:
            if len(buffer) - start > MOST_CHUNK_LINE_BYTES:
                raise BodyError("a line of a chunk is too long")
            return start
        if self._in_trailers:
            self._read_trailer(buffer[start:end])
        else:
            self._read_size(buffer[start:end])
        return end + 2

    def _read_data(self, buffer: bytes, start: int, parts: list[bytes]) -> int:
        part = buffer[start : start + self._left]
        if part:
            parts.append(part)
            self._left -= len(part)
            self._wants_end = not self._left
        return start + len(part)

    def _read_data_end(self, buffer: bytes, start: int) -> int:
        found = buffer[start : start + 2]
        if found == b"\r\n":
            self._wants_end = False
            return start + 2
        if found not in (b"", b"\r"):
            raise BodyError("a chunk does not end where its length says")
        return start

    def _read_size(self, line: bytes) -> None:
        found = _CHUNK_LINE.fullmatch(line)
        if found is None:
            raise BodyError("a chunk without a length")
        self._left = int(found[1], 16)
        self._in_trailers = not self._left

    def _read_trailer(self, line: bytes) -> None:
        if not line:
            self.is_complete = True
            return
        self._trailer_bytes += len(line)
        if self._trailer_bytes > MOST_TRAILER_BYTES or not _TRAILER.fullmatch(line):
            raise BodyError("bad trailers")
