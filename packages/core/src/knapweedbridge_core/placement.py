"""Strategies that choose the endpoint of a request among the adapter's holders."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

MAX_FILL = 0.75


@dataclass(slots=True, frozen=True)
class Holder:
    """An endpoint that holds the adapter.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    running : int
        Running requests: those in the owner's last update, and those sent since.
    batch : int
        Maximum number of requests in a batch.
    """

    endpoint: str
    running: int
    batch: int


class Placement(ABC):
    """Chooses the endpoint that serves a request."""

    @abstractmethod
    def choose(self, holders: list[Holder]) -> Holder:
        """Return one of the holders; the list must not be empty."""


class LeastLoaded(Placement):
    """Chooses the endpoint with the lowest batch fill."""

    def choose(self, holders: list[Holder]) -> Holder:
        """See `Placement.choose`."""
        return min(holders, key=_fill)


class JoinFuller(Placement):
    """Chooses the fullest batch that still has room, so that no request waits.

    Parameters
    ----------
    max_fill : float
        Fraction of the batch limit below which a batch accepts requests.
    """

    def __init__(self, max_fill: float = MAX_FILL) -> None:
        self._max_fill = max_fill

    def choose(self, holders: list[Holder]) -> Holder:
        """See `Placement.choose`."""
        free = [h for h in holders if h.running < self._max_fill * h.batch]
        return max(free, key=_fill) if free else min(holders, key=_fill)


def _fill(holder: Holder) -> tuple[float, str]:
    return holder.running / holder.batch, holder.endpoint


def make_placement(weigh: float) -> Placement:
    """Return the strategy for a weight between few stalls (0) and full batches (1)."""
    return JoinFuller() if weigh > 0 else LeastLoaded()
