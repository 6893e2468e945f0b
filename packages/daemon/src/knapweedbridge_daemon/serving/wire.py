"""HTTP message heads and functions for their headers."""

from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]
"""Names, in the case they were sent in, and values; lookups ignore the case."""

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
"""Headers that apply to one connection and are not forwarded (RFC 9110, 7.6.1)."""


@dataclass(slots=True, frozen=True)
class RequestHead:
    """Request line and headers of a request.

    Parameters
    ----------
    method, target : bytes
        As sent by the caller; ``target`` contains path and query.
    headers : list of (bytes, bytes)
        In the order received.
    """

    method: bytes
    target: bytes
    headers: Headers

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(slots=True, frozen=True)
class WireRequest:
    """Complete request sent by this daemon."""

    head: RequestHead
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status line and headers of a response."""

    status: int
    headers: Headers
    reason: bytes = b""


def get_header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header, or None if it is missing.

    Parameters
    ----------
    name : bytes
        Name in lower case.
    """
    size = len(name)
    for key, value in headers:
        if len(key) == size and key.lower() == name:
            return value.decode("latin-1")
    return None


def connection_options(headers: Headers) -> set[bytes]:
    """Return the options of the Connection headers, in lower case."""
    options: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            options.update(part.strip().lower() for part in value.split(b","))
    return options


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that are forwarded, without hop-by-hop headers."""
    kept = [pair for pair in headers if pair[0].lower() not in HOP_BY_HOP]
    if len(kept) == len(headers):
        # Without a Connection header, no further headers are hop-by-hop.
        return kept
    options = connection_options(headers)
    return [pair for pair in kept if pair[0].lower() not in options]
