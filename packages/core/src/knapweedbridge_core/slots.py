"""Strategies that choose the slot of a load: its endpoint and the victim there."""

import math
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from knapweedbridge_core.names import AdapterVersion

SLACK_PER_S = 0.01
MAX_FILL = 0.75


@dataclass(slots=True, frozen=True)
class SlotOption:
    """A slot that a load may use.

    Parameters
    ----------
    endpoint : str
        Endpoint of the slot.
    victim : AdapterVersion or None
        The adapter version in the slot; None if the slot is free.
    worth : float
        Cost of evicting the victim, in stalled requests per second.
    running, batch : int
        Running requests of the endpoint, and the maximum in a batch.
    """

    endpoint: str
    victim: AdapterVersion | None
    worth: float
    running: int
    batch: int


class SlotChoice(ABC):
    """Chooses among the slots of the pool that are not pinned."""

    @abstractmethod
    def choose(
        self, model: AdapterVersion, options: Iterable[SlotOption]
    ) -> SlotOption | None:
        """Return the slot for an adapter version, or None if there are no options."""


class LeastWorth(SlotChoice):
    """Chooses the cheapest victim; ties go to the endpoint with fewest requests."""

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
    """Chooses among the cheapest victims the one on the fullest batch.

    Parameters
    ----------
    weigh : float
        From 0 to 1; scales how much a victim's cost may exceed the minimum.
    """

    def __init__(self, weigh: float) -> None:
        self._slack_per_s = SLACK_PER_S * weigh

    def choose(
        self, model: AdapterVersion, options: Iterable[SlotOption]
    ) -> SlotOption | None:
        """See `SlotChoice.choose`."""
        options = list(options)
        if not options:
            return None
        limit = min(option.worth for option in options) + self._slack_per_s
        cheap = [option for option in options if option.worth <= limit]
        return max(cheap, key=_fill)


def _fill(option: SlotOption) -> tuple[float, float, str]:
    fill = option.running / option.batch
    # On an endpoint near its limit, requests would wait for room in the batch.
    fill = fill if fill < MAX_FILL else -math.inf
    return fill, -option.worth, option.endpoint


def make_slot_choice(weigh: float) -> SlotChoice:
    """Return the strategy for a weight between few stalls (0) and full batches (1)."""
    return FullerBatch(weigh) if weigh > 0 else LeastWorth()
