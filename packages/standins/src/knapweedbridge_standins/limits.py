"""Rate limit of a stand-in."""

from dataclasses import dataclass

BURST_S = 1.0


@dataclass(slots=True)
class RateLimit:
    """A bucket that fills at a rate and holds a second's worth.

    Parameters
    ----------
    rate_per_s : float
        Calls a second; 0: any number.
    """

    rate_per_s: float
    _left: float = -1.0
    _at_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Return whether one more call fits now."""
        if self.rate_per_s <= 0:
            return True
        most = self.rate_per_s * BURST_S
        if self._left < 0:
            self._left = most
        else:
            self._left = min(most, self._left + (now_s - self._at_s) * self.rate_per_s)
        self._at_s = now_s
        if self._left < 1:
            return False
        self._left -= 1
        return True
