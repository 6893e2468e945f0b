"""Items of the store that a relay handed on lately, for hearers that missed some."""

from collections import deque

from knapweedbridge_daemon.store import StoreItem

KEPT_ITEMS = 1000
"""Items kept, to bound the memory. Who has missed more reads the store itself."""


class RelayLog:
    """A bounded log of what was handed on, without a gap."""

    __slots__ = ("_items", "_since")

    def __init__(self) -> None:
        self._items: deque[StoreItem] = deque()
        self._since: int | None = None

    def add(self, since: int, items: list[StoreItem]) -> None:
        """Add the items after a revision, which is the last one that was added."""
        if self._since is None:
            self._since = since
        self._items.extend(items)
        while len(self._items) > KEPT_ITEMS:
            self._since = self._items.popleft().revision

    def after(self, revision: int) -> list[StoreItem] | None:
        """Return each key's newest item after a revision; None where some are gone."""
        if self._since is None or revision < self._since:
            return None
        newest = {item.key: item for item in self._items if item.revision > revision}
        return list(newest.values())

    def clear(self) -> None:
        """Forget all: what comes next may begin after a gap."""
        self._items.clear()
        self._since = None
