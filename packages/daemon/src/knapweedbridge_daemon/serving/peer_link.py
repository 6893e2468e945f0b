"""Messages between serving daemons, over the product's peer streams."""

from collections.abc import Awaitable, Callable
from typing import Any, get_args

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.peer_events import PeerDisconnected, PeerMessage
from knapweedbridge_core.serving import Endpoint, understands
from knapweedbridge_core.serving.messages import (
    EngineDelta,
    EngineSnapshot,
    EngineSnapshotRequest,
    OwnerAck,
    QuotaRequest,
    QuotaResponse,
    RelayRequest,
    StoreMark,
    StoreUpdate,
    TurnGrant,
)
from knapweedbridge_daemon.peer_sockets import PeerListener
from knapweedbridge_daemon.peers import Peers
from knapweedbridge_daemon.serving.account_quotas import AccountQuotas
from knapweedbridge_daemon.serving.backpressure_recorder import BackpressureRecorder
from knapweedbridge_daemon.serving.crash_watch import CrashWatch, LossMessage
from knapweedbridge_daemon.serving.engine_owners import EngineOwners, OwnerMessage
from knapweedbridge_daemon.serving.forwarding import TunnelForwarder
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.permits import PermitMessage, Permits
from knapweedbridge_daemon.serving.plain_router import PlainRouter
from knapweedbridge_daemon.serving.plain_version_probe import (
    PlainMessage,
    is_plain_message,
)
from knapweedbridge_daemon.serving.running_calls import RunningCalls
from knapweedbridge_daemon.serving.store_update_codec import unpack_engines
from knapweedbridge_daemon.serving.stream_resumer import OriginMessage, StreamResumer
from knapweedbridge_daemon.serving.turns import Turns
from knapweedbridge_daemon.serving.update_relay import UpdateRelay

SILENCE_S = 1.5
"""Silence that closes a stream between daemons: answers take milliseconds."""

ASK_LOAD_S = 0.02
"""Pause between questions for the load of an engine: an answer takes milliseconds."""

ASK_RELAY_S = 0.5
"""Pause between questions to relays: an answer comes with its next message."""

ASK_ALL_S = 0.2
"""Pause between questions for all of an engine, where a telling was missed."""


class PeerLink:
    """Sends and takes the messages between daemons.

    Parameters
    ----------
    hub : Hub
        Beliefs, which messages change.
    tunnels : int
        Connections to endpoints that are carried for other hosts at once.
    """

    def __init__(self, hub: Hub, tunnels: int = 0) -> None:
        self._hub = hub
        self.running = RunningCalls(hub, self.send)
        self.turns = Turns(hub, self.send, self.running.record_prompt_sent)
        self.relaying = UpdateRelay(hub, self.send)
        self.permits = Permits(hub, self.send, self.relaying)
        self.plain = PlainRouter(hub, self.send)
        self.backpressure = BackpressureRecorder(hub, self.permits)
        self.forwarding = TunnelForwarder(hub, tunnels)
        self.owners = EngineOwners(hub, self.send, self.permits, self.backpressure)
        self.quotas = AccountQuotas(hub, self.send)
        self.resuming = StreamResumer(hub, self.send)
        self.crashes = CrashWatch(hub, self.send)
        self._relays_asked_s: dict[str, float] = {}
        self.on_store_update: Callable[[str, StoreUpdate], int] = lambda *told: 0
        self._peers: Peers | None = None
        self._takers = self._make_takers()

    def _make_takers(self) -> dict[type, Callable[[str, Any], Awaitable[None]]]:
        """Return what takes a message, by its class; others are passed over."""
        takers: dict[type, Callable[[str, Any], Awaitable[None]]] = {
            EngineSnapshot: self._take_of_owner,
            EngineDelta: self._take_of_owner,
            TurnGrant: self._take_turns,
            OwnerAck: self._take_answered,
        }
        takers |= dict.fromkeys((QuotaRequest, QuotaResponse), self.quotas.handle)
        takers |= dict.fromkeys(get_args(LossMessage), self.crashes.handle)
        of_calls = get_args(PlainMessage) + get_args(PermitMessage)
        takers |= dict.fromkeys(of_calls, self._take_of_calls)
        takers |= dict.fromkeys(get_args(OriginMessage), self.resuming.handle)
        of_relay = StoreUpdate, StoreMark, RelayRequest
        takers |= dict.fromkeys(of_relay, self._take_of_relay)
        return takers | dict.fromkeys(get_args(OwnerMessage), self.owners.handle)

    async def send(self, daemon: str, message: Any) -> None:
        """Send a message to a daemon, which may be this one.

        One whose version does not understand it is sent nothing.
        """
        if daemon == self._hub.identity.name:
            await self._dispatch(daemon, message)
        elif not understands(self._hub.cluster.protocol_of(daemon), message):
            self._hub.metrics.count("messages_withheld")
        elif self._peers is not None:
            self._peers.send(daemon, message)

    async def run(self, tasks: TaskGroup, address: tuple[str, int]) -> None:
        """Link with the daemons that are listed until cancelled."""
        while not self._hub.cluster.secret:
            await self._hub.cluster_changed.wait(1.0)
        identity = self._hub.identity
        self._peers = Peers(
            identity.name,
            self._hub.cluster.secret,
            SILENCE_S,
            self._submit,
            identity.incarnation,
            serve_tunnel=self.forwarding.serve,
        )
        listener = PeerListener()
        await listener.listen(*address)
        tasks.start_soon(listener.serve, self._peers.serve)
        known: dict[str, int] = {}
        while True:
            others = {
                name: record
                for name, record in self._hub.cluster.daemons.items()
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
            self.quotas.parts.refresh()
            await self.resuming.refresh()
            await self._hub.cluster_changed.wait(5.0)

    async def _submit(self, event: Any) -> None:
        if isinstance(event, PeerMessage):
            await self._dispatch(event.host, event.message)
        elif isinstance(event, PeerDisconnected):
            self._hub.log.info("peer.unlinked", peer=event.host)

    async def _dispatch(self, daemon: str, message: Any) -> None:
        take = self._takers.get(type(message))
        if take is not None:
            await take(daemon, message)

    async def _take_turns(self, daemon: str, message: TurnGrant) -> None:
        self.turns.given(message)

    async def _take_of_owner(
        self, daemon: str, message: EngineSnapshot | EngineDelta
    ) -> None:
        """Take what an owner tells this daemon itself of its engine."""
        if isinstance(message, EngineDelta):
            await self._take_changed(message)
        elif self._take_told(message, anyio.current_time()):
            self.relaying.record_engine_update(message)

    async def _take_of_relay(
        self, daemon: str, message: StoreUpdate | StoreMark | RelayRequest
    ) -> None:
        """Take what a relay tells this daemon, or what a hearer asks of it."""
        if isinstance(message, StoreUpdate):
            missed_after = self.on_store_update(daemon, message)
            if missed_after:
                # A daemon that the store turns away has no other way to hear of it: it
                # went on by an old configuration, beside a relay that had the new one.
                await self._ask_relay(daemon, RelayRequest(False, missed_after))
            await self._take_relayed(daemon, message)
        elif isinstance(message, StoreMark):
            self.relaying.record_mark(daemon, message.mark_s)
        else:
            await self.relaying.record_relay_request(daemon, message)

    def _take_told(self, message: EngineSnapshot, now_s: float) -> bool:
        """Take all that is told of an engine; False where that is outdated."""
        self._hub.load_times.told(message.cold_s)
        self._hub.load_times.record_trial_success(message.loads_at_once)
        known = self._hub.cluster.fleet.endpoints.get(message.endpoint)
        before = known.update_number if known else 0
        endpoint = self._hub.cluster.fleet.apply_snapshot(message, now_s)
        if endpoint is None:
            return False
        self._hub.engines_changed.tell()
        if message.number != before:
            # It cannot know of calls that began under the owner before it.
            self.running.tell(endpoint.start)
        return True

    async def _take_changed(self, message: EngineDelta) -> None:
        fleet = self._hub.cluster.fleet
        if self._take_change(message, anyio.current_time()):
            self.relaying.record_engine_update(message)
        elif fleet.has_gap_before(message):
            endpoint = fleet.endpoints[message.endpoint]
            if endpoint.owner:
                await self._ask(endpoint, endpoint.owner, ASK_ALL_S)

    def _take_change(self, message: EngineDelta, now_s: float) -> bool:
        """Take a change; False where it is outdated or one before it was missed."""
        fleet = self._hub.cluster.fleet
        endpoint = fleet.endpoints.get(message.endpoint)
        before = endpoint and (endpoint.places_free, endpoint.wants)
        if not fleet.apply_update(message, now_s):
            return False
        # Calls that wait for an adapter are placed anew only where that may help:
        # loads are told some fifty times a second, and sixty calls that were placed
        # with each telling kept a daemon from renewing its lease.
        room = message.places_free, message.wants
        if message.added or message.removed or room != before:
            self._hub.engines_changed.tell()
        return True

    async def _take_of_calls(
        self, daemon: str, message: PlainMessage | PermitMessage
    ) -> None:
        if is_plain_message(message):
            await self.plain.handle(daemon, message)
        elif isinstance(message, PermitMessage):
            await self.permits.handle(daemon, message)

    async def _take_relayed(self, relay: str, message: StoreUpdate) -> None:
        """Take what a relay hands on of the engines."""
        missed = False
        now_s = anyio.current_time()
        for row in unpack_engines(message):
            if isinstance(row, EngineSnapshot):
                self._take_told(row, now_s)
            elif not self._take_change(row, now_s):
                missed = missed or self._hub.cluster.fleet.has_gap_before(row)
        if missed:
            await self.subscribe(relay)

    async def subscribe(self, relay: str) -> None:
        """Ask a relay for all that it knows, and to be told from then on."""
        await self._ask_relay(relay, RelayRequest())

    async def _ask_relay(self, relay: str, message: RelayRequest) -> None:
        # Each relay by itself: one that keeps too little to catch up with it, asked
        # again and again, kept a daemon from asking the other one, which had it all.
        now_s = anyio.current_time()
        recent = self._relays_asked_s.items()
        self._relays_asked_s = {
            each: asked_s for each, asked_s in recent if now_s - asked_s <= ASK_RELAY_S
        }
        if relay not in self._relays_asked_s:
            self._relays_asked_s[relay] = now_s
            await self.send(relay, message)

    async def request_load(self, endpoint: Endpoint) -> None:
        """Ask an engine's owner how much runs there, where that is not known."""
        if endpoint.owner:
            await self._ask(endpoint, endpoint.owner, ASK_LOAD_S)

    async def _ask(self, endpoint: Endpoint, owner: str, pause_s: float) -> None:
        now_s = anyio.current_time()
        if now_s - endpoint.asked_all_s > pause_s:
            endpoint.asked_all_s = now_s
            await self.send(owner, EngineSnapshotRequest(endpoint.name))

    async def _take_answered(self, daemon: str, message: OwnerAck) -> None:
        endpoint = self._hub.cluster.fleet.endpoints.get(message.endpoint)
        if endpoint is not None:
            endpoint.asked_s = None
