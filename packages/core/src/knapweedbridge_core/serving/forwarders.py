"""Which hosts forward connections to endpoints for a host that has lost its links."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving.ownership import DaemonRecord

CANDIDATES = 24
"""Hosts that one host may ask. Each host has different ones, so that the whole pool
shares the work for a data centre without links."""

ENOUGH_PROVEN = 3
"""Number of hosts that carry connections from which on no further ones are tried."""

MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
"""Backoff after a host has refused or not answered. It doubles each time, as most of
the pool may be without links."""


@dataclass(slots=True)
class Refusals:
    """Consecutive refusals of one host, and the end of its backoff."""

    in_row: int
    until_s: float


class Forwarders:
    """The hosts that this host asks, with the number of connections each carries.

    Parameters
    ----------
    name : str
        Name of this host.
    """

    __slots__ = ("_able", "_carries", "_name", "_refusals")

    def __init__(self, name: str) -> None:
        self._name = name
        self._able: list[str] = []
        self._carries: dict[str, int] = {}
        self._refusals: dict[str, Refusals] = {}

    def set_daemons(
        self, daemons: Iterable[DaemonRecord], without_links: set[str]
    ) -> None:
        """Set the listed daemons, and which of them have lost their links."""
        able = [
            each.name
            for each in daemons
            if not each.draining
            and each.name != self._name
            and each.name not in without_links
        ]
        able.sort(key=lambda name: score(self._name, name), reverse=True)
        self._able = able[:CANDIDATES]
        known: tuple[dict[str, int], dict[str, Refusals]]
        known = self._carries, self._refusals
        for kept in known:
            for name in kept.keys() - set(self._able):
                del kept[name]

    def __contains__(self, name: object) -> bool:
        return name in self._able

    def in_order(self, now_s: float) -> list[str]:
        """Return the hosts to ask, in order of preference.

        Hosts that carry connections are sorted by their number. While there are few of
        them, one host that has not been tried goes first. If all hosts are in backoff,
        some of them are returned nevertheless.
        """
        able = [name for name in self._able if self._may_ask(name, now_s)]
        if not able:
            # Few hosts may have links, and be slow because of what they carry.
            return sorted(self._able, key=self._backoff_until_s)[:ENOUGH_PROVEN]
        proven = [name for name in able if name in self._carries]
        proven.sort(key=lambda name: self._carries[name])
        untried = [name for name in able if name not in self._carries]
        first = untried[:1] if len(proven) < ENOUGH_PROVEN else []
        return first + proven + untried[len(first) :]

    def _may_ask(self, name: str, now_s: float) -> bool:
        return self._backoff_until_s(name) <= now_s

    def _backoff_until_s(self, name: str) -> float:
        refusals = self._refusals.get(name)
        return refusals.until_s if refusals else -math.inf

    def record_opened(self, name: str, connections: int) -> None:
        """Record the connections that a host carries, including the one just opened."""
        self._carries[name] = connections
        self._refusals.pop(name, None)

    def record_refused(self, name: str, now_s: float) -> None:
        """Record that a host refused a connection or did not answer."""
        self._carries.pop(name, None)
        known = self._refusals.get(name)
        in_row = known.in_row + 1 if known else 1
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** (in_row - 1))
        self._refusals[name] = Refusals(in_row, now_s + backoff_s)
