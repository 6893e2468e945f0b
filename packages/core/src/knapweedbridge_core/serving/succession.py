"""Who may act after another: as the owner of an engine, or in another duty.

A duty has one holder at a time. A host that has held it before the present or last
holder must not return to it soon: an endpoint that doesn't compare fencing numbers
cannot tell two holders that alternate from two that act at the same time. The host
that acted last may go on at any time.
"""

import math

ORDER_TRANSIT_S = 0.12
"""Longest time from the sending of an order to its arrival."""


class Succession:
    """When this host may take up a duty.

    All times are in seconds of the event loop's clock.

    Parameters
    ----------
    started_s : float
        Start of this process. The previous process of the host may have acted until
        then, in any duty.
    turn_s : float
        Time after its last action within which a host must not return to a duty that
        another one has held meanwhile.
    """

    __slots__ = ("_acted_s", "_started_s", "turn_s")

    def __init__(self, started_s: float = -math.inf, turn_s: float = 0.0) -> None:
        self.turn_s = turn_s
        self._started_s = started_s
        self._acted_s: dict[str, float] = {}

    def record_action(self, duty: str, now_s: float) -> None:
        """Record that this process acts as the holder of a duty now."""
        self._acted_s[duty] = now_s
        oldest_s = now_s - self.turn_s - ORDER_TRANSIT_S
        self._acted_s = {
            each: acted_s
            for each, acted_s in self._acted_s.items()
            if acted_s > oldest_s
        }

    def may_return_s(self, duty: str, had_another_holder: bool) -> float:
        """Return from when on this host may take up a duty that it has not held last.

        Parameters
        ----------
        had_another_holder : bool
            Whether another host may have held the duty after the previous process of
            this one.
        """
        acted_s = self._acted_s.get(duty, -math.inf)
        if had_another_holder:
            acted_s = max(acted_s, self._started_s)
        return acted_s + self.turn_s + ORDER_TRANSIT_S
