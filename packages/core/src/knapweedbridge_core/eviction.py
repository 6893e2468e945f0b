"""Cost of evicting an adapter version, by which victims are chosen."""

from abc import ABC, abstractmethod

from knapweedbridge_core.forecast import Forecast
from knapweedbridge_core.names import AdapterVersion


class Eviction(ABC):
    """Estimates the cost of evicting adapter versions."""

    @abstractmethod
    def worth(self, model: AdapterVersion, copies: int, now_s: float) -> float:
        """Return the cost of evicting one copy, in stalled requests per second.

        Parameters
        ----------
        model : AdapterVersion
            The adapter version in the slot.
        copies : int
            Number of endpoints that hold it; evicting one of several copies stalls
            no request.
        now_s : float
            The daemon's monotonic clock, in seconds.
        """


class LeastExpected(Eviction):
    """Evicts the adapter version with the lowest expected request rate.

    Parameters
    ----------
    forecast : Forecast
        Source of the expected request rates.
    """

    def __init__(self, forecast: Forecast) -> None:
        self._forecast = forecast

    def worth(self, model: AdapterVersion, copies: int, now_s: float) -> float:
        """See `Eviction.worth`."""
        if copies > 1:
            return 0.0
        return self._forecast.rate_per_s(model, now_s)
