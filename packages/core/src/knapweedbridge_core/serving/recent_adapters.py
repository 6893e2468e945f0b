"""Adapters that an engine held recently and so still has in its memory."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from knapweedbridge_core.serving.model_ref import ModelRef

RECENT_PER_PLACE = 5
"""Unloaded adapters that an engine has in its memory for each of its places. The users'
engines keep six times their places in all by their data sheets, with 8 places as
with 29. A fixed 90 is too few for one and too many for the other."""

RECENT_DEFAULT = 90
"""Adapters assumed until a configuration states the number of places."""


class RecentAdapters:
    """LRU set of unloaded adapters, the latest last.

    Parameters
    ----------
    models : iterable of ModelRef
        Initial content.
    max_adapters : int
        Largest number of adapters.
    """

    def __init__(
        self, models: Iterable[ModelRef] = (), max_adapters: int = RECENT_DEFAULT
    ) -> None:
        self._models = OrderedDict.fromkeys(models)
        self.max_adapters = max_adapters

    def __contains__(self, model: ModelRef) -> bool:
        return model in self._models

    def __iter__(self) -> Iterator[ModelRef]:
        return iter(self._models)

    def add(self, model: ModelRef) -> None:
        """Record that an adapter was unloaded."""
        self._models[model] = None
        self._models.move_to_end(model)
        while len(self._models) > self.max_adapters:
            self._models.popitem(last=False)

    def discard(self, model: ModelRef) -> None:
        """Record that an adapter is held again."""
        self._models.pop(model, None)
