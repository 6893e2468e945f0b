"""Drops endpoints whose time is over, and what hung on them."""

import anyio

from knapweedbridge_core.serving import Endpoint
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.peer_link import PeerLink

SWEEP_S = 0.5
"""Pause between looks."""


class EndpointSweep:
    """The task that forgets endpoints and closes connections that lead to none.

    Parameters
    ----------
    hub : Hub
        Beliefs and connections.
    link : PeerLink
        Is told which starts of endpoints are over.
    """

    def __init__(self, hub: Hub, link: PeerLink) -> None:
        self._hub = hub
        self._link = link

    async def run(self) -> None:
        """Look again and again until cancelled."""
        due_s = anyio.current_time() + SWEEP_S
        while True:
            await self._hub.losses_changed.wait(max(0.0, due_s - anyio.current_time()))
            for before in self._hub.cluster.fleet.pop_restarted():
                await self._end_start(before)
            if anyio.current_time() >= due_s:
                await self._sweep()
                due_s = anyio.current_time() + SWEEP_S

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

    async def _end_start(self, before: Endpoint) -> None:
        """Draw the conclusions of an endpoint's new start under its id.

        Connections to the start before may be silent for good, as those to a host that
        lost its power are: a call that is sent on one gets no answer.
        """
        hub = self._hub
        hub.log.info(
            "endpoint.restarted",
            endpoint=before.name,
            before_ms=before.record.started_ms,
        )
        await hub.pool.close_idle_to(before.record.address)
        await self._link.crashes.record_endpoint_lost(
            before.name, "restarted", before.record.started_ms
        )
        hub.engines_changed.tell()
