"""Rate limit of loads from the weight store, over all daemons."""

from dataclasses import dataclass

EARLY_LOADS = 1.0


@dataclass(slots=True)
class LoadRate:
    """Limits the rate at which loads start, with a burst tolerance of one load.

    The generic cell rate algorithm: a load may start ``EARLY_LOADS`` periods early, so
    that a late tick or message does not lower the rate.
    """

    _next_s: float = float("-inf")

    def may_start(self, loads_per_s: float, now_s: float) -> bool:
        """Return whether a load may start."""
        return now_s >= self._next_s - EARLY_LOADS / loads_per_s - 1e-9

    def record_start(self, loads_per_s: float, now_s: float) -> None:
        """Record that a load starts."""
        self._next_s = max(self._next_s, now_s) + 1 / loads_per_s

    def record_unused(self, loads_per_s: float) -> None:
        """Record that a load that was permitted did not start."""
        self._next_s -= 1 / loads_per_s


def share_of_rate(loads_per_s: float, reachable: int, known: int) -> float:
    """Return the rate that this side of a network partition may use.

    The sides of a partition each have a daemon that orders loads. So that together they
    do not exceed the weight store's rate, each uses the share of the daemons that it
    reaches.

    Parameters
    ----------
    loads_per_s : float
        Rate that the weight store allows.
    reachable, known : int
        Daemons of the pool, including this one.
    """
    return loads_per_s * min(1.0, reachable / max(known, 1))
