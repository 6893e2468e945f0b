"""Which hosts carry connections to endpoints for a host that has lost its links."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving.ownership import DaemonRecord

CANDIDATES = 24
"""Hosts that one host may ask. Each host has others, so that all of the pool share the
work of a data centre without links."""

PROVEN_ENOUGH = 3
"""Hosts that carry connections with which no further ones are tried."""

REST_FIRST_S = 0.5
REST_LONGEST_S = 4.0
"""How long a host that refused, or did not answer, is not asked: twice as long each
time, as most of the pool may be without links."""


@dataclass(slots=True)
class Refusals:
    """Refusals of one host in a row, and until when it is not asked."""

    in_row: int
    until_s: float


class Forwarders:
    """The hosts that this one asks, by what each carries.

    Parameters
    ----------
    name : str
        This host.
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
        """Take which daemons are there, and which of them have lost their links."""
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
        """Return the hosts to ask, the first first.

        Those that carry connections go by how many; while they are few, one that has
        not been tried goes before them. Where all rest, some are asked all the same.
        """
        able = [name for name in self._able if self._may_ask(name, now_s)]
        if not able:
            # Few may have links, and be slow for what they carry.
            return sorted(self._able, key=self._rests_until_s)[:PROVEN_ENOUGH]
        proven = [name for name in able if name in self._carries]
        proven.sort(key=lambda name: self._carries[name])
        untried = [name for name in able if name not in self._carries]
        first = untried[:1] if len(proven) < PROVEN_ENOUGH else []
        return first + proven + untried[len(first) :]

    def _may_ask(self, name: str, now_s: float) -> bool:
        return self._rests_until_s(name) <= now_s

    def _rests_until_s(self, name: str) -> float:
        refusals = self._refusals.get(name)
        return refusals.until_s if refusals else -math.inf

    def record_opened(self, name: str, connections: int) -> None:
        """Record how many connections a host carries, with the one just opened."""
        self._carries[name] = connections
        self._refusals.pop(name, None)

    def record_refused(self, name: str, now_s: float) -> None:
        """Record that a host refused, or did not answer."""
        self._carries.pop(name, None)
        known = self._refusals.get(name)
        in_row = known.in_row + 1 if known else 1
        rest_s = min(REST_LONGEST_S, REST_FIRST_S * 2 ** (in_row - 1))
        self._refusals[name] = Refusals(in_row, now_s + rest_s)
