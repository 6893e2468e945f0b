"""Where a load goes: the endpoint, and what it evicts there."""

import math
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from knapweedbridge_core.names import AdapterVersion

SLACK_PER_S = 0.01
FULL_ENOUGH = 0.75


@dataclass(slots=True, frozen=True)
class SlotOption:
    """One slot that a load could take.

    Parameters
    ----------
    endpoint : str
        Where the slot is.
    victim : AdapterVersion or None
        What it holds; None: it is free.
    worth : float
        What evicting the victim costs, in stalled requests a second.
    running, batch : int
        Requests the endpoint runs, and how many share a step at most.
    """

    endpoint: str
    victim: AdapterVersion | None
    worth: float
    running: int
    batch: int


class SlotChoice(ABC):
    """Chooses among the slots of the pool that nothing pins."""

    @abstractmethod
    def choose(
        self, model: AdapterVersion, options: Iterable[SlotOption]
    ) -> SlotOption | None:
        """Return the slot to take for an adapter version, or None."""


class LeastWorth(SlotChoice):
    """The least expected victim; of equals, on the least loaded endpoint."""

    def choose(
        self, model: AdapterVersion, options: Iterable[SlotOption]
    ) -> SlotOption | None:
        """See `SlotChoice.choose`."""
        return min(
            options,
            key=lambda option: (option.worth, option.running, option.endpoint),
            default=None,
        )


class FullerBatch(SlotChoice):
    """A victim nearly as cheap, on the endpoint whose steps are fullest.

    Parameters
    ----------
    weigh : float
        From 0 to 1: how much costlier the victim may be.
    """

    def __init__(self, weigh: float) -> None:
        self._slack = SLACK_PER_S * weigh

    def choose(
        self, model: AdapterVersion, options: Iterable[SlotOption]
    ) -> SlotOption | None:
        """See `SlotChoice.choose`."""
        options = list(options)
        if not options:
            return None
        limit = min(option.worth for option in options) + self._slack
        cheap = [option for option in options if option.worth <= limit]
        return max(cheap, key=_fill)


def _fill(option: SlotOption) -> tuple[float, float, str]:
    fill = option.running / option.batch
    # An endpoint near its limit would make the batch's requests wait.
    fill = fill if fill < FULL_ENOUGH else -math.inf
    return fill, -option.worth, option.endpoint


def make_slot_choice(weigh: float) -> SlotChoice:
    """Return the choice for a weight from stalls (0) to batches (1)."""
    return FullerBatch(weigh) if weigh > 0 else LeastWorth()
