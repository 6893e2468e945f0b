"""Drop expired endpoints and their connections."""

import anyio

from knapweedbridge_core.serving import Endpoint
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.peer_link import PeerLink

SWEEP_INTERVAL_S = 0.5
"""Interval between sweeps."""


class EndpointSweep:
    """Task that forgets endpoints and closes connections that lead to none.

    Parameters
    ----------
    hub : Hub
        Shared state and connections.
    link : PeerLink
        Records which starts of endpoints have ended.
    """

    def __init__(self, hub: Hub, link: PeerLink) -> None:
        self._hub = hub
        self._link = link

    async def run(self) -> None:
        """Sweep until cancelled."""
        due_s = anyio.current_time() + SWEEP_INTERVAL_S
        while True:
            await self._hub.losses_changed.wait(max(0.0, due_s - anyio.current_time()))
            for previous in self._hub.cluster.fleet.pop_restarted():
                await self._end_start(previous)
            if anyio.current_time() >= due_s:
                await self._sweep()
                due_s = anyio.current_time() + SWEEP_INTERVAL_S

    async def _sweep(self) -> None:
        self._forget_unlisted()
        engines = self._hub.cluster.fleet.engines()
        addresses = {each.record.address for each in engines}
        self._hub.paths.keep_only(addresses)
        await self._hub.pool.close_idle(addresses)

    def _forget_unlisted(self) -> None:
        hub = self._hub
        now_s = anyio.current_time()
        for name in hub.cluster.fleet.forget_unlisted(now_s):
            hub.log.info("endpoint.gone", endpoint=name, cause="not listed again")
            hub.engines_changed.tell()

    async def _end_start(self, previous: Endpoint) -> None:
        """Clean up after an endpoint that has restarted under the same id.

        Connections to the previous start may stay silent forever, as after a power loss
        of the host: a call that is sent on one gets no response.
        """
        hub = self._hub
        hub.log.info(
            "endpoint.restarted",
            endpoint=previous.name,
            before_ms=previous.record.started_ms,
        )
        await hub.pool.close_idle_to(previous.record.address)
        await self._link.crashes.record_endpoint_lost(
            previous.name, "restarted", previous.record.started_ms
        )
        hub.engines_changed.tell()
