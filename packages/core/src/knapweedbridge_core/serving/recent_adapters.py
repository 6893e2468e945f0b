"""The adapters that an engine held lately, and so still has in its memory."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from knapweedbridge_core.serving.model_ref import ModelRef

RECENT_PER_PLACE = 5
"""Adapters that an engine is taken to have in its memory for each of its places,
besides those it holds. The users' engines keep six times their places in all, with 8
places as with 29, by their sheets. A fixed 90 is too few for the one and too many for
the other; what that is worth was not measured by itself."""

RECENT_PRIOR = 90
"""The same before a configuration tells the places."""


class RecentAdapters:
    """Adapters that were unloaded, the latest last; the oldest are forgotten.

    Parameters
    ----------
    models : iterable of ModelRef
        What is known at first.
    max_adapters : int
        Adapters that are remembered.
    """

    def __init__(
        self, models: Iterable[ModelRef] = (), max_adapters: int = RECENT_PRIOR
    ) -> None:
        self._models = OrderedDict.fromkeys(models)
        self.max_adapters = max_adapters

    def __contains__(self, model: ModelRef) -> bool:
        return model in self._models

    def __iter__(self) -> Iterator[ModelRef]:
        return iter(self._models)

    def add(self, model: ModelRef) -> None:
        """Take that an adapter was unloaded."""
        self._models[model] = None
        self._models.move_to_end(model)
        while len(self._models) > self.max_adapters:
            self._models.popitem(last=False)

    def discard(self, model: ModelRef) -> None:
        """Take that an adapter is held again."""
        self._models.pop(model, None)
