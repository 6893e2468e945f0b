"""Keys that hang on leases of the key-value service."""

from knapweedbridge_core.actions import StoreWrite
from knapweedbridge_core.events import StoreResponse
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.store import KeyValueStore, Transaction


class Leases:
    """Keeps the service's lease behind each repeated write.

    Parameters
    ----------
    store : KeyValueStore
        The platform's service.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store
        self._leases: dict[str, str] = {}

    async def write(self, action: StoreWrite) -> StoreResponse:
        """Write keys on a new lease, or renew the one they hang on."""
        try:
            applied = await self._write(action)
        except StoreError:
            return StoreResponse(action.token, False, False, {})
        return StoreResponse(action.token, True, applied, {})

    async def _write(self, action: StoreWrite) -> bool:
        name = ",".join(sorted(action.puts))
        lease = self._leases.get(name)
        if lease is not None:
            if await self._store.keep_lease(lease) > 0:
                return True
            del self._leases[name]
            return False
        lease = await self._store.grant_lease(action.lease_s)
        applied = await self._store.write(
            Transaction(action.compares, action.puts, lease=lease)
        )
        if applied:
            self._leases[name] = lease
        return applied
