"""The state of the pool that load decisions read."""

from collections.abc import Callable
from dataclasses import dataclass

from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.view import View


@dataclass(slots=True)
class Pool:
    """Engines and loaded adapters on which a load decision is based.

    Parameters
    ----------
    engines : list of EndpointEntry
        Model engines that are not leaving.
    view : View
        State of the endpoints as their owners last reported it.
    base_model_of : callable
        Returns the base model of an adapter version, or None if it was removed.
    loads_per_s : float
        Number of loads per second that this load order may start.
    """

    engines: list[EndpointEntry]
    view: View
    base_model_of: Callable[[AdapterVersion], str | None]
    loads_per_s: float

    def holders(self, model: AdapterVersion) -> list[str]:
        """Return the engines of the pool that have an adapter version loaded.

        Engines that are leaving, which the view may still contain, are left out.
        """
        names = self.view.holders(model)
        if not names:
            return names
        return [entry.name for entry in self.engines if entry.name in names]

    def copies(self, model: AdapterVersion) -> int:
        """Return the number of engines that have an adapter version loaded."""
        return len(self.holders(model))
