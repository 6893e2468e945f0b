"""Suspicion: who was not heard, whom to ask about it, and what follows.

A daemon that hears nothing from a neighbour asks a few others to try it. Only
where none of them gets an answer the neighbour counts as dead; so one bad link,
in one direction or both, removes nobody.
"""

from dataclasses import dataclass, field
from enum import Enum

from knapweedbridge_core import rendezvous

HELPERS = 3
LONE_HOSTS = 3
ROUNDS = 3


class Finding(Enum):
    """What became of a suspicion."""

    OPEN = "open"
    DEAD = "dead"
    ISOLATED = "isolated"


@dataclass(slots=True)
class Suspicion:
    """One neighbour that is not heard.

    Parameters
    ----------
    host : str
        The neighbour.
    """

    host: str
    round: int = 0
    ends_s: float = 0.0
    asked: list[str] = field(default_factory=list)
    denied: set[str] = field(default_factory=set)

    def ask(self, others: list[str], now_s: float, wait_s: float) -> list[str]:
        """Begin a round and return the daemons to ask."""
        key = f"{self.host} {self.round}"
        ordered = sorted(others, key=lambda name: rendezvous.score(key, name))
        self.asked = ordered[:HELPERS]
        self.denied = set()
        self.ends_s = now_s + wait_s
        self.round += 1
        return self.asked

    def finding(self, now_s: float, silent: int) -> Finding:
        """Tell what follows.

        Parameters
        ----------
        silent : int
            How many members this daemon does not hear at all. One that hears
            nobody cannot tell a dead pool from its own isolation, unless the
            pool is so small that being alone is the likely case.
        """
        if self.asked and len(self.denied) == len(self.asked):
            return Finding.DEAD
        if now_s < self.ends_s:
            return Finding.OPEN
        if self.denied or (not self.asked and silent < LONE_HOSTS):
            return Finding.DEAD
        if self.round >= ROUNDS or not self.asked:
            return Finding.ISOLATED
        return Finding.OPEN


@dataclass(slots=True)
class Trial:
    """A daemon that this one tries for another."""

    host: str
    asker: str
    ends_s: float
