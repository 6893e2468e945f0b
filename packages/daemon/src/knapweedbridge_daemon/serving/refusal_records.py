"""Records in the store which calls are refused, as they crash endpoints."""

import anyio

from knapweedbridge_core.serving import refusal_publishers, request_digest
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.attempt_records import MARK_DIGITS
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.own_records import pack_refused
from knapweedbridge_daemon.store import Transaction

LOOK_S = 1.0
"""Longest pause between looks for what is not recorded."""

STEP_S = 0.3
"""How long each keeper waits for the one before it to write: a write takes some
milliseconds, and reaches all hosts within a few tenths of a second."""

LOOK_AGAIN_S = 0.1
"""Shortest pause between looks: in a storm of losses something changes all the time."""

SHORTEST_LEASE_S, LONGEST_LEASE_S = 1.0, 600.0
"""Bounds of the store's leases; what is refused for longer is recorded again."""


class RefusalRecords:
    """Has the store hold what is refused, for hosts that did not hear the others.

    Parameters
    ----------
    hub : Hub
        The ledger of crashes, and the store.
    cleared_calls : set of str
        Calls whose records are to be removed.
    """

    __slots__ = ("_hub", "_missing_since_s", "_not_refused")

    def __init__(self, hub: Hub, cleared_calls: set[str]) -> None:
        self._hub = hub
        self._not_refused = cleared_calls
        self._missing_since_s: dict[str, float] = {}

    async def run(self) -> None:
        """Write what is missing until cancelled."""
        while True:
            await self._hub.losses_changed.wait(self._pause_s())
            if self._hub.synced:
                await self._look()
                await anyio.sleep(LOOK_AGAIN_S)

    def _pause_s(self) -> float:
        return STEP_S if self._missing_since_s else LOOK_S

    async def _look(self) -> None:
        now_s = anyio.current_time()
        missing = self._hub.crashes.to_publish(now_s)
        since_s = self._missing_since_s
        self._missing_since_s = {mark: since_s.get(mark, now_s) for mark in missing}
        for mark, for_s in missing.items():
            turn_s = self._turn_s(mark)
            waited_s = now_s - self._missing_since_s[mark]
            if turn_s is not None and waited_s >= turn_s:
                await self._write(mark, for_s)
        withdrawn = self._hub.crashes.parts.withdrawn
        self._not_refused.update(withdrawn)
        withdrawn.clear()
        while self._not_refused:
            mark = self._not_refused.pop()
            if self._turn_s(mark) is not None:
                await self._remove(mark)

    def _turn_s(self, mark: str) -> float | None:
        """Return how long this host leaves a write to others; None: it writes none."""
        coordinators = refusal_publishers(mark, self._hub.cluster.coordinators)
        own = self._hub.identity.name
        return STEP_S * coordinators.index(own) if own in coordinators else None

    async def _write(self, mark: str, for_s: float) -> None:
        store, key = self._hub.dialects.store, self._key(mark)
        try:
            lease_s = min(max(SHORTEST_LEASE_S, for_s), LONGEST_LEASE_S)
            lease = await store.grant_lease(lease_s)
            write = Transaction({key: 0}, {key: pack_refused(for_s)}, lease=lease)
            done = await store.commit(write)
        except StoreError as error:
            self._note("refusal.not_recorded", mark, error=str(error))
            return
        if done.applied:
            self._hub.crashes.record_published(mark, for_s, anyio.current_time())
            self._note("refusal.recorded", mark, for_s=round(for_s, 1))

    async def _remove(self, mark: str) -> None:
        try:
            keys = tuple({self._key(mark), self._key(request_digest(mark))})
            await self._hub.dialects.store.commit(Transaction(deletes=keys))
        except StoreError as error:
            self._note("refusal.not_removed", mark, error=str(error))

    def _key(self, mark: str) -> str:
        return self._hub.dialects.daemon_keys.refused_call(mark)

    def _note(self, kind: str, mark: str, **fields: object) -> None:
        self._hub.log.info(kind, mark=mark[:MARK_DIGITS], **fields)
