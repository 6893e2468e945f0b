"""A store that lists endpoints and daemons, and may turn some daemons away."""

from collections import Counter
from collections.abc import Callable

import anyio
import msgpack

from knapweedbridge_core.serving import EndpointRecord
from knapweedbridge_core.serving.cluster_state import (
    EndpointGone,
    EndpointNamed,
    StoreEvent,
)
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.store import (
    Committed,
    StoreItem,
    StoreItems,
    Transaction,
)

CALL_S = 0.004
"""Time from a call to its answer."""

PATIENCE_S = 1.0
"""How long past its own wait a call is awaited that gets no answer."""

CONNECT_S = 0.6
"""How long a daemon that cannot reach the store tries to connect to it."""

LOOK_S = 0.01
"""Pause between looks for what a watch waits for."""

ENDPOINTS = "endpoints/"
SERVICE = "desk"


def endpoint_item(name: str, leaving: bool, revision: int) -> StoreItem:
    """Return the item that lists an endpoint."""
    value = msgpack.packb([leaving])
    return StoreItem(ENDPOINTS + name, value, revision)


class PlainItems:
    """Reads what the store lists; the dialect of this stand-in."""

    prefix = ""

    @staticmethod
    def read(key: str, value: bytes | None, revision: int) -> StoreEvent | None:
        """Decode one item."""
        name = key.removeprefix(ENDPOINTS)
        if value is None:
            return EndpointGone(name)
        (leaving,) = msgpack.unpackb(value)
        record = EndpointRecord(name, SERVICE, "10.0.0.1:80", "d0", 8, leaving)
        return EndpointNamed(record)


class ListedStore:
    """All that has been written, in order.

    Attributes
    ----------
    turned_away : set of str
        Daemons whose calls get no answer.
    cut_off : set of str
        Daemons that cannot connect to it, and get no answer to what they have sent.
    calls : Counter
        Calls by daemon.
    """

    def __init__(self) -> None:
        self.items: list[StoreItem] = []
        self.turned_away: set[str] = set()
        self.cut_off: set[str] = set()
        self.calls: Counter[str] = Counter()

    @property
    def revision(self) -> int:
        """The revision of the newest item."""
        return len(self.items)

    def put(self, key: str, value: bytes | None) -> None:
        """Write an item, or remove it with None."""
        self.items.append(StoreItem(key, value, self.revision + 1))

    def list_endpoint(self, name: str, leaving: bool = False) -> None:
        """Write an endpoint's entry."""
        self.items.append(endpoint_item(name, leaving, self.revision + 1))

    def unlist_endpoint(self, name: str) -> None:
        """Remove an endpoint's entry."""
        self.put(ENDPOINTS + name, None)

    async def answer(
        self, daemon: str, wait_s: float, has_news: Callable[[], bool]
    ) -> None:
        """Return once there is news or the wait is over; fail who is turned away."""
        self.calls[daemon] += 1
        begun_s = anyio.current_time()
        if daemon in self.cut_off:
            await anyio.sleep(CONNECT_S)
            raise StoreError("not reached")
        await anyio.sleep(CALL_S)
        while not has_news() and anyio.current_time() < begun_s + wait_s:
            await anyio.sleep(LOOK_S)
        if daemon in self.turned_away or daemon in self.cut_off:
            await anyio.sleep(begun_s + wait_s + PATIENCE_S - anyio.current_time())
            raise StoreError("no answer", may_have_applied=True)


class ReachedStore:
    """The store as one daemon reaches it."""

    def __init__(self, store: ListedStore, daemon: str) -> None:
        self.era = 0
        self._store = store
        self._daemon = daemon
        self._ttl_s = 0.0

    async def read_items(self, prefix: str) -> StoreItems:
        """See `RevisionedStore.read_items`."""
        await self._store.answer(self._daemon, 0.0, lambda: True)
        newest = {item.key: item for item in self._store.items}
        listed = [item for item in newest.values() if item.value is not None]
        return StoreItems(listed, self._store.revision)

    async def read_changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> StoreItems:
        """See `RevisionedStore.read_changes`."""
        store = self._store
        await store.answer(self._daemon, wait_s, lambda: store.revision > revision)
        return StoreItems(store.items[revision:], store.revision)

    async def grant_lease(self, ttl_s: float) -> str:
        """See `KeyValueStore.grant_lease`."""
        await self._store.answer(self._daemon, 0.0, lambda: True)
        self._ttl_s = ttl_s
        return self._daemon

    async def keep_lease(self, lease: str) -> float:
        """See `KeyValueStore.keep_lease`."""
        await self._store.answer(self._daemon, 0.0, lambda: True)
        return self._ttl_s

    async def commit(self, transaction: Transaction) -> Committed:
        """See `RevisionedStore.commit`."""
        await self._store.answer(self._daemon, 0.0, lambda: True)
        for key, value in transaction.puts.items():
            self._store.put(key, value)
        return Committed(True, self._store.revision)
