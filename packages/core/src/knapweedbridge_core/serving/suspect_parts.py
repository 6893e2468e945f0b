"""Parts of prompts that something is held against, and what they were lost with."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from knapweedbridge_core.blame import LAPSE_GROWTH
from knapweedbridge_core.serving.prompt_parts import PART_PREFIX

FIRST_REFUSAL_S = 60.0
"""How long a part is refused at first; each later refusal lasts ten times as long."""

LONGEST_LAPSE_S = 86_400.0
LOSSES_REFUSED = 2
SEPARATOR = "."


def refusal_key(parts: Iterable[str]) -> str:
    """Return what the store knows the refusal of prompts with all some parts by."""
    return SEPARATOR.join((PART_PREFIX, *sorted(parts)))


def refused_parts(mark: str) -> frozenset[str]:
    """Return the parts that a refusal in the store is about; empty: a whole call."""
    kind, *parts = mark.split(SEPARATOR)
    return frozenset(parts) if kind == PART_PREFIX else frozenset()


@dataclass(slots=True, frozen=True)
class LostCall:
    """A call that broke off with an endpoint before its answer had begun.

    Parameters
    ----------
    request : str
        What the call as a whole is known by.
    parts : tuple of str
        Marks of the shared parts of its prompt.
    """

    request: str
    parts: tuple[str, ...]


@dataclass(slots=True)
class PartLoss:
    """A loss that a part was at: when, and with which requests."""

    at_s: float
    requests: set[str] = field(default_factory=set)


@dataclass(slots=True)
class SuspectPart:
    """What is held against one part.

    Parameters
    ----------
    companions : frozenset of str
        Parts, itself included, that all requests had with which it was lost.
    refusals : int
        How often it was refused until that lapsed.
    released_s : float
        When the last refusal lapsed.
    """

    companions: frozenset[str]
    losses: dict[str, PartLoss] = field(default_factory=dict)
    refusals: int = 0
    released_s: float = -math.inf

    @property
    def last_s(self) -> float:
        """Time of the last loss, or of the end of the previous refusal."""
        times = (loss.at_s for loss in self.losses.values())
        return max(times, default=self.released_s)

    @property
    def lapses_s(self) -> float:
        """When what is held against it lapses."""
        lapse_s = FIRST_REFUSAL_S * LAPSE_GROWTH**self.refusals
        return self.last_s + min(LONGEST_LAPSE_S, lapse_s)

    @property
    def needed(self) -> int:
        """Losses after which it is refused; one that was refused before has one."""
        return 1 if self.refusals else LOSSES_REFUSED
