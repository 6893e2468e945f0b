"""The weight store's rate, kept over all daemons."""

from dataclasses import dataclass

EARLY_LOADS = 1.0


@dataclass(slots=True)
class LoadRate:
    """Lets loads start at a rate, evenly but for one load's lag.

    The generic cell rate algorithm: a start may come ``EARLY_LOADS`` periods
    early, so that a late tick or message loses no load.
    """

    _next_s: float = float("-inf")

    def may_start(self, loads_per_s: float, now_s: float) -> bool:
        """Tell whether a load may start."""
        return now_s >= self._next_s - EARLY_LOADS / loads_per_s - 1e-9

    def record_start(self, loads_per_s: float, now_s: float) -> None:
        """Note a start."""
        self._next_s = max(self._next_s, now_s) + 1 / loads_per_s

    def record_unused(self, loads_per_s: float) -> None:
        """Note that a load permitted did not start."""
        self._next_s -= 1 / loads_per_s


def share_of_rate(loads_per_s: float, reachable: int, known: int) -> float:
    """Return the rate that this side of a cut may use.

    Two sides that do not reach each other each have a load order; together
    they must not exceed the weight store's rate, so each takes the share of
    the daemons that it reaches.

    Parameters
    ----------
    loads_per_s : float
        What the weight store allows.
    reachable, known : int
        Daemons of the pool, this one among them.
    """
    return loads_per_s * min(1.0, reachable / max(known, 1))
