"""Which software version began a stream, and which hosts keep that record.

A stream continues only on the version that began it, and its caller may resume it at
any host. While endpoints of several versions serve, the host that begins a stream
therefore records its origin at a few other hosts, its coordinators, and at two that
write origins into the platform's store; a host that resumes a stream asks the
coordinators, and has read what the store held when it was started.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from knapweedbridge_core.rendezvous import choose_spread

ORIGIN_COORDINATORS = 3
"""Hosts that keep the origin of one stream, in as many data centres as there are."""

MOST_KEPT = 100_000
"""Maximum number of origins that one host keeps; the oldest are evicted first."""

SWEEP_S = 5.0
"""Interval between searches for origins of streams that are over."""


@dataclass(slots=True, frozen=True)
class StreamOrigin:
    """Service and software version that began a stream.

    Parameters
    ----------
    service : str
        Service of the endpoint that produced its first event.
    software : str
        Software version of that endpoint.
    until_s : float
        When the last of its caller's attempts is over, by this host's clock.
    """

    service: str
    software: str
    until_s: float


class OriginTable:
    """Origins by stream, kept until the streams are over."""

    __slots__ = ("_origins", "_swept_s")

    def __init__(self) -> None:
        self._origins: dict[str, StreamOrigin] = {}
        self._swept_s = -math.inf

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, stream: str, origin: StreamOrigin, now_s: float) -> None:
        """Record a stream's origin; a known one is kept, with the later expiry."""
        known = self._origins.pop(stream, None)
        if known is not None:
            origin = replace(known, until_s=max(known.until_s, origin.until_s))
        self._origins[stream] = origin
        if now_s - self._swept_s > SWEEP_S:
            self._sweep(now_s)
        while len(self._origins) > MOST_KEPT:
            del self._origins[next(iter(self._origins))]

    def record_rows(
        self, rows: Iterable[Sequence[Any]], now_s: float
    ) -> dict[str, StreamOrigin]:
        """Record origins as other hosts tell them; return them by stream.

        Parameters
        ----------
        rows : iterable of sequence
            For each stream its id, service, software version, and the time until its
            caller's last attempt is over, in seconds.
        """
        found = {
            stream: StreamOrigin(service, software, now_s + left_s)
            for stream, service, software, left_s in rows
        }
        for stream, origin in found.items():
            self.record(stream, origin, now_s)
        return found

    def _sweep(self, now_s: float) -> None:
        self._swept_s = now_s
        over = [each for each, o in self._origins.items() if o.until_s < now_s]
        for stream in over:
            del self._origins[stream]

    def forget(self, stream: str) -> None:
        """Remove a stream that has ended."""
        self._origins.pop(stream, None)

    def find(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not known."""
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


def origin_coordinators(
    stream: str, candidates: Mapping[str, Sequence[str]]
) -> list[str]:
    """Return the hosts that keep a stream's origin, in a fixed order.

    Parameters
    ----------
    candidates : dict of str to sequence of str
        Hosts that may keep origins, by data centre.
    """
    return choose_spread(stream, candidates, ORIGIN_COORDINATORS)


@dataclass(slots=True, frozen=True)
class VersionView:
    """One host's view of the versions of a service.

    Parameters
    ----------
    versions : frozenset of str
        Versions on which streams may have begun; empty: the host does not know all.
    is_current : bool
        Whether its view of the store is current, and contains all versions that have
        served since the stream began.
    """

    versions: frozenset[str]
    is_current: bool


class OriginQuery:
    """Query for the origin of a stream that this host does not know.

    Parameters
    ----------
    asked : list of str
        Hosts that are asked.
    view : VersionView
        This host's own view.
    """

    __slots__ = ("_answered", "_found", "_own", "_pending", "_views")

    def __init__(self, asked: list[str], view: VersionView) -> None:
        self._pending = set(asked)
        self._answered: set[str] = set()
        self._own = view
        self._views: list[VersionView] = []
        self._found: str | None = None

    def ask(self, hosts: Iterable[str]) -> set[str]:
        """Add hosts to ask and return all that have not answered yet."""
        self._pending |= set(hosts) - self._answered
        return set(self._pending)

    def answer(self, host: str, software: str | None, view: VersionView) -> None:
        """Record the answer of a host.

        Parameters
        ----------
        software : str or None
            Version that began the stream; None: the host does not know.
        view : VersionView
            The host's view.
        """
        if host not in self._pending:
            return
        self._pending.discard(host)
        self._answered.add(host)
        self._views.append(view)
        self._found = self._found or software

    @property
    def answered(self) -> int:
        """Number of hosts that have answered."""
        return len(self._views)

    @property
    def is_decided(self) -> bool:
        """Whether no further answer is needed.

        Only a version that appeared just now can be unknown to a host with a current
        view. Its streams are recorded at all coordinators at once, so the answer of one
        that knows of none holds for the others.
        """
        if self._found is not None or not self._pending:
            return True
        is_confirmed = bool(self._views) and self._versions() == self._own.versions
        return self._own.is_current and is_confirmed and len(self._own.versions) == 1

    def software(self) -> str | None:
        """Return the version that began the stream, or None if it is undecidable.

        Without a record it is decidable only if all views contain the same single
        version and one of them is current. While none is current, another version may
        have appeared; then all coordinators must have answered, as one would have the
        record.
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
        is_complete = not self._pending and len(self._views) > 1
        return is_complete and all(each.versions for each in self._views)
