"""What a slot's content is worth, so that the least worth is evicted."""

from abc import ABC, abstractmethod

from knapweedbridge_core.forecast import Forecast
from knapweedbridge_core.names import AdapterVersion


class Eviction(ABC):
    """Weighs the adapter versions that hold slots."""

    @abstractmethod
    def worth(self, model: AdapterVersion, copies: int, now_s: float) -> float:
        """Return what evicting one copy costs, in stalled requests a second.

        Parameters
        ----------
        model : AdapterVersion
            What the slot holds.
        copies : int
            Endpoints of the pool that hold it; evicting one of several stalls
            nobody.
        now_s : float
            The daemon's monotonic clock, in seconds.
        """


class LeastExpected(Eviction):
    """Evicts what the forecast expects least.

    Parameters
    ----------
    forecast : Forecast
        Where the expectation comes from.
    """

    def __init__(self, forecast: Forecast) -> None:
        self._forecast = forecast

    def worth(self, model: AdapterVersion, copies: int, now_s: float) -> float:
        """See `Eviction.worth`."""
        if copies > 1:
            return 0.0
        return self._forecast.rate_per_s(model, now_s)
