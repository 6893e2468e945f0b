"""What an endpoint asks of the daemons in its answers, so that they send it less."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Backpressure:
    """What one endpoint asks for now, as far as this daemon has heard.

    Parameters
    ----------
    limit_per_s : float or None
        Calls a second that it takes from all daemons together; None: any number.
    limit_heard_s : float
        When the endpoint said that, on the daemon's clock.
    permit_due_s : float
        When a permit for a call may be had, where the last one asked for was not given.
    """

    limit_per_s: float | None = None
    limit_heard_s: float = -math.inf
    permit_due_s: float = -math.inf

    def take_limit(self, limit_per_s: float | None, heard_s: float) -> bool:
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
        return changed

    @property
    def is_limited(self) -> bool:
        """Whether it takes a limited number of calls a second."""
        return self.limit_per_s is not None

    def opens_s(self) -> float:
        """Return from when on it may be sent calls, as far as is known."""
        return self.permit_due_s if self.is_limited else -math.inf
