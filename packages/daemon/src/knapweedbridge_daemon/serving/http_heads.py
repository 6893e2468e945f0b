"""Heads of HTTP/1.1 messages: read by httptools, checked, and written.

httptools refuses control characters, bad names, folded lines, line ends without a
carriage return and two framings in headers. What it lets pass and two readers could
take differently is refused here: request lines with other spaces or without a version,
other versions, requests without their one Host, and codings other than ``chunked``.
"""

import re
from dataclasses import dataclass

import httptools

from knapweedbridge_daemon.serving.http_bodies import (
    BodyDecoder,
    ChunkedBody,
    LengthBody,
    UnboundedBody,
)
from knapweedbridge_daemon.serving.wire import Headers, RequestHead, ResponseHead

END_OF_HEAD = b"\r\n\r\n"

_REQUEST_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/1\.([01])\r\n"
)
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: ([^\x00\r\n]*))?\r\n")
_PADDED = re.compile(rb"[ \t]\r\n")
_MARKED = frozenset(
    {b"content-length", b"transfer-encoding", b"connection", b"expect", b"host"}
)


class HeadError(Exception):
    """The bytes are no head, or one that could be read in two ways.

    Parameters
    ----------
    status : int
        HTTP status that a request with this head is answered with.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


@dataclass(slots=True)
class Framing:
    """What a head tells of its message's end, and of the connection after it.

    Parameters
    ----------
    length : int or None
        Length of the body in bytes; None: it is not told.
    is_chunked : bool
        Whether the body comes in chunks.
    closes : bool
        Whether the connection ends after the message.
    is_http10 : bool
        Whether the sender speaks HTTP/1.0, which knows no chunks.
    expects_continue : bool
        Whether the caller waits for a word before it sends the body.
    hosts : int
        Host headers.
    """

    length: int | None = None
    is_chunked: bool = False
    closes: bool = False
    is_http10: bool = False
    expects_continue: bool = False
    hosts: int = 0


class _HeaderList:
    """Takes the headers that httptools reads."""

    __slots__ = ("headers", "on_header")

    def __init__(self) -> None:
        self.headers: Headers = []
        append = self.headers.append
        self.on_header = lambda name, value: append((name, value))


def read_request_head(block: bytes) -> tuple[RequestHead, Framing]:
    """Read the head of a request, from its first byte to its empty line.

    Raises
    ------
    HeadError
        If it is refused.
    """
    line = _REQUEST_LINE.match(block)
    if line is None:
        raise HeadError("no request line of HTTP/1.1")
    method = line[1]
    try:
        headers = _read_headers(httptools.HttpRequestParser, block)
    except httptools.HttpParserInvalidMethodError:
        # httptools knows a list of methods; any token is one.
        known = b"GET" + block[len(method) :]
        headers = _read_headers(httptools.HttpRequestParser, known)
    framing = _find_framing(headers, line[3] == b"0")
    if framing.hosts > 1 or not (framing.hosts or framing.is_http10):
        raise HeadError("not one Host")
    return RequestHead(method, line[2], headers), framing


def read_response_head(block: bytes) -> tuple[ResponseHead, Framing]:
    """Read the head of a response, from its first byte to its empty line.

    Raises
    ------
    HeadError
        If it is refused.
    """
    line = _STATUS_LINE.match(block)
    if line is None:
        raise HeadError("no status line of HTTP/1.1")
    headers = _read_headers(httptools.HttpResponseParser, block)
    framing = _find_framing(headers, line[1] == b"0")
    return ResponseHead(int(line[2]), headers, line[3] or b""), framing


def _read_headers(parser: type, block: bytes) -> Headers:
    taken = _HeaderList()
    try:
        parser(taken).feed_data(block)
    except httptools.HttpParserUpgrade:
        # The head was read whole; a change of protocol is not offered or taken.
        pass
    except httptools.HttpParserInvalidMethodError:
        raise
    except httptools.HttpParserError as error:
        raise HeadError(str(error)) from error
    if _PADDED.search(block) is None:
        return taken.headers
    return [(name, value.rstrip(b" \t")) for name, value in taken.headers]


def _find_framing(headers: Headers, is_http10: bool) -> Framing:
    framing = Framing(closes=is_http10, is_http10=is_http10)
    for key, value in headers:
        name = key.lower()
        if name in _MARKED:
            _note_marked(framing, name, value)
    if framing.is_chunked and framing.length is not None:
        raise HeadError("two framings in one message")
    return framing


def _note_marked(framing: Framing, name: bytes, value: bytes) -> None:
    if name == b"host":
        framing.hosts += 1
    elif name == b"content-length":
        length = int(value)
        if framing.length not in (None, length):
            raise HeadError("two framings in one message")
        framing.length = length
    elif name == b"transfer-encoding":
        if framing.is_chunked or value.lower() != b"chunked":
            raise HeadError("a coding other than chunked", 501)
        framing.is_chunked = True
    elif name == b"connection":
        options = [part.strip() for part in value.lower().split(b",")]
        framing.closes = framing.closes or b"close" in options
    elif value.lower() == b"100-continue":
        framing.expects_continue = not framing.is_http10


def request_body(framing: Framing) -> BodyDecoder:
    """Return what decodes a request's body; without a framing there is none."""
    if framing.is_chunked:
        return ChunkedBody()
    return LengthBody(framing.length or 0)


def has_no_body(method: bytes, status: int) -> bool:
    """Tell whether a response has no body, whatever its headers tell."""
    if method == b"HEAD" or status in (204, 304) or status < 200:
        return True
    return method == b"CONNECT" and status < 300


def response_body(method: bytes, status: int, framing: Framing) -> BodyDecoder:
    """Return what decodes the body of a response to a request of some method."""
    if has_no_body(method, status):
        return LengthBody(0)
    if framing.is_chunked:
        return ChunkedBody()
    if framing.length is not None:
        return LengthBody(framing.length)
    return UnboundedBody()


def pack_head(first_line: bytes, headers: Headers) -> bytes:
    """Write a head.

    Raises
    ------
    HeadError
        If a value would end its line, and so write another header.
    """
    lines = [first_line]
    lines += [b"%b: %b" % pair for pair in headers]
    packed = b"\r\n".join(lines)
    ends = len(headers)
    if packed.count(b"\n") != ends or packed.count(b"\r") != ends or b"\0" in packed:
        raise HeadError("a header with a control character")
    return packed + END_OF_HEAD


def pack_request(head: RequestHead, body: bytes) -> bytes:
    """Write a whole request.

    Raises
    ------
    HeadError
        If its headers do not tell the length of its body, or cannot be written.
    """
    length = 0
    for key, value in head.headers:
        if key.lower() == b"content-length" and value.isdigit():
            length = int(value)
    if length != len(body):
        raise HeadError("a request whose length is not told")
    line = b"%b %b HTTP/1.1" % (head.method, head.target)
    return pack_head(line, head.headers) + body
