"""Prompt parts suspected of crashing endpoints, and the losses behind the suspicion."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from knapweedbridge_core.serving.prompt_parts import PART_PREFIX
from knapweedbridge_core.suspects import LAPSE_GROWTH

FIRST_REFUSAL_S = 60.0
"""Duration of the first refusal of a part; each later one lasts ten times as long."""

MAX_REFUSAL_S = 86_400.0
LOSSES_REFUSED = 2
SEPARATOR = "."


def refusal_key(parts: Iterable[str]) -> str:
    """Return the store's key of the refusal of prompts that contain all given parts."""
    return SEPARATOR.join((PART_PREFIX, *sorted(parts)))


def refused_parts(mark: str) -> frozenset[str]:
    """Return the parts that a refusal in the store names; empty: a whole request."""
    kind, *parts = mark.split(SEPARATOR)
    return frozenset(parts) if kind == PART_PREFIX else frozenset()


@dataclass(slots=True, frozen=True)
class LostCall:
    """A request that was lost with an endpoint before its response had started.

    Parameters
    ----------
    request : str
        Digest of the whole request.
    parts : tuple of str
        Digests of the shared parts of its prompt.
    """

    request: str
    parts: tuple[str, ...]


@dataclass(slots=True)
class PartLoss:
    """A loss that a part was involved in: its time, and the requests with the part."""

    at_s: float
    requests: set[str] = field(default_factory=set)


@dataclass(slots=True)
class SuspectPart:
    """The evidence against one part.

    Parameters
    ----------
    companions : frozenset of str
        Parts, including itself, that all lost requests with it have in common.
    losses : dict of str to PartLoss
        Losses that it was involved in, by loss.
    refusals : int
        Number of refusals that have expired.
    released_s : float
        When the last refusal expired.
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
    def expires_s(self) -> float:
        """When the evidence against it expires."""
        refusal_s = FIRST_REFUSAL_S * LAPSE_GROWTH**self.refusals
        return self.last_s + min(MAX_REFUSAL_S, refusal_s)

    @property
    def needed(self) -> int:
        """Losses after which it is refused: one if it was refused before."""
        return 1 if self.refusals else LOSSES_REFUSED
