"""Which software version began a stream, and which hosts are asked for that.

A stream goes on only at the version that began it, and its caller may resume it at any
host. So while endpoints of several versions serve, the host that begins a stream
records its origin at a few others, the keepers, and a host that resumes one asks them.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from knapweedbridge_core.rendezvous import choose_spread

KEEPERS = 3
"""Hosts that keep the origin of one stream, in as many data centres as there are."""

MOST_KEPT = 100_000
"""Origins that one host keeps; the oldest ones go first beyond that."""

SWEEP_S = 5.0
"""Time between two searches for origins of streams that are over."""


@dataclass(slots=True, frozen=True)
class StreamOrigin:
    """What began a stream.

    Parameters
    ----------
    service : str
        Service of the endpoint that made its first event.
    software : str
        Version of that endpoint's software.
    until_s : float
        When the last of its caller's attempts is over, on this host's clock.
    """

    service: str
    software: str
    until_s: float


class OriginTable:
    """Origins by stream, until the streams are over."""

    __slots__ = ("_origins", "_swept_s")

    def __init__(self) -> None:
        self._origins: dict[str, StreamOrigin] = {}
        self._swept_s = -math.inf

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, stream: str, origin: StreamOrigin, now_s: float) -> None:
        """Record a stream's origin; a known one stays, for the longer time."""
        known = self._origins.pop(stream, None)
        if known is not None:
            origin = replace(known, until_s=max(known.until_s, origin.until_s))
        self._origins[stream] = origin
        if now_s - self._swept_s > SWEEP_S:
            self._sweep(now_s)
        while len(self._origins) > MOST_KEPT:
            del self._origins[next(iter(self._origins))]

    def _sweep(self, now_s: float) -> None:
        self._swept_s = now_s
        over = [each for each, o in self._origins.items() if o.until_s < now_s]
        for stream in over:
            del self._origins[stream]

    def forget(self, stream: str) -> None:
        """Forget a stream that came to its end."""
        self._origins.pop(stream, None)

    def find(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream; None where it is not known."""
        return self._origins.get(stream)

    def of_services(
        self, services: set[str], now_s: float
    ) -> list[tuple[str, StreamOrigin]]:
        """Return the streams of some services that are not over."""
        return [
            (stream, origin)
            for stream, origin in self._origins.items()
            if origin.service in services and origin.until_s > now_s
        ]


def origin_keepers(stream: str, candidates: Mapping[str, Sequence[str]]) -> list[str]:
    """Name the hosts that keep a stream's origin, in a fixed order.

    Parameters
    ----------
    candidates : dict of str to sequence of str
        Hosts that may keep origins, by data centre.
    """
    return choose_spread(stream, candidates, KEEPERS)


@dataclass(slots=True, frozen=True)
class VersionView:
    """What a host knows of the versions of a service.

    Parameters
    ----------
    versions : frozenset of str
        Versions that streams may have begun on.
    is_current : bool
        Whether its view of the store is current, and has all versions that were there
        since the stream began.
    """

    versions: frozenset[str]
    is_current: bool


class OriginQuery:
    """A question for the origin of a stream that this host does not know.

    Parameters
    ----------
    asked : list of str
        Hosts that are asked.
    view : VersionView
        What this host knows.
    """

    __slots__ = ("_asked", "_found", "_heard", "_own", "_views")

    def __init__(self, asked: list[str], view: VersionView) -> None:
        self._asked = set(asked)
        self._heard: set[str] = set()
        self._own = view
        self._views: list[VersionView] = []
        self._found: str | None = None

    def ask(self, hosts: Iterable[str]) -> set[str]:
        """Return which hosts have not answered yet, some new ones among them."""
        self._asked |= set(hosts) - self._heard
        return set(self._asked)

    def answer(self, host: str, software: str | None, view: VersionView) -> None:
        """Record the answer of a host.

        Parameters
        ----------
        software : str or None
            Version that began the stream; None: the host does not know.
        view : VersionView
            What the host knows.
        """
        if host not in self._asked:
            return
        self._asked.discard(host)
        self._heard.add(host)
        self._views.append(view)
        self._found = self._found or software

    @property
    def answered(self) -> int:
        """Hosts that have answered."""
        return len(self._views)

    @property
    def is_decided(self) -> bool:
        """Whether no further answer is waited for.

        Only a version that appeared just now can be unknown to a host with a current
        view. Its streams are recorded at all keepers at once, so one that knows of none
        stands for the others.
        """
        if self._found is not None or not self._asked:
            return True
        is_confirmed = bool(self._views) and self._versions() == self._own.versions
        return self._own.is_current and is_confirmed and len(self._own.versions) == 1

    def software(self) -> str | None:
        """Return the version that began the stream; None where that cannot be told.

        Without a record it can be told only where all who were heard know one version,
        and the view of one is current. While none is, another version may have
        appeared: then all keepers must have answered, as one would have the record.
        """
        if self._found is not None:
            return self._found
        versions = self._versions()
        if len(versions) != 1 or not self._is_informed():
            return None
        return next(iter(versions))

    def _versions(self) -> set[str]:
        return set(self._own.versions).union(*(each.versions for each in self._views))

    def _is_informed(self) -> bool:
        if any(each.is_current for each in (self._own, *self._views)):
            return True
        is_whole = not self._asked and len(self._views) > 1
        return is_whole and all(each.versions for each in self._views)
