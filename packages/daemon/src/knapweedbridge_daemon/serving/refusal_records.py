"""Records in the store which calls are refused because they crash endpoints."""

import anyio

from knapweedbridge_core.serving import refusal_publishers, request_digest
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.attempt_records import MARK_DIGITS
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.own_records import pack_refused
from knapweedbridge_daemon.store import Transaction

POLL_INTERVAL_S = 1.0
"""Longest pause between checks for refusals that are not recorded."""

WRITE_DELAY_S = 0.3
"""How long each publisher waits for the one before it to write: a write takes some
milliseconds, and reaches all hosts within a few tenths of a second."""

MIN_POLL_INTERVAL_S = 0.1
"""Shortest pause between checks: during many losses something changes all the time."""

MIN_LEASE_S, MAX_LEASE_S = 1.0, 600.0
"""Bounds of the store's leases; longer refusals are recorded again."""


class RefusalRecords:
    """Keeps the refusals in the store, for hosts that missed the notifications.

    Parameters
    ----------
    hub : Hub
        The daemon's ledger of crashes, and the store.
    cleared_calls : set of str
        Fingerprints of calls whose records are to be removed.
    """

    __slots__ = ("_hub", "_missing_since_s", "_cleared_calls")

    def __init__(self, hub: Hub, cleared_calls: set[str]) -> None:
        self._hub = hub
        self._cleared_calls = cleared_calls
        self._missing_since_s: dict[str, float] = {}

    async def run(self) -> None:
        """Write missing records and remove obsolete ones until cancelled."""
        while True:
            await self._hub.losses_changed.wait(self._pause_s())
            if self._hub.synced:
                await self._update()
                await anyio.sleep(MIN_POLL_INTERVAL_S)

    def _pause_s(self) -> float:
        return WRITE_DELAY_S if self._missing_since_s else POLL_INTERVAL_S

    async def _update(self) -> None:
        now_s = anyio.current_time()
        missing = self._hub.crashes.to_publish(now_s)
        since_s = self._missing_since_s
        self._missing_since_s = {mark: since_s.get(mark, now_s) for mark in missing}
        for mark, for_s in missing.items():
            delay_s = self._write_delay_s(mark)
            waited_s = now_s - self._missing_since_s[mark]
            if delay_s is not None and waited_s >= delay_s:
                await self._write(mark, for_s)
        withdrawn = self._hub.crashes.parts.withdrawn
        self._cleared_calls.update(withdrawn)
        withdrawn.clear()
        while self._cleared_calls:
            mark = self._cleared_calls.pop()
            if self._write_delay_s(mark) is not None:
                await self._remove(mark)

    def _write_delay_s(self, mark: str) -> float | None:
        """Return how long this host waits for others to write; None: it does not."""
        coordinators = refusal_publishers(mark, self._hub.cluster.coordinators)
        own = self._hub.identity.name
        return WRITE_DELAY_S * coordinators.index(own) if own in coordinators else None

    async def _write(self, mark: str, for_s: float) -> None:
        store, key = self._hub.dialects.store, self._key(mark)
        try:
            lease_s = min(max(MIN_LEASE_S, for_s), MAX_LEASE_S)
            lease = await store.grant_lease(lease_s)
            write = Transaction({key: 0}, {key: pack_refused(for_s)}, lease=lease)
            done = await store.commit(write)
        except StoreError as error:
            self._log("refusal.not_recorded", mark, error=str(error))
            return
        if done.applied:
            self._hub.crashes.record_published(mark, for_s, anyio.current_time())
            losses = self._hub.crashes.losses_of(mark)
            self._log("refusal.recorded", mark, for_s=round(for_s, 1), losses=losses)

    async def _remove(self, mark: str) -> None:
        try:
            keys = tuple({self._key(mark), self._key(request_digest(mark))})
            await self._hub.dialects.store.commit(Transaction(deletes=keys))
        except StoreError as error:
            self._log("refusal.not_removed", mark, error=str(error))

    def _key(self, mark: str) -> str:
        return self._hub.dialects.daemon_keys.refused_call(mark)

    def _log(self, kind: str, mark: str, **fields: object) -> None:
        self._hub.log.info(kind, mark=mark[:MARK_DIGITS], **fields)
