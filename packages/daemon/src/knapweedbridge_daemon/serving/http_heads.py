"""Parsing, validation and encoding of the heads of HTTP/1.1 messages.

httptools rejects control characters, invalid names, folded lines, line ends without a
carriage return and two framings in headers. Whatever it accepts that two parsers could
interpret differently is rejected here: request lines with other whitespace or without
a version, other versions, requests without exactly one Host, and transfer codings other
than ``chunked``.
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
_TRAILING_WHITESPACE = re.compile(rb"[ \t]\r\n")
_CHECKED_HEADERS = frozenset(
    {b"content-length", b"transfer-encoding", b"connection", b"expect", b"host"}
)


class HeadError(Exception):
    """Raised for bytes that are not a valid head, or an ambiguous one.

    Parameters
    ----------
    status : int
        HTTP status of the response to a request with this head.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


@dataclass(slots=True)
class Framing:
    """Where a message ends, and whether the connection persists after it.

    Parameters
    ----------
    length : int or None
        Length of the body in bytes; None if the head does not state it.
    is_chunked : bool
        Whether the body is chunked.
    closes : bool
        Whether the connection is closed after the message.
    is_http10 : bool
        Whether the sender uses HTTP/1.0, which has no chunked coding.
    expects_continue : bool
        Whether the caller waits for "100 Continue" before it sends the body.
    hosts : int
        Number of Host headers.
    """

    length: int | None = None
    is_chunked: bool = False
    closes: bool = False
    is_http10: bool = False
    expects_continue: bool = False
    hosts: int = 0


class _HeaderList:
    """Collects the headers that httptools parses."""

    __slots__ = ("headers", "on_header")

    def __init__(self) -> None:
        self.headers: Headers = []
        append = self.headers.append
        self.on_header = lambda name, value: append((name, value))


def read_request_head(block: bytes) -> tuple[RequestHead, Framing]:
    """Parse the head of a request, including the empty line at its end.

    Raises
    ------
    HeadError
        If the head is invalid or ambiguous.
    """
    line = _REQUEST_LINE.match(block)
    if line is None:
        raise HeadError("invalid HTTP/1.1 request line")
    method = line[1]
    try:
        headers = _read_headers(httptools.HttpRequestParser, block)
    except httptools.HttpParserInvalidMethodError:
        # httptools accepts a fixed list of methods, but any token is valid.
        known = b"GET" + block[len(method) :]
        headers = _read_headers(httptools.HttpRequestParser, known)
    framing = _find_framing(headers, line[3] == b"0")
    if framing.hosts > 1 or not (framing.hosts or framing.is_http10):
        raise HeadError(f"{framing.hosts} Host headers instead of one")
    return RequestHead(method, line[2], headers), framing


def read_response_head(block: bytes) -> tuple[ResponseHead, Framing]:
    """Parse the head of a response, including the empty line at its end.

    Raises
    ------
    HeadError
        If the head is invalid or ambiguous.
    """
    line = _STATUS_LINE.match(block)
    if line is None:
        raise HeadError("invalid HTTP/1.1 status line")
    headers = _read_headers(httptools.HttpResponseParser, block)
    framing = _find_framing(headers, line[1] == b"0")
    return ResponseHead(int(line[2]), headers, line[3] or b""), framing


def _read_headers(parser: type, block: bytes) -> Headers:
    collected = _HeaderList()
    try:
        parser(collected).feed_data(block)
    except httptools.HttpParserUpgrade:
        # The head was parsed completely; protocol upgrades are not supported.
        pass
    except httptools.HttpParserInvalidMethodError:
        raise
    except httptools.HttpParserError as error:
        raise HeadError(str(error)) from error
    if _TRAILING_WHITESPACE.search(block) is None:
        return collected.headers
    return [(name, value.rstrip(b" \t")) for name, value in collected.headers]


def _find_framing(headers: Headers, is_http10: bool) -> Framing:
    framing = Framing(closes=is_http10, is_http10=is_http10)
    for key, value in headers:
        name = key.lower()
        if name in _CHECKED_HEADERS:
            _apply_header(framing, name, value)
    if framing.is_chunked and framing.length is not None:
        raise HeadError("two framings in one message")
    return framing


def _apply_header(framing: Framing, name: bytes, value: bytes) -> None:
    if name == b"host":
        framing.hosts += 1
    elif name == b"content-length":
        length = int(value)
        if framing.length not in (None, length):
            raise HeadError("two framings in one message")
        framing.length = length
    elif name == b"transfer-encoding":
        if framing.is_chunked or value.lower() != b"chunked":
            raise HeadError("unsupported transfer coding", 501)
        framing.is_chunked = True
    elif name == b"connection":
        options = [part.strip() for part in value.lower().split(b",")]
        framing.closes = framing.closes or b"close" in options
    elif value.lower() == b"100-continue":
        framing.expects_continue = not framing.is_http10


def request_body(framing: Framing) -> BodyDecoder:
    """Return the decoder of a request's body, which is empty without a framing."""
    if framing.is_chunked:
        return ChunkedBody()
    return LengthBody(framing.length or 0)


def has_no_body(method: bytes, status: int) -> bool:
    """Return whether a response has no body, whatever its headers state."""
    if method == b"HEAD" or status in (204, 304) or status < 200:
        return True
    return method == b"CONNECT" and status < 300


def response_body(method: bytes, status: int, framing: Framing) -> BodyDecoder:
    """Return the decoder of the body of a response to a request with this method."""
    if has_no_body(method, status):
        return LengthBody(0)
    if framing.is_chunked:
        return ChunkedBody()
    if framing.length is not None:
        return LengthBody(framing.length)
    return UnboundedBody()


def pack_head(first_line: bytes, headers: Headers) -> bytes:
    """Encode a head.

    Raises
    ------
    HeadError
        If a value contains a control character that could inject another header.
    """
    lines = [first_line]
    lines += [b"%b: %b" % pair for pair in headers]
    packed = b"\r\n".join(lines)
    line_ends = len(headers)
    if (
        packed.count(b"\n") != line_ends
        or packed.count(b"\r") != line_ends
        or b"\0" in packed
    ):
        raise HeadError("control character in a header")
    return packed + END_OF_HEAD


def pack_request(head: RequestHead, body: bytes) -> bytes:
    """Encode a complete request.

    Raises
    ------
    HeadError
        If its headers do not state the length of its body, or are invalid.
    """
    length = 0
    for key, value in head.headers:
        if key.lower() == b"content-length" and value.isdigit():
            length = int(value)
    if length != len(body):
        raise HeadError(
            f"Content-Length is {length}, but the body has {len(body)} bytes"
        )
    line = b"%b %b HTTP/1.1" % (head.method, head.target)
    return pack_head(line, head.headers) + body
