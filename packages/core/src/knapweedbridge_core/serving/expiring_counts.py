"""Counts that expire, as one process hands them on to the next."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

STEPS_PER_WINDOW = 4
"""Precision of the times in a record: it has a few numbers for each service."""

Parts = list[tuple[float, int]]
"""Counts, each with the time in seconds until it expires."""


class ExpiringCounts:
    """Number of events that are still in the window.

    Parameters
    ----------
    parts : iterable of (float, int)
        Counts, each with the time at which it expires.
    """

    __slots__ = ("_parts",)

    def __init__(self, parts: Iterable[tuple[float, int]] = ()) -> None:
        self._parts = sorted(parts)

    def __iter__(self) -> Iterator[tuple[float, int]]:
        return iter(self._parts)

    def count(self, now_s: float) -> int:
        """Return how many are left, and forget the others."""
        while self._parts and self._parts[0][0] <= now_s:
            del self._parts[0]
        return sum(count for _, count in self._parts)


def round_up(
    parts: Iterable[tuple[float, int]], now_s: float, window_s: float
) -> Parts:
    """Return counts by the time that they last, rounded up to steps of the window."""
    return _round(parts, now_s, window_s, math.ceil)


def round_down(
    parts: Iterable[tuple[float, int]], now_s: float, window_s: float
) -> Parts:
    """Return counts by the time that they last, rounded down to steps of the window."""
    return _round(parts, now_s, window_s, math.floor)


def _round(
    parts: Iterable[tuple[float, int]],
    now_s: float,
    window_s: float,
    to_steps: Callable[[float], int],
) -> Parts:
    step_s = window_s / STEPS_PER_WINDOW
    counts: Counter[int] = Counter()
    for until_s, count in parts:
        counts[to_steps((until_s - now_s) / step_s)] += count
    return [(step * step_s, counts[step]) for step in sorted(counts) if step > 0]
