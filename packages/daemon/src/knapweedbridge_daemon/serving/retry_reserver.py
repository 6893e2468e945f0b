"""Reserve retries in the store, where the next process of this host finds them."""

import time

import anyio

from knapweedbridge_core.serving import RecordedService, RetryGrant, RetryRecord
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.dialects import DialectError
from knapweedbridge_daemon.serving.era_age import read_era_age_s
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.own_records import (
    pack_retries,
    read_retries,
)
from knapweedbridge_daemon.store import Transaction

SYNC_CHECK_INTERVAL_S = 0.1
"""Interval between checks whether the store has been read."""

READ_TIMEOUT_S = 1.0
"""Timeout for the record of the previous process."""

RESERVE_TIMEOUT_S = 0.3
"""How long a call waits for the reservation of its retry."""

FAILURE_PAUSE_S = 0.5
MAX_FAILURE_PAUSE_S = 4.0
"""Pause after a failed reservation, in which calls do not wait for another; it doubles
with each failure in a row."""


class RetryReserver:
    """Grants retries, and reserves them in the store where that is needed.

    Parameters
    ----------
    hub : Hub
        The retry budget, and the store.
    """

    __slots__ = (
        "_hub",
        "_lock",
        "_revision",
        "_era",
        "_failures_in_row",
        "_paused_until_s",
    )

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._lock = anyio.Lock()
        self._revision: int | None = None
        self._era = 0
        self._failures_in_row = 0
        self._paused_until_s = 0.0

    async def run(self) -> None:
        """Read what the previous process has reserved, as soon as the store is read.

        Later the store may be away, or have lost it.
        """
        while not self._hub.synced:
            await self._hub.cluster_changed.wait(SYNC_CHECK_INTERVAL_S)
        while self._hub.budget.needs_record:
            with anyio.move_on_after(READ_TIMEOUT_S):
                async with self._lock:
                    await self._read_previous()
            if self._hub.budget.needs_record:
                await anyio.sleep(FAILURE_PAUSE_S)

    async def _read_previous(self) -> None:
        try:
            if self._revision is None:
                self._check_era()
                revision = await self._read()
                self._revision = await self._shorten(revision)
        except StoreError as error:
            self._record_failure("", str(error))

    async def _shorten(self, revision: int) -> int | None:
        """Record that the previous process sent nothing after the start of this one.

        Its record states until when it might have sent more.
        """
        services = self._hub.budget.describe(self._hub.steady_s())
        if not services:
            return revision
        return await self._write_record(services, revision)

    async def grant(self, service: str) -> RetryGrant | None:
        """Return the grant of one retry; None if there is none left."""
        budget, steady_s = self._hub.budget, self._hub.steady_s
        self._check_era()
        grant = budget.grant(service, steady_s())
        if grant is not None or not budget.may_reserve(service, steady_s()):
            return grant
        await self._reserve(service)
        return budget.grant(service, steady_s())

    def _check_era(self) -> None:
        """Drop what was reserved before the store came back from an older copy."""
        era = self._hub.dialects.store.era
        if era != self._era:
            self._hub.budget.drop_reservations()
            self._revision = None
            self._era = era

    async def _reserve(self, service: str) -> None:
        if anyio.current_time() < self._paused_until_s:
            return
        with anyio.move_on_after(RESERVE_TIMEOUT_S) as scope:
            async with self._lock:
                # The reservation of another call may suffice for this one.
                if self._hub.budget.may_reserve(service, self._hub.steady_s()):
                    await self._update_record(service)
        if scope.cancelled_caught:
            self._record_failure(service, "no answer in time")

    async def _update_record(self, service: str) -> None:
        revision, self._revision = self._revision, None
        try:
            if revision is None:
                revision = await self._read()
            self._revision = await self._write(service, revision)
        except StoreError as error:
            self._record_failure(service, str(error))

    async def _read(self) -> int:
        """Read this host's record, and return its revision."""
        hub = self._hub
        found = await hub.dialects.store.read(self._key)
        value, revision = found or (None, 0)
        if hub.budget.needs_record:
            await self._record_previous(value)
        return revision

    async def _record_previous(self, value: bytes | None) -> None:
        """Record what the previous process had reserved."""
        hub = self._hub
        now_s = hub.steady_s()
        record: RetryRecord | None = None
        try:
            record = read_retries(value) if value is not None else None
            is_latest = await self._is_latest(record)
        except DialectError as error:
            hub.log.error("retries.unreadable", error=str(error))
            is_latest = False
        age_s = 0.0
        if not is_latest:
            hub.budget.record_previous_unknown()
        else:
            age_s = record.age_s(now_s, time.time()) if record else 0.0
            hub.budget.record_previous(record, age_s, now_s)
        hub.log.info(
            "retries.previous",
            counts=_count_retries(record.services) if record and is_latest else {},
            is_known=is_latest,
            age_s=round(age_s, 2),
        )

    async def _is_latest(self, record: RetryRecord | None) -> bool:
        """Return whether no later record of the previous process can have been lost.

        A store that was restored from an older copy has lost its latest records.
        """
        hub = self._hub
        store = hub.dialects.store
        written_era = record.era if record else 0
        if written_era == store.era:
            return True
        age_s = await read_era_age_s(hub)
        return age_s is not None and age_s >= hub.budget.record_lasts_s

    async def _write(self, service: str, revision: int) -> int | None:
        """Reserve retries; return the revision of the record, None if unknown."""
        hub = self._hub
        reservation = hub.budget.plan_reservation(service, hub.steady_s())
        if reservation is None:
            return revision
        written = await self._write_record(reservation.services, revision)
        if written is not None:
            hub.budget.confirm_reservation(reservation, hub.steady_s())
            hub.metrics.count("retry_reservations", "written")
            hub.log.info(
                "retries.reserved",
                counts=_count_retries(reservation.services),
                added=reservation.added,
            )
        return written

    async def _write_record(
        self, services: dict[str, RecordedService], revision: int
    ) -> int | None:
        """Write the record of this host; return its revision, None if unknown."""
        hub = self._hub
        store, era = hub.dialects.store, hub.dialects.store.era
        record = RetryRecord(services, hub.steady_s(), time.time(), era)
        done = await store.commit(
            Transaction({self._key: revision}, {self._key: pack_retries(record)})
        )
        self._failures_in_row = 0
        if done.applied and store.era == era:
            return done.revision
        hub.log.info("retries.record_changed", revision=revision)
        return None

    @property
    def _key(self) -> str:
        hub = self._hub
        return hub.dialects.daemon_keys.retries(hub.identity.name)

    def _record_failure(self, service: str, error: str) -> None:
        now_s = anyio.current_time()
        if now_s >= self._paused_until_s:
            # Calls that have waited for the same answer are one failure.
            pause_s = FAILURE_PAUSE_S * 2**self._failures_in_row
            self._paused_until_s = now_s + min(MAX_FAILURE_PAUSE_S, pause_s)
            self._failures_in_row += 1
        self._hub.metrics.count("retry_reservations", "failed")
        self._hub.log.info("retries.not_reserved", service=service, error=error)


def _count_retries(services: dict[str, RecordedService]) -> dict[str, int]:
    """Return the recorded retries by service."""
    return {
        name: sum(count for _, count in each.retries) for name, each in services.items()
    }
