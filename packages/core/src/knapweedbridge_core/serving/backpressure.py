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
    """

    limit_per_s: float | None = None
    limit_heard_s: float = -math.inf

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
