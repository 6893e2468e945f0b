"""Reads items of the platform's store as beliefs, and tells of those it cannot read."""

from knapweedbridge_core.serving.cluster_state import EndpointUnreadable, StoreEvent
from knapweedbridge_daemon.serving.dialects import DialectError
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.own_records import read_own
from knapweedbridge_daemon.store import StoreItem


class ItemReader:
    """Reads items, those of the platform and the daemons' own.

    Parameters
    ----------
    hub : Hub
        Dialects and the log.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._unreadable: set[str] = set()

    def read(self, item: StoreItem) -> StoreEvent | None:
        """Return what an item says; None where that is nothing, or cannot be read.

        What was believed before stays in force then.
        """
        try:
            store_event = self._decode(item)
        except DialectError as error:
            self._note_unreadable(item, str(error))
            return None
        if isinstance(store_event, EndpointUnreadable):
            self._note_unreadable(item, store_event.cause)
        elif item.key in self._unreadable:
            self._unreadable.discard(item.key)
            self._hub.log.info("store.readable", key=item.key, revision=item.revision)
        return store_event

    def _decode(self, item: StoreItem) -> StoreEvent | None:
        dialects = self._hub.dialects
        if item.key.startswith(dialects.daemon_keys.prefix):
            return read_own(dialects.daemon_keys, item.key, item.value, item.revision)
        return dialects.store_items.read(item.key, item.value, item.revision)

    def _note_unreadable(self, item: StoreItem, cause: str) -> None:
        self._hub.metrics.count("store_unreadable")
        # Another writer may repeat itself each second: one line tells it.
        if item.key not in self._unreadable:
            self._unreadable.add(item.key)
            self._hub.log.error(
                "store.unreadable", key=item.key, revision=item.revision, error=cause
            )
