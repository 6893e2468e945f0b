"""The state of one suspicion of the failure detector.

A daemon that receives nothing from a neighbour asks a few other members to probe it.
The neighbour is taken for dead only if none of them gets an answer, so a single bad
link, in one direction or both, removes no member.
"""

from dataclasses import dataclass, field
from enum import Enum

from knapweedbridge_core import rendezvous

PROBES_PER_ROUND = 3
MIN_SILENT_FOR_ISOLATION = 3
MAX_ROUNDS = 3


class SuspicionResult(Enum):
    """Result of a suspicion."""

    OPEN = "open"
    DEAD = "dead"
    ISOLATED = "isolated"


@dataclass(slots=True)
class Suspicion:
    """A neighbour from which no message arrives.

    Parameters
    ----------
    host : str
        The neighbour.
    round : int
        Number of rounds begun.
    ends_s : float
        When the current round ends.
    asked : list of str
        Members asked to probe the neighbour in this round.
    failed : set of str
        Those of them that got no answer.
    """

    host: str
    round: int = 0
    ends_s: float = 0.0
    asked: list[str] = field(default_factory=list)
    failed: set[str] = field(default_factory=set)

    def begin_round(self, others: list[str], now_s: float, wait_s: float) -> list[str]:
        """Begin a round and return the members to ask for a probe."""
        key = f"{self.host} {self.round}"
        ordered = sorted(others, key=lambda name: rendezvous.score(key, name))
        self.asked = ordered[:PROBES_PER_ROUND]
        self.failed = set()
        self.ends_s = now_s + wait_s
        self.round += 1
        return self.asked

    def evaluate(self, now_s: float, silent: int) -> SuspicionResult:
        """Return what follows from the answers so far.

        Parameters
        ----------
        silent : int
            Number of members from which this daemon receives nothing. A daemon
            that receives nothing cannot distinguish a dead pool from its own isolation,
            unless the pool is so small that being alone is the likely case.
        """
        if self.asked and len(self.failed) == len(self.asked):
            return SuspicionResult.DEAD
        if now_s < self.ends_s:
            return SuspicionResult.OPEN
        if self.failed or (not self.asked and silent < MIN_SILENT_FOR_ISOLATION):
            return SuspicionResult.DEAD
        if self.round >= MAX_ROUNDS or not self.asked:
            return SuspicionResult.ISOLATED
        return SuspicionResult.OPEN


@dataclass(slots=True)
class IndirectProbe:
    """A probe of a daemon on behalf of another one."""

    host: str
    requester: str
    ends_s: float
