"""Reads from the store on which software versions streams have begun until now."""

from dataclasses import dataclass, field

import anyio

from knapweedbridge_core.serving.software_versions import NO_RECORD, VersionRecord
from knapweedbridge_core.serving.store_events import SoftwareRecorded
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.dialects import DialectError
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.own_records import read_own

GATHERED_S = 0.01
"""How long requests are gathered for one read of the store."""


@dataclass(slots=True, eq=False)
class PendingRead:
    """A read of one service's record, and those who wait for it.

    Parameters
    ----------
    record : VersionRecord or None
        What was read; None: the store gave no answer.
    done : anyio.Event
        Set once the read has ended.
    """

    record: VersionRecord | None = None
    done: anyio.Event = field(default_factory=anyio.Event)


class VersionReader:
    """Task that reads records of versions.

    A read that begins after a stream was resumed contains the version that began it,
    however old this host's own view of the store is.

    Parameters
    ----------
    hub : Hub
        The store.
    """

    __slots__ = ("_hub", "_pending", "_woken")

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._pending: dict[str, PendingRead] = {}
        self._woken = anyio.Event()

    async def read(self, service: str, timeout_s: float) -> VersionRecord | None:
        """Return a service's record as it stands now, or None without an answer."""
        pending = self._pending.setdefault(service, PendingRead())
        self._woken.set()
        with anyio.move_on_after(timeout_s):
            await pending.done.wait()
        return pending.record

    async def run(self) -> None:
        """Read records until cancelled."""
        while True:
            await self._woken.wait()
            await anyio.sleep(GATHERED_S)
            self._woken = anyio.Event()
            pending, self._pending = self._pending, {}
            for service, each in pending.items():
                each.record = await self._read(service)
                each.done.set()

    async def _read(self, service: str) -> VersionRecord | None:
        dialects = self._hub.dialects
        key = dialects.daemon_keys.versions(service)
        try:
            found = await dialects.store.read(key)
            if found is None:
                return NO_RECORD
            event = read_own(dialects.daemon_keys, key, *found)
        except (StoreError, DialectError) as error:
            self._hub.log.info("software.not_read", service=service, error=str(error))
            return None
        assert isinstance(event, SoftwareRecorded)
        return event.record
