"""Records in the store which software versions of a service serve side by side."""

import anyio

from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.own_records import pack_software
from knapweedbridge_daemon.store import Transaction

LOOK_S = 1.0
"""Pause between looks, where nothing changes."""

STEP_S = 0.3
"""How long each host waits for the one before it to write: a write takes some
milliseconds, and reaches all hosts within a few tenths of a second."""


class SoftwareRecords:
    """Has the store hold the versions, for hosts that start after one is gone.

    Parameters
    ----------
    hub : Hub
        The endpoints, and the store.
    """

    __slots__ = ("_hub", "_missing_since_s")

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._missing_since_s: dict[str, float] = {}

    async def run(self) -> None:
        """Write what is missing until cancelled."""
        while True:
            await self._hub.cluster_changed.wait(LOOK_S)
            if self._hub.synced and self._hub.lease_revision:
                await self._look()

    async def _look(self) -> None:
        software = self._hub.cluster.fleet.software
        for service in software.services():
            now_s = anyio.current_time()
            versions = software.to_record(service, now_s)
            if versions is None:
                self._missing_since_s.pop(service, None)
                continue
            since_s = self._missing_since_s.setdefault(service, now_s)
            turn_s = self._turn_s()
            if turn_s is not None and now_s - since_s >= turn_s:
                await self._write(service, versions)

    def _turn_s(self) -> float | None:
        """Return how long this host leaves a write to others; None: it writes none."""
        ranks = self._hub.cluster.ranks
        identity = self._hub.identity
        names = ranks.get(identity.data_centre, [])
        if identity.name not in names:
            return None
        place = names.index(identity.name) * len(ranks)
        return STEP_S * (place + sorted(ranks).index(identity.data_centre))

    async def _write(self, service: str, versions: set[str]) -> None:
        key = self._hub.dialects.daemon_keys.software(service)
        write = Transaction(deletes=(key,))
        if versions:
            write = Transaction(puts={key: pack_software(versions)})
        try:
            await self._hub.dialects.store.commit(write)
        except StoreError as error:
            self._hub.log.info(
                "software.not_recorded", service=service, error=str(error)
            )
            return
        self._missing_since_s.pop(service, None)
        self._hub.log.info(
            "software.recorded", service=service, versions=sorted(versions)
        )
