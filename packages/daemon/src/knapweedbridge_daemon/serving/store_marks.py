"""Marks moments of this daemon's clock at its relay, which show how old its news is."""

import anyio

from knapweedbridge_core.serving.messages import StoreMark
from knapweedbridge_daemon.serving.hub import Hub, Send

MARK_S = 0.4
"""Pause between marks: what it adds to the age that a daemon can prove."""


class StoreMarks:
    """The task that sets marks, which idles where this daemon hears no relay.

    Parameters
    ----------
    hub : Hub
        Beliefs.
    send : callable
        Sends a message to a daemon.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send

    async def run(self) -> None:
        """Set marks until cancelled."""
        while True:
            await self.mark()
            await anyio.sleep(MARK_S)

    async def mark(self) -> None:
        """Mark this moment at the relays that are to prove how old their news is."""
        now_s = self._hub.steady_s()
        for relay in self._relays(now_s):
            await self._send(relay, StoreMark(now_s))

    def _relays(self, now_s: float) -> list[str]:
        identity, cluster = self._hub.identity, self._hub.cluster
        age = self._hub.store_age
        heard = cluster.relays_for(identity.name, identity.data_centre)
        if not heard and age.is_cut_off(now_s):
            # A relay that the store turns away, or a daemon that believes itself not to
            # be listed. Hearing nobody, they served their callers, and those of hearers
            # that were turned away as well, by an old configuration.
            return cluster.fallback_relays(identity.name, identity.data_centre)
        return age.relays_to_mark(heard, now_s)
