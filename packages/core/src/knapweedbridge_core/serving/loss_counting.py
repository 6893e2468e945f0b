"""Counts losses of endpoints, treating simultaneous losses as one."""

from collections.abc import Sequence

SIMULTANEOUS_S = 0.3
"""Losses within this time may share a cause that is unrelated to any request."""


def count_losses(own_s: Sequence[float], all_s: Sequence[float]) -> int:
    """Count the losses that are evidence against one suspect.

    If several endpoints are lost at once, a request may have run on some of them by
    chance. Simultaneous losses count once, unless the suspect was at most of them.

    Parameters
    ----------
    own_s, all_s : sequence of float
        Times of the losses that the suspect was involved in, and of all known losses.
    """
    count, left = 0, sorted(own_s)
    while left:
        first_s = left[0]
        together = sum(at_s <= first_s + SIMULTANEOUS_S for at_s in left)
        left = left[together:]
        near = sum(abs(at_s - first_s) <= SIMULTANEOUS_S for at_s in all_s)
        count += together if 2 * together > near else 1
    return count
