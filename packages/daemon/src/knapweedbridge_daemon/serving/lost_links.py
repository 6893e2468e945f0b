"""Release engines that this host cannot reach, and publish that it has no links."""

import math
from collections.abc import Awaitable, Callable

import anyio

from knapweedbridge_core.serving import Endpoint, OwnerRecord
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.own_records import pack_links_lost, pack_owner
from knapweedbridge_daemon.store import Transaction

StopOwning = Callable[[str], Awaitable[None]]


async def give_up_engine(
    hub: Hub, engine: str, record: OwnerRecord, lease: str
) -> None:
    """Write that an engine has no owner.

    Raises
    ------
    StoreError
        If the write fails.
    """
    key = hub.dialects.daemon_keys.owner(engine)
    value = pack_owner("", hub.identity.incarnation)
    write = Transaction({key: record.number}, {key: value}, lease=lease)
    await hub.dialects.store.commit(write)


class LostLinks:
    """Ownership of engines to which the path of this host is cut.

    Parameters
    ----------
    hub : Hub
        Shared state: the paths of this host, and the records of owners.
    stop_owning : callable or None
        Stops the orders to an engine that is released.
    """

    __slots__ = ("_hub", "_is_published", "_released_s", "_stop_owning")

    def __init__(self, hub: Hub, stop_owning: StopOwning | None) -> None:
        self._hub = hub
        self._stop_owning = stop_owning
        self._released_s: dict[str, float] = {}
        self._is_published = False

    def may_own(self, engine: Endpoint, now_s: float) -> bool:
        """Return whether this host may claim an engine.

        It may not soon after it has released the engine: two owners that alternate
        would each take the other for a former one.
        """
        released_s = self._released_s.get(engine.name, -math.inf)
        is_reachable = not self._hub.paths.is_cut(engine.record.address)
        return is_reachable and now_s - released_s >= self._hub.lease_s

    async def publish(self, lease: str) -> None:
        """Write a change of whether this host has links to endpoints into the store."""
        hub = self._hub
        has_lost_links = hub.paths.has_lost_links
        if has_lost_links == self._is_published:
            return
        key = hub.dialects.daemon_keys.links(hub.identity.name)
        write = Transaction(deletes=(key,))
        if has_lost_links:
            value = pack_links_lost(hub.identity.incarnation)
            write = Transaction(puts={key: value}, lease=lease)
        try:
            await hub.dialects.store.commit(write)
        except StoreError as error:
            hub.log.info("links.not_published", error=str(error))
            return
        self._is_published = has_lost_links
        hub.log.info("links.lost" if has_lost_links else "links.back")

    async def release_unreachable(self, lease: str) -> None:
        """Release the engines that this host cannot reach though others can."""
        hub = self._hub
        if not len(hub.paths) or self._stop_owning is None:
            return
        for name, record in list(hub.cluster.owners.items()):
            endpoint = hub.cluster.fleet.endpoints.get(name)
            if record.owner != hub.identity.name or endpoint is None:
                continue
            if hub.paths.is_confirmed(endpoint.record.address):
                await self._stop_owning(name)
                await self._release(name, record, lease)

    async def _release(self, engine: str, record: OwnerRecord, lease: str) -> None:
        self._forget_gone()
        self._released_s[engine] = anyio.current_time()
        try:
            await give_up_engine(self._hub, engine, record, lease)
        except StoreError as error:
            self._hub.log.error("owner.hand_over_failed", error=str(error))
            return
        self._hub.log.info("owner.unreached", engine=engine, number=record.number)

    def _forget_gone(self) -> None:
        listed = self._hub.cluster.fleet.endpoints
        for engine in self._released_s.keys() - listed.keys():
            del self._released_s[engine]
