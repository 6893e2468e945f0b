"""The adapters that an engine held lately, and so still has in its memory."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from knapweedbridge_core.serving.model_ref import ModelRef

RECENT_ADAPTERS = 90
"""Adapters that an engine is taken to have in its memory besides those it holds; the
users' engines keep 120 in all."""


class RecentAdapters:
    """Adapters that were unloaded, the latest last; the oldest are forgotten.

    Parameters
    ----------
    models : iterable of ModelRef
        What is known at first.
    """

    def __init__(self, models: Iterable[ModelRef] = ()) -> None:
        self._models = OrderedDict.fromkeys(models)

    def __contains__(self, model: ModelRef) -> bool:
        return model in self._models

    def __iter__(self) -> Iterator[ModelRef]:
        return iter(self._models)

    def add(self, model: ModelRef) -> None:
        """Take that an adapter was unloaded."""
        self._models[model] = None
        self._models.move_to_end(model)
        while len(self._models) > RECENT_ADAPTERS:
            self._models.popitem(last=False)

    def discard(self, model: ModelRef) -> None:
        """Take that an adapter is held again."""
        self._models.pop(model, None)
