"""Recent store items of a relay, for subscribers that have missed some."""

from collections import deque

from knapweedbridge_daemon.store import StoreItem

MAX_ITEMS = 1000
"""Bound on memory. A subscriber that has missed more reads the store itself."""


class RelayLog:
    """Bounded log, without gaps, of the items that a relay has sent."""

    __slots__ = ("_items", "_since")

    def __init__(self) -> None:
        self._items: deque[StoreItem] = deque()
        self._since: int | None = None

    def add(self, since: int, items: list[StoreItem]) -> None:
        """Append the items after a revision, which is the last one in the log."""
        if self._since is None:
            self._since = since
        self._items.extend(items)
        while len(self._items) > MAX_ITEMS:
            self._since = self._items.popleft().revision

    def after(self, revision: int) -> list[StoreItem] | None:
        """Return the newest item of each key after a revision.

        None if items after that revision have been dropped from the log.
        """
        if self._since is None or revision < self._since:
            return None
        newest = {item.key: item for item in self._items if item.revision > revision}
        return list(newest.values())

    def clear(self) -> None:
        """Remove all items, as the next ones may follow a gap."""
        self._items.clear()
        self._since = None
