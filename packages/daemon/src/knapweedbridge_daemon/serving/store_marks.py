"""Send timestamps to relays, which return them to prove how fresh updates are."""

import anyio

from knapweedbridge_core.serving.messages import StoreMark
from knapweedbridge_daemon.serving.hub import Hub, Send

MARK_INTERVAL_S = 0.4
"""Interval between marks, which adds to the age that a daemon can prove."""


class StoreMarks:
    """Task that sends marks; idle if this daemon subscribes to no relay.

    Parameters
    ----------
    hub : Hub
        Shared state.
    send : callable
        Sends a message to a daemon.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send

    async def run(self) -> None:
        """Send marks until cancelled."""
        while True:
            await self.mark()
            await anyio.sleep(MARK_INTERVAL_S)

    async def mark(self) -> None:
        """Send the current time to the relays that must prove their freshness."""
        now_s = self._hub.steady_s()
        for relay in self._relays(now_s):
            await self._send(relay, StoreMark(now_s))

    def _relays(self, now_s: float) -> list[str]:
        identity, cluster = self._hub.identity, self._hub.cluster
        age = self._hub.store_age
        subscribed = cluster.relays_for(identity.name, identity.data_centre)
        if not subscribed and age.is_cut_off(now_s):
            # A relay that the store rejects, or a daemon that does not see itself
            # listed. Without a relay they would serve their callers by an old
            # configuration, as would those of their subscribers that the store rejects.
            return cluster.fallback_relays(identity.name, identity.data_centre)
        return age.relays_to_mark(subscribed, now_s)
