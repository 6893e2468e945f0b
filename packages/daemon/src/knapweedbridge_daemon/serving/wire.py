"""Heads of HTTP messages, as the forwarding code hands them on."""

from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]
"""Names as they were sent and their values; lookups ignore the case of names."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection and are not forwarded (RFC 9110, 7.6.1)."""


@dataclass(slots=True, frozen=True)
class RequestHead:
    """First part of a request.

    Parameters
    ----------
    method, target : bytes
        As the caller sent them; ``target`` is path and query.
    headers : list of (bytes, bytes)
        In the order in which they came.
    """

    method: bytes
    target: bytes
    headers: Headers

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(slots=True, frozen=True)
class WireRequest:
    """A request of ours, whole."""

    head: RequestHead
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """First part of a response."""

    status: int
    headers: Headers
    reason: bytes = b""


def get_header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header, or None.

    Parameters
    ----------
    name : bytes
        In lower case.
    """
    size = len(name)
    for key, value in headers:
        if len(key) == size and key.lower() == name:
            return value.decode("latin-1")
    return None


def connection_options(headers: Headers) -> set[bytes]:
    """Return what the Connection headers name, in lower case."""
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return named


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that are forwarded."""
    kept = [pair for pair in headers if pair[0].lower() not in HOP_BY_HOP]
    if len(kept) == len(headers):
        # There is no Connection header, which could name others.
        return kept
    named = connection_options(headers)
    return [pair for pair in kept if pair[0].lower() not in named]
