"""What is passed on between callers and endpoints, and in which form."""

from collections.abc import Iterable
from http.cookiejar import CookieJar, DefaultCookiePolicy

from starlette.types import Scope

NEUTRAL_HEADERS = {"accept-encoding": "identity"}
"""Sent where the caller says nothing: the HTTP library would ask for compression,
which neither a caller that did not ask nor the relay of events can read."""


# Headers that belong to one connection, or that this daemon sets itself.
NOT_PASSED_ON = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def passed_on(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that go on to the other side.

    What a ``Connection`` header names belongs to that connection too.
    """
    pairs = [(name.lower(), value) for name, value in headers]
    named = {
        part.strip().lower()
        for name, value in pairs
        if name == "connection"
        for part in value.split(",")
    }
    stopped = NOT_PASSED_ON | named
    return [pair for pair in pairs if pair[0] not in stopped]


def keep_no_cookies() -> CookieJar:
    """Return a jar that takes nothing.

    The connections to endpoints are shared by all callers: a jar would show one
    caller's cookie to an endpoint as that of the next caller.
    """
    return CookieJar(policy=DefaultCookiePolicy(allowed_domains=[]))


def raw_target(scope: Scope) -> str:
    """Return path and query of a request as the caller wrote them.

    The decoded path would name another resource: ``%2F`` is no separator and
    ``%3F`` begins no query.
    """
    path: bytes = scope.get("raw_path") or scope["path"].encode()
    query: bytes = scope["query_string"]
    target = path + b"?" + query if query else path
    return target.decode("latin-1")
