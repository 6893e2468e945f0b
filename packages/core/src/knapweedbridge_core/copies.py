"""How many copies of an adapter version the pool should hold."""

from abc import ABC, abstractmethod

from knapweedbridge_core.names import AdapterVersion

SATURATES_AT = 0.8
RELAXES_AT = 0.4


class Copies(ABC):
    """Decides which adapter versions get a second copy."""

    @abstractmethod
    def record_fills(self, model: AdapterVersion, fills: list[float]) -> None:
        """Take how full the batches of all endpoints that hold it are.

        Parameters
        ----------
        model : AdapterVersion
            A hot adapter version.
        fills : list of float
            Running requests over the batch limit, one number an endpoint.
        """

    @abstractmethod
    def needed(self, model: AdapterVersion) -> int:
        """Return how many copies are worth a slot."""


class OneCopy(Copies):
    """Never a second copy."""

    def record_fills(self, model: AdapterVersion, fills: list[float]) -> None:
        """See `Copies.note`."""

    def needed(self, model: AdapterVersion) -> int:
        """See `Copies.needed`."""
        return 1


class BeforeSaturation(Copies):
    """One copy more while every holder is nearly full.

    The two limits lie apart, so that a load near one of them does not load and
    evict the copy in turns.

    Parameters
    ----------
    saturates_at, relaxes_at : float
        Fill of the batch above which a copy is added, and below which one is
        dropped.
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
        """Adapter versions that have a second copy, or should."""
        return list(self._needed)
