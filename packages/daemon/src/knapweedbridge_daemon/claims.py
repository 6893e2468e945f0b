"""Writes claims on a lease, so that old ones go by themselves."""

import time

from knapweedbridge_core.actions import ClaimWrite
from knapweedbridge_core.events import StoreResponse
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.store import KeyValueStore, Transaction

CLAIM_LIFE_S = 86_400.0
LEASE_EVERY_S = 3_600.0


class ClaimStore:
    """Carries out the claim keeper's writes.

    One lease serves all claims of an hour: a lease a claim would double the
    writes. A claim lives for a day and up to an hour longer.

    Parameters
    ----------
    store : KeyValueStore
        The platform's service.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store
        self._lease = ""
        self._leased_s = 0.0

    async def write(self, action: ClaimWrite) -> StoreResponse:
        """Write claims and return the reply for the core."""
        known, applied = True, False
        try:
            lease = await self._current_lease()
            transaction = Transaction(action.compares, action.puts, lease=lease)
            applied = await self._store.write(transaction)
        except StoreError as error:
            known = not error.may_have_applied
            # The service may have lost the lease with its memory.
            self._lease = ""
        return StoreResponse(action.token, known, applied, {})

    async def _current_lease(self) -> str:
        now_s = time.monotonic()
        if not self._lease or now_s - self._leased_s >= LEASE_EVERY_S:
            self._lease = await self._store.grant_lease(CLAIM_LIFE_S + LEASE_EVERY_S)
            self._leased_s = now_s
        return self._lease
