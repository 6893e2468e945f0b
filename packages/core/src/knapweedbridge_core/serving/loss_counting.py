"""How many losses count against what was at several endpoints that ended together."""

from collections.abc import Sequence

MOMENT_S = 0.3
"""Losses within this time may have one cause that has nothing to do with any call."""


def count_losses(own_s: Sequence[float], all_s: Sequence[float]) -> int:
    """Count the losses that are held against one suspect.

    Where endpoints end together, a call may have been on several of them by chance. The
    losses of one moment count once, unless the suspect was at most of them.

    Parameters
    ----------
    own_s, all_s : sequence of float
        Times of the losses that the suspect was at, and of all that are known.
    """
    count, left = 0, sorted(own_s)
    while left:
        first_s = left[0]
        together = sum(at_s <= first_s + MOMENT_S for at_s in left)
        left = left[together:]
        near = sum(abs(at_s - first_s) <= MOMENT_S for at_s in all_s)
        count += together if 2 * together > near else 1
    return count
