"""What the load order reads of the pool."""

from collections.abc import Callable
from dataclasses import dataclass

from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.view import View


@dataclass(slots=True)
class Pool:
    """What a decision reads of the pool.

    Parameters
    ----------
    engines : list of EndpointEntry
        Model engines that are not leaving.
    view : View
        What they hold, as their owners tell.
    base_model_of : callable
        Names the base model of an adapter version, or None if it is gone.
    loads_per_s : float
        Loads a second that this order may start.
    """

    engines: list[EndpointEntry]
    view: View
    base_model_of: Callable[[AdapterVersion], str | None]
    loads_per_s: float

    def holders(self, model: AdapterVersion) -> list[str]:
        """Name the engines of the pool that hold an adapter version.

        The view may still show what an engine holds that is leaving.
        """
        names = self.view.holders(model)
        if not names:
            return names
        return [entry.name for entry in self.engines if entry.name in names]

    def copies(self, model: AdapterVersion) -> int:
        """Count the engines of the pool that hold an adapter version."""
        return len(self.holders(model))
