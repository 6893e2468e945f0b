"""Write origins of streams into the store, for hosts that start after others ended."""

import time

import anyio

from knapweedbridge_core.serving import StreamOrigin
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.own_records import pack_origins
from knapweedbridge_daemon.store import LeaseGoneError, Transaction

WRITE_INTERVAL_S = 0.1
"""Interval between writes, and how long an origin may be known to hosts alone."""

LEASE_SHARED_S = 10.0
"""How long origins are written under one lease, whose end removes them together."""

MAX_LEASE_S = 60.0
"""Longest time for which an origin is kept in the store."""

MAX_ROWS = 2000
"""Origins in one write, of some 20 bytes each."""

MAX_WAITING = 20_000
"""Origins that wait for a store that does not answer; the oldest are dropped first."""


class OriginRecords:
    """Task that writes origins, if this host is the first of its data centre.

    Parameters
    ----------
    hub : Hub
        Shared state, and the store.
    """

    __slots__ = ("_hub", "_lease", "_lease_until_s", "_waiting", "_woken")

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._waiting: dict[str, StreamOrigin] = {}
        self._woken = anyio.Event()
        self._lease = ""
        self._lease_until_s = 0.0

    @property
    def writers(self) -> list[str]:
        """Hosts that write the origins of this host's streams.

        These are the first of its data centre and of the next, as one may be lost with
        the host itself.
        """
        own = self._hub.identity.data_centre
        able = self._hub.cluster.coordinators
        others = sorted(each for each in able if each != own)
        following = [each for each in others if each > own] + others
        return [able[each][0] for each in [own, *following[:1]] if able.get(each)]

    def add(self, origins: dict[str, StreamOrigin]) -> None:
        """Write origins soon, if this host is a writer."""
        if self._hub.identity.name not in self.writers:
            return
        self._waiting.update(origins)
        while len(self._waiting) > MAX_WAITING:
            del self._waiting[next(iter(self._waiting))]
        self._woken.set()

    def discard(self, stream: str) -> None:
        """Do not write the origin of a stream that has ended."""
        self._waiting.pop(stream, None)

    async def run(self) -> None:
        """Write origins until cancelled."""
        while True:
            if not self._waiting:
                self._woken = anyio.Event()
                await self._woken.wait()
            await anyio.sleep(WRITE_INTERVAL_S)
            await self._write()

    async def _write(self) -> None:
        now_s = loop_time_s()
        lasting = {k: o for k, o in self._waiting.items() if o.until_s > now_s}
        part = dict(list(lasting.items())[:MAX_ROWS])
        self._waiting = {k: o for k, o in lasting.items() if k not in part}
        if not part:
            return
        try:
            await self._commit(part, now_s)
        except StoreError as error:
            self._waiting = part | self._waiting
            self._hub.metrics.count("stream_origins_not_stored")
            self._hub.log.info("origins.not_stored", count=len(part), error=str(error))
            return
        self._hub.metrics.count("stream_origins_stored", value=len(part))

    async def _commit(self, part: dict[str, StreamOrigin], now_s: float) -> None:
        hub = self._hub
        store = hub.dialects.store
        if now_s >= self._lease_until_s:
            self._lease = await store.grant_lease(LEASE_SHARED_S + MAX_LEASE_S)
            self._lease_until_s = now_s + LEASE_SHARED_S
        key = hub.dialects.daemon_keys.origins(hub.identity.name, time.time_ns())
        try:
            await store.commit(
                Transaction(puts={key: pack_origins(part, now_s)}, lease=self._lease)
            )
        except LeaseGoneError:
            self._lease_until_s = 0.0
            raise
