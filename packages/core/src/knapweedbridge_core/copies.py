"""Strategies for the number of copies of an adapter version in the pool."""

from abc import ABC, abstractmethod

from knapweedbridge_core.names import AdapterVersion

SATURATES_AT = 0.8
RELAXES_AT = 0.4


class Copies(ABC):
    """Decides how many copies of an adapter version the pool holds."""

    @abstractmethod
    def record_fills(self, model: AdapterVersion, fills: list[float]) -> None:
        """Record the batch fill of all endpoints that hold an adapter version.

        Parameters
        ----------
        model : AdapterVersion
            The adapter version.
        fills : list of float
            Running requests divided by the batch limit, one value per endpoint.
        """

    @abstractmethod
    def needed(self, model: AdapterVersion) -> int:
        """Return the number of copies that the pool should hold."""


class OneCopy(Copies):
    """Always holds a single copy."""

    def record_fills(self, model: AdapterVersion, fills: list[float]) -> None:
        """See `Copies.note`."""

    def needed(self, model: AdapterVersion) -> int:
        """See `Copies.needed`."""
        return 1


class BeforeSaturation(Copies):
    """Adds a copy while every holder is nearly full.

    The gap between the two thresholds is a hysteresis: traffic near one of them
    does not alternately load and evict a copy.

    Parameters
    ----------
    saturates_at, relaxes_at : float
        Batch fill from which a copy is added, and below which one is dropped.
    """

    def __init__(
        self, saturates_at: float = SATURATES_AT, relaxes_at: float = RELAXES_AT
    ) -> None:
        self._saturates_at = saturates_at
        self._relaxes_at = relaxes_at
        self._needed: dict[AdapterVersion, int] = {}

    def record_fills(self, model: AdapterVersion, fills: list[float]) -> None:
        """See `Copies.note`."""
        if not fills:
            self._needed.pop(model, None)
        elif min(fills) >= self._saturates_at:
            self._needed[model] = len(fills) + 1
        elif max(fills) < self._relaxes_at and model in self._needed:
            self._needed[model] = max(1, len(fills) - 1)
            if self._needed[model] == 1:
                del self._needed[model]

    def needed(self, model: AdapterVersion) -> int:
        """See `Copies.needed`."""
        return self._needed.get(model, 1)

    @property
    def hot(self) -> list[AdapterVersion]:
        """Return the adapter versions that need more than one copy."""
        return list(self._needed)
