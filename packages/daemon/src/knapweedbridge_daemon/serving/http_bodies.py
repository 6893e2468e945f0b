"""Decoders for the bodies of HTTP/1.1 messages."""

import re
from abc import ABC, abstractmethod

MAX_CHUNK_LINE_BYTES = 4096
MAX_TRAILER_BYTES = 65536
MAX_EXTENSION_BYTES = 65536
"""Most bytes of chunk extensions in one body, which carry nothing of it."""

ELEMENTS_A_STEP = 512
"""Chunks that are decoded at once, in about half a millisecond."""

MAX_SIZE_DIGITS = 16
"""Maximum number of hexadecimal digits in a chunk size."""

_SIZE = re.compile(rb"[0-9A-Fa-f]+")
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\x00\r\n]*)?")
_TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00\r\n]*")


class BodyError(Exception):
    """Raised for bytes that violate the framing stated in the head."""


class BodyDecoder(ABC):
    """Decodes the body from the bytes that follow a head.

    Attributes
    ----------
    is_complete : bool
        Whether the end of the body was received.
    rest : bytes
        Bytes received after the end of the body.
    has_more : bool
        Whether a further step decodes more of the bytes that were received.
    """

    is_complete: bool = False
    has_more: bool = False
    rest: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Decode received bytes and return the part of the body in them.

        Raises
        ------
        BodyError
            If the bytes violate the framing.
        """
        part = self.step(data)
        if not self.has_more:
            return part
        parts = [part]
        while self.has_more:
            parts.append(self.step(b""))
        return b"".join(parts)

    @abstractmethod
    def step(self, data: bytes) -> bytes:
        """Decode like `feed`, but no more than a bounded number of elements.

        Raises
        ------
        BodyError
            If the bytes violate the framing.
        """

    def end(self) -> None:
        """Handle an orderly end of the connection.

        Raises
        ------
        BodyError
            If this truncates the body.
        """
        raise BodyError("truncated body")


class LengthBody(BodyDecoder):
    """Body with a Content-Length.

    Parameters
    ----------
    length : int
        Length of the body in bytes.
    """

    def __init__(self, length: int) -> None:
        self._remaining = length
        self.is_complete = length == 0

    def step(self, data: bytes) -> bytes:
        """See `BodyDecoder.step`."""
        remaining = self._remaining
        if len(data) < remaining:
            self._remaining = remaining - len(data)
            return data
        self._remaining = 0
        self.is_complete = True
        self.rest += data[remaining:]
        return data[:remaining]


class UnboundedBody(BodyDecoder):
    """Body that extends to the end of the connection."""

    def step(self, data: bytes) -> bytes:
        """See `BodyDecoder.step`."""
        return data

    def end(self) -> None:
        """See `BodyDecoder.end`."""
        self.is_complete = True


class ChunkedBody(BodyDecoder):
    """Chunked body; trailers are validated and discarded."""

    def __init__(self) -> None:
        self._buffer = b""
        self._start = 0
        self._remaining = 0
        self._expects_chunk_end = False
        self._in_trailers = False
        self._trailer_bytes = 0
        self._extension_bytes = 0

    def step(self, data: bytes) -> bytes:
        """See `BodyDecoder.step`."""
        if data:
            left = self._buffer[self._start :]
            self._buffer, self._start = left + data if left else data, 0
        buffer, start = self._buffer, self._start
        parts: list[bytes] = []
        if not (self._remaining or self._expects_chunk_end or self._in_trailers):
            start = self._decode_whole_chunks(buffer, start, parts)
        elements = 2 * len(parts)
        self.has_more = True
        while not self.is_complete and elements < 2 * ELEMENTS_A_STEP:
            end = self._decode_element(buffer, start, parts)
            if end == start:
                self.has_more = False
                break
            start = end
            elements += 1
        self._start = start
        if self.is_complete:
            self.has_more = False
            self.rest += buffer[start:]
        if not self.has_more:
            self._buffer, self._start = (
                (b"", 0) if self.is_complete else (buffer[start:], 0)
            )
        return parts[0] if len(parts) == 1 else b"".join(parts)

    @staticmethod
    def _decode_whole_chunks(buffer: bytes, start: int, parts: list[bytes]) -> int:
        """Decode complete chunks, the common case; return where they end."""
        while len(parts) < ELEMENTS_A_STEP:
            end = buffer.find(b"\r\n", start, start + MAX_SIZE_DIGITS + 2)
            if end < 0 or not _SIZE.fullmatch(buffer, start, end):
                return start
            size = int(buffer[start:end], 16)
            stop = end + 2 + size
            if not size or buffer[stop : stop + 2] != b"\r\n":
                return start
            parts.append(buffer[end + 2 : stop])
            start = stop + 2
        return start

    def _decode_element(self, buffer: bytes, start: int, parts: list[bytes]) -> int:
        """Decode one element of the framing; return where the next one starts."""
        if self._remaining:
            return self._read_data(buffer, start, parts)
        if self._expects_chunk_end:
            return self._read_chunk_end(buffer, start)
        end = buffer.find(b"\r\n", start)
        if end < 0:
            if len(buffer) - start > MAX_CHUNK_LINE_BYTES:
                raise BodyError("chunk line is too long")
            return start
        if self._in_trailers:
            self._read_trailer(buffer[start:end])
        else:
            self._read_size(buffer[start:end])
        return end + 2

    def _read_data(self, buffer: bytes, start: int, parts: list[bytes]) -> int:
        part = buffer[start : start + self._remaining]
        if part:
            parts.append(part)
            self._remaining -= len(part)
            self._expects_chunk_end = not self._remaining
        return start + len(part)

    def _read_chunk_end(self, buffer: bytes, start: int) -> int:
        found = buffer[start : start + 2]
        if found == b"\r\n":
            self._expects_chunk_end = False
            return start + 2
        if found not in (b"", b"\r"):
            raise BodyError("chunk data does not end where its size says")
        return start

    def _read_size(self, line: bytes) -> None:
        found = _SIZE_LINE.fullmatch(line)
        if found is None:
            raise BodyError("invalid chunk size")
        self._extension_bytes += len(line) - len(found[1])
        if self._extension_bytes > MAX_EXTENSION_BYTES:
            raise BodyError("oversized chunk extensions")
        self._remaining = int(found[1], 16)
        self._in_trailers = not self._remaining

    def _read_trailer(self, line: bytes) -> None:
        if not line:
            self.is_complete = True
            return
        self._trailer_bytes += len(line)
        if self._trailer_bytes > MAX_TRAILER_BYTES or not _TRAILER.fullmatch(line):
            raise BodyError("invalid or oversized trailers")
