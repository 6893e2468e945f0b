"""Decode items of the platform's store, and log those that cannot be decoded."""

from knapweedbridge_core.serving.cluster_state import EndpointUnreadable, StoreEvent
from knapweedbridge_daemon.serving.dialects import DialectError
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.own_records import read_own
from knapweedbridge_daemon.store import StoreItem


class ItemReader:
    """Decoder of items, both the platform's and those written by daemons.

    Parameters
    ----------
    hub : Hub
        Shared state: dialects, log and metrics.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._unreadable: set[str] = set()

    def read(self, item: StoreItem) -> StoreEvent | None:
        """Return the event of an item; None if it has none or cannot be decoded.

        An item that cannot be decoded leaves the previous value in force.
        """
        try:
            store_event = self._decode(item)
        except DialectError as error:
            self._record_unreadable(item, str(error))
            return None
        if isinstance(store_event, EndpointUnreadable):
            self._record_unreadable(item, store_event.cause)
        elif item.key in self._unreadable:
            self._unreadable.discard(item.key)
            self._hub.log.info("store.readable", key=item.key, revision=item.revision)
        return store_event

    def _decode(self, item: StoreItem) -> StoreEvent | None:
        dialects = self._hub.dialects
        if item.key.startswith(dialects.daemon_keys.prefix):
            return read_own(dialects.daemon_keys, item.key, item.value, item.revision)
        return dialects.store_items.read(item.key, item.value, item.revision)

    def _record_unreadable(self, item: StoreItem, cause: str) -> None:
        self._hub.metrics.count("store_unreadable")
        # A writer may repeat a bad item each second: it is logged only once.
        if item.key not in self._unreadable:
            self._unreadable.add(item.key)
            self._hub.log.error(
                "store.unreadable", key=item.key, revision=item.revision, error=cause
            )
