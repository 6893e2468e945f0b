"""Record in the store on which software versions of a service streams may begin."""

import anyio

from knapweedbridge_core.serving.software_versions import (
    STREAM_LIFE_S,
    VersionRecord,
)
from knapweedbridge_core.serving.store_events import SoftwareRecorded
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.dialects import DialectError
from knapweedbridge_daemon.serving.era_age import read_era_age_s
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.own_records import pack_versions
from knapweedbridge_daemon.serving.version_reader import VersionReader
from knapweedbridge_daemon.store import Transaction

CHECK_INTERVAL_S = 1.0
"""Interval between checks while nothing changes."""

WRITE_DELAY_STEP_S = 0.3
"""Delay per place in the order of hosts, in which an earlier host may write: a write
takes some milliseconds, and reaches all hosts within a few tenths of a second."""

READ_AGAIN_S = 2.0
"""Time after which a host that does not write reads a record that is out of date."""

READ_TIMEOUT_S = 1.0
"""Timeout of that read."""

UNSEEN_S = 5.0
"""Age of the known state of the store past which versions may have come and gone
unseen."""


class SoftwareRecords:
    """Task that keeps the records of the versions on which streams may begin.

    Parameters
    ----------
    hub : Hub
        Shared state, and the store.
    reader : VersionReader
        Reads a record that this host may have missed.
    """

    __slots__ = ("_began_s", "_hub", "_missing_since_s", "_reader")

    def __init__(self, hub: Hub, reader: VersionReader) -> None:
        self._hub = hub
        self._reader = reader
        self._began_s: float | None = None
        self._missing_since_s: dict[str, float] = {}

    async def run(self) -> None:
        """Write missing records until cancelled."""
        while True:
            await self._hub.cluster_changed.wait(CHECK_INTERVAL_S)
            if not self._hub.synced:
                continue
            now_s = anyio.current_time()
            if self._began_s is None or self._hub.news_age_s > UNSEEN_S:
                self._began_s = now_s
                self._hub.cluster.fleet.software.restart_expiry(now_s)
            elif self._hub.lease_revision:
                await self._check_services()

    async def _check_services(self) -> None:
        hub, software = self._hub, self._hub.cluster.fleet.software
        for service in self._services():
            era = hub.store_era
            is_complete = software.record_of(service).complete_era == era
            wanted = software.to_record(
                service,
                anyio.current_time(),
                era,
                is_complete or await self._knows_all(service, era),
            )
            if wanted is None:
                self._missing_since_s.pop(service, None)
            elif self._is_turn(service):
                await self._write(service, wanted)
            elif self._missing_s(service) > READ_AGAIN_S:
                await self._read(service)

    def _services(self) -> list[str]:
        """Return the services whose streams callers may resume."""
        deployment = self._hub.cluster.deployment
        routes = deployment.routes if deployment else ()
        return sorted(
            {
                each.service
                for route in routes
                if route.streams_resume
                for each in route.services
            }
        )

    async def _knows_all(self, service: str, era: int) -> bool:
        """Return whether this host knows all versions on which streams have begun.

        A record from before the store came back from an older copy may lack some.
        """
        if era == 0 or self._hub.cluster.fleet.software.was_complete(service):
            return True
        assert self._began_s is not None
        if anyio.current_time() - self._began_s > STREAM_LIFE_S:
            return True
        try:
            age_s = await read_era_age_s(self._hub)
        except (StoreError, DialectError) as error:
            self._hub.log.info("software.era_unknown", error=str(error))
            return False
        return age_s is not None and age_s > STREAM_LIFE_S

    def _missing_s(self, service: str) -> float:
        """Return for how long a service's record has been out of date."""
        now_s = anyio.current_time()
        return now_s - self._missing_since_s.setdefault(service, now_s)

    async def _read(self, service: str) -> None:
        """Read a record that a relay of an earlier protocol has not passed on."""
        self._missing_since_s.pop(service, None)
        record = await self._reader.read(service, READ_TIMEOUT_S)
        known = self._hub.cluster.fleet.software.record_of(service)
        if record is not None and record.revision > known.revision:
            event = SoftwareRecorded(service, record)
            self._hub.cluster.take(event, anyio.current_time())
            self._hub.engines_changed.tell()

    def _is_turn(self, service: str) -> bool:
        """Return whether hosts that precede this one have not written in their time."""
        missing_s = self._missing_s(service)
        ranks = self._hub.cluster.ranks
        identity = self._hub.identity
        names = ranks.get(identity.data_centre, [])
        if identity.name not in names:
            return False
        place = names.index(identity.name) * len(ranks)
        place += sorted(ranks).index(identity.data_centre)
        return missing_s >= WRITE_DELAY_STEP_S * place

    async def _write(self, service: str, wanted: VersionRecord) -> None:
        key = self._hub.dialects.daemon_keys.versions(service)
        known = self._hub.cluster.fleet.software.record_of(service)
        write = Transaction({key: wanted.revision}, {key: pack_versions(wanted)})
        try:
            done = await self._hub.dialects.store.commit(write)
        except StoreError as error:
            self._hub.log.info(
                "software.not_recorded", service=service, error=str(error)
            )
            return
        self._missing_since_s.pop(service, None)
        self._hub.log.info(
            "software.recorded" if done.applied else "software.record_changed",
            service=service,
            versions=sorted(wanted.versions),
            known=sorted(known.versions),
            complete_era=wanted.complete_era,
        )
        if not done.applied:
            await self._read(service)
