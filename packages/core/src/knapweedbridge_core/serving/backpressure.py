"""Backpressure: the limits and pauses that an endpoint signals in its responses."""

import math
from dataclasses import dataclass

MAX_PAUSE_S = 60.0
"""Longest pause that is honoured, so that an endpoint which asks for hours of pause
comes back into use."""


@dataclass(slots=True)
class Backpressure:
    """The backpressure of one endpoint, as known to this daemon.

    Parameters
    ----------
    limit_per_s : float or None
        Requests a second that it accepts from all daemons together; None: no limit.
    limit_heard_s : float
        When the limit was received, on the daemon's clock.
    brittle_per_s : float or None
        Requests a second that a brittle endpoint can reject before it crashes; None:
        it is not brittle.
    brittle_heard_s : float
        When a response last stated that, or omitted it.
    leaves : bool
        Whether it has announced that it is draining.
    paused_until_s : float
        Until when it asked this daemon to send nothing.
    closed_until_s : float
        Until when nothing is sent to it: it is paused, or no permit is available.
    """

    limit_per_s: float | None = None
    limit_heard_s: float = -math.inf
    brittle_per_s: float | None = None
    brittle_heard_s: float = -math.inf
    leaves: bool = False
    paused_until_s: float = -math.inf
    closed_until_s: float = -math.inf

    def update_limit(self, limit_per_s: float | None, heard_s: float) -> bool:
        """Update the limit from a response; None if it states no limit.

        Returns
        -------
        bool
            Whether the limit is newer than the known one and differs from it.
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
        """Record that no permit is available before a time."""
        if self.is_limited or self.is_brittle:
            self.closed_until_s = max(self.closed_until_s, until_s)

    def update_brittle_limit(self, brittle_per_s: float | None, heard_s: float) -> bool:
        """Update the rejection limit from a response; return whether it changed."""
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
        """Whether the endpoint crashes if it rejects too many requests."""
        return self.brittle_per_s is not None

    def record_draining(self) -> bool:
        """Record that the endpoint is draining; return whether that was unknown."""
        is_new = not self.leaves
        self.leaves = True
        return is_new

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Record that the endpoint asks for a pause, bounded by `MAX_PAUSE_S`."""
        until_s = now_s + min(pause_s, MAX_PAUSE_S)
        self.paused_until_s = max(self.paused_until_s, until_s)
        self.closed_until_s = max(self.closed_until_s, until_s)

    @property
    def is_limited(self) -> bool:
        """Whether the endpoint limits the requests that it accepts a second."""
        return self.limit_per_s is not None
