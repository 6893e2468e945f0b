"""What an endpoint asks of the daemons in its answers, so that they send it less."""

import math
from dataclasses import dataclass

LONGEST_REST_S = 60.0
"""Longest rest that is kept: one that asks for hours must come back into use."""


@dataclass(slots=True)
class Backpressure:
    """What one endpoint asks for now, as far as this daemon has heard.

    Parameters
    ----------
    limit_per_s : float or None
        Calls a second that it takes from all daemons together; None: any number.
    brittle_per_s : float or None
        Calls a second that it can turn away before it falls over; None: any number.
    brittle_heard_s : float
        When an answer last said that, or left it out.
    limit_heard_s : float
        When the endpoint said that, on the daemon's clock.
    leaves : bool
        Whether it has said that it leaves.
    paused_until_s : float
        Until when it wants nothing from this daemon.
    closed_until_s : float
        Until when it is sent nothing: it rests, or no permit can be had.
    """

    limit_per_s: float | None = None
    limit_heard_s: float = -math.inf
    brittle_per_s: float | None = None
    brittle_heard_s: float = -math.inf
    leaves: bool = False
    paused_until_s: float = -math.inf
    closed_until_s: float = -math.inf

    def update_limit(self, limit_per_s: float | None, heard_s: float) -> bool:
        """Take the limit that an answer names, or that it names none.

        Returns
        -------
        bool
            Whether that is another limit than the one known, and newer.
        """
        if heard_s < self.limit_heard_s:
            return False
        self.limit_heard_s = heard_s
        changed = limit_per_s != self.limit_per_s
        self.limit_per_s = limit_per_s
        if changed:
            self.closed_until_s = self.paused_until_s
        return changed

    def record_no_permit(self, until_s: float) -> None:
        """Note that no permit can be had before a moment."""
        if self.is_limited or self.is_brittle:
            self.closed_until_s = max(self.closed_until_s, until_s)

    def update_brittle_limit(self, brittle_per_s: float | None, heard_s: float) -> bool:
        """Record what an answer says of brittleness; return whether it changed."""
        if heard_s < self.brittle_heard_s:
            return False
        self.brittle_heard_s = heard_s
        changed = brittle_per_s != self.brittle_per_s
        self.brittle_per_s = brittle_per_s
        if changed and brittle_per_s is None:
            self.closed_until_s = self.paused_until_s
        return changed

    @property
    def is_brittle(self) -> bool:
        """Whether it falls over when it turns away too many calls."""
        return self.brittle_per_s is not None

    def record_draining(self) -> bool:
        """Take that an answer says that it leaves; tell whether that is news."""
        is_new = not self.leaves
        self.leaves = True
        return is_new

    def record_pause(self, rest_s: float, now_s: float) -> None:
        """Take that it wants nothing from this daemon for some seconds."""
        until_s = now_s + min(rest_s, LONGEST_REST_S)
        self.paused_until_s = max(self.paused_until_s, until_s)
        self.closed_until_s = max(self.closed_until_s, until_s)

    @property
    def is_limited(self) -> bool:
        """Whether it takes a limited number of calls a second."""
        return self.limit_per_s is not None
