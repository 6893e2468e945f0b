"""Which of the endpoints that hold an adapter serves a request."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

FULL_ENOUGH = 0.75


@dataclass(slots=True, frozen=True)
class Holder:
    """An endpoint that holds the adapter.

    Parameters
    ----------
    endpoint : str
        Its name.
    running : int
        Requests it runs: the owner's last word and what was sent since.
    batch : int
        Requests that share a step at most.
    """

    endpoint: str
    running: int
    batch: int


class Placement(ABC):
    """Chooses the endpoint of a request."""

    @abstractmethod
    def choose(self, holders: list[Holder]) -> Holder:
        """Return one of the holders, of which there is at least one."""


class LeastLoaded(Placement):
    """The endpoint with the emptiest batch."""

    def choose(self, holders: list[Holder]) -> Holder:
        """See `Placement.choose`."""
        return min(holders, key=_fill)


class JoinFuller(Placement):
    """The fullest batch that leaves room, so that no request waits for it.

    Parameters
    ----------
    full_enough : float
        Share of the batch limit up to which a batch is joined.
    """

    def __init__(self, full_enough: float = FULL_ENOUGH) -> None:
        self._full_enough = full_enough

    def choose(self, holders: list[Holder]) -> Holder:
        """See `Placement.choose`."""
        room = [h for h in holders if h.running < self._full_enough * h.batch]
        return max(room, key=_fill) if room else min(holders, key=_fill)


def _fill(holder: Holder) -> tuple[float, str]:
    return holder.running / holder.batch, holder.endpoint


def make_placement(weigh: float) -> Placement:
    """Return the choice for a weight from stalls (0) to batches (1)."""
    return JoinFuller() if weigh > 0 else LeastLoaded()
