"""Messages between serving daemons, over the product's peer streams."""

from typing import Any

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.events import PeerHeard, PeerUnlinked
from knapweedbridge_core.serving import ModelRef
from knapweedbridge_core.serving.fleet import HeldAdapter
from knapweedbridge_core.serving.messages import (
    AdapterMissed,
    AdapterWanted,
    CallsRunning,
    EngineTold,
)
from knapweedbridge_daemon.peers import Peers
from knapweedbridge_daemon.serving.engine_owning import EngineOwners
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.running_calls import RunningCalls

SILENCE_S = 1.5
"""Silence that closes a stream between daemons: answers take milliseconds."""


class PeerLink:
    """Sends and takes the messages between daemons.

    Parameters
    ----------
    hub : Hub
        Beliefs, which messages change.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self.owners = EngineOwners(hub, self.send)
        self.running = RunningCalls(hub, self.send)
        self._peers: Peers | None = None

    async def send(self, daemon: str, message: Any) -> None:
        """Send a message to a daemon, which may be this one."""
        if daemon == self._hub.identity.name:
            self._take(daemon, message)
        elif self._peers is not None:
            self._peers.send(daemon, message)

    async def run(self, tasks: TaskGroup, address: tuple[str, int]) -> None:
        """Link with the daemons that are listed until cancelled."""
        while not self._hub.beliefs.secret:
            await self._hub.beliefs_changed.wait(1.0)
        identity = self._hub.identity
        self._peers = Peers(
            identity.name,
            self._hub.beliefs.secret,
            SILENCE_S,
            self._submit,
            identity.incarnation,
        )
        listener = await anyio.create_tcp_listener(
            local_host=address[0], local_port=address[1], reuse_port=False
        )
        tasks.start_soon(listener.serve, self._peers.serve)
        known: dict[str, int] = {}
        while True:
            others = {
                name: record
                for name, record in self._hub.beliefs.daemons.items()
                if name != identity.name
            }
            self._peers.know(
                tasks, {name: each.address for name, each in others.items()}
            )
            starts = {name: each.incarnation for name, each in others.items()}
            for name, start in known.items():
                # The calls of a daemon that was started anew ended with it.
                if starts.get(name, start) != start:
                    self.owners.forget_daemon(name)
            known = starts
            await self._hub.beliefs_changed.wait(5.0)

    async def _submit(self, event: Any) -> None:
        if isinstance(event, PeerHeard):
            self._take(event.host, event.message)
        elif isinstance(event, PeerUnlinked):
            self._hub.log.info("peer.unlinked", peer=event.host)

    def _take(self, daemon: str, message: Any) -> None:
        if isinstance(message, EngineTold):
            self._take_told(daemon, message)
        elif isinstance(message, (AdapterWanted, AdapterMissed, CallsRunning)):
            self.owners.heard(daemon, message)

    def _take_told(self, daemon: str, message: EngineTold) -> None:
        now_s = anyio.current_time()
        held = {
            ModelRef(base, adapter): HeldAdapter(
                version, now_s + ready_in_s, users, now_s - idle_s
            )
            for base, adapter, version, ready_in_s, users, idle_s in message.held
        }
        fleet = self._hub.beliefs.fleet
        endpoint = fleet.told(message.endpoint, message.number, message.order, held)
        if endpoint is None:
            return
        new_owner = endpoint.told_by != daemon
        endpoint.told_by = daemon
        endpoint.places_free = message.places_free
        endpoint.wants = message.wants
        endpoint.others_calls = sum(
            count
            for name, count in message.calls.items()
            if name != self._hub.identity.name
        )
        if new_owner:
            # It cannot know of calls that began under the owner before it.
            self.running.tell(message.endpoint)
        self._hub.engines_changed.tell()
