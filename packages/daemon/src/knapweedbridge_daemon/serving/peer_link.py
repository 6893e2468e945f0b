"""Exchange of messages between serving daemons, over peer streams."""

from collections.abc import Awaitable, Callable
from typing import Any, get_args

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.peer_events import PeerDisconnected, PeerMessage
from knapweedbridge_core.serving import Endpoint, understands
from knapweedbridge_core.serving.join_messages import DaemonJoined, JoinAcknowledged
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
from knapweedbridge_daemon.serving.joining import JoinAnnouncer
from knapweedbridge_daemon.serving.origin_publisher import OriginPublisher
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

SILENCE_TIMEOUT_S = 1.5
"""Silence after which a stream between daemons is closed; responses take
milliseconds."""

LOAD_REQUEST_INTERVAL_S = 0.02
"""Least time between requests for the load of an engine; a response takes
milliseconds."""

RELAY_REQUEST_INTERVAL_S = 0.5
"""Least time between requests to a relay, which responds with its next update."""

SNAPSHOT_REQUEST_INTERVAL_S = 0.2
"""Least time between requests for a snapshot of an engine after a missed update."""


class PeerLink:
    """Sends messages to other daemons and dispatches those received.

    Parameters
    ----------
    hub : Hub
        The state of this daemon, which messages update.
    tunnels : int
        Most tunnels to endpoints that are forwarded for other hosts at once.
    most_unproven : int
        Most connections of peers that have not proved themselves yet; 0: no limit.
    """

    def __init__(self, hub: Hub, tunnels: int = 0, most_unproven: int = 0) -> None:
        self._hub = hub
        self._most_unproven = most_unproven
        self.running = RunningCalls(hub, self.send)
        self.turns = Turns(hub, self.send, self.running.record_prompt_sent)
        self.relaying = UpdateRelay(hub, self.send)
        self.permits = Permits(hub, self.send, self.relaying)
        self.plain = PlainRouter(hub, self.send)
        self.backpressure = BackpressureRecorder(hub, self.permits)
        self.forwarding = TunnelForwarder(hub, tunnels)
        self.owners = EngineOwners(hub, self.send, self.permits, self.backpressure)
        self.joining = JoinAnnouncer(hub, self.send)
        self.quotas = AccountQuotas(hub, self.send)
        self.origins = OriginPublisher(hub, self.send)
        self.resuming = StreamResumer(hub, self.send, self.origins)
        self.crashes = CrashWatch(hub, self.send)
        self._relay_requests_s: dict[str, float] = {}
        self.on_store_update: Callable[[str, StoreUpdate], int] = lambda *_: 0
        self._peers: Peers | None = None
        self._handlers = self._make_handlers()

    def _make_handlers(self) -> dict[type, Callable[[str, Any], Awaitable[None]]]:
        """Return the handlers by class of message; other messages are ignored."""
        handlers: dict[type, Callable[[str, Any], Awaitable[None]]] = {
            EngineSnapshot: self._handle_owner_update,
            EngineDelta: self._handle_owner_update,
            TurnGrant: self._handle_turn_grant,
            OwnerAck: self._handle_owner_ack,
        }
        handlers |= dict.fromkeys((QuotaRequest, QuotaResponse), self.quotas.handle)
        handlers |= dict.fromkeys((DaemonJoined, JoinAcknowledged), self.joining.handle)
        handlers |= dict.fromkeys(get_args(LossMessage), self.crashes.handle)
        call_messages = get_args(PlainMessage) + get_args(PermitMessage)
        handlers |= dict.fromkeys(call_messages, self._handle_call_message)
        handlers |= dict.fromkeys(get_args(OriginMessage), self.resuming.handle)
        relay_messages = StoreUpdate, StoreMark, RelayRequest
        handlers |= dict.fromkeys(relay_messages, self._handle_relay_message)
        return handlers | dict.fromkeys(get_args(OwnerMessage), self.owners.handle)

    async def send(self, daemon: str, message: Any) -> None:
        """Send a message to a daemon, which may be this one.

        Nothing is sent to a daemon whose version does not understand the message.
        """
        if daemon == self._hub.identity.name:
            await self._dispatch(daemon, message)
        elif not understands(self._hub.cluster.protocol_of(daemon), message):
            self._hub.metrics.count("messages_withheld")
        elif self._peers is not None:
            self._peers.send(daemon, message)

    async def run(self, tasks: TaskGroup, address: tuple[str, int]) -> None:
        """Keep connections to the listed daemons until cancelled."""
        while not self._hub.cluster.secret:
            await self._hub.cluster_changed.wait(1.0)
        identity = self._hub.identity
        self._peers = Peers(
            identity.name,
            self._hub.cluster.secret,
            SILENCE_TIMEOUT_S,
            self._submit,
            identity.incarnation,
            serve_tunnel=self.forwarding.serve,
        )
        listener = PeerListener(self._most_unproven)
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
                # The calls of a daemon ended with its previous process.
                if starts.get(name, start) != start:
                    self.owners.forget_daemon(name)
            known = starts
            dropped = self._peers.bytes.unencodable_messages
            self._hub.metrics.gauges["messages_unencodable"] = dropped
            self.quotas.parts.refresh()
            await self._hub.cluster_changed.wait(5.0)

    async def _submit(self, event: Any) -> None:
        if isinstance(event, PeerMessage):
            await self._dispatch(event.host, event.message)
        elif isinstance(event, PeerDisconnected):
            self._hub.log.info("peer.unlinked", peer=event.host)

    async def _dispatch(self, daemon: str, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            await handler(daemon, message)

    async def _handle_turn_grant(self, daemon: str, message: TurnGrant) -> None:
        self.turns.record_grant(message)

    async def _handle_owner_update(
        self, daemon: str, message: EngineSnapshot | EngineDelta
    ) -> None:
        """Handle an update of an engine that its owner sent directly."""
        if isinstance(message, EngineDelta):
            await self._handle_delta(message)
        elif self._apply_snapshot(message, anyio.current_time()):
            self.relaying.record_engine_update(message)

    async def _handle_relay_message(
        self, daemon: str, message: StoreUpdate | StoreMark | RelayRequest
    ) -> None:
        """Handle an update from a relay, or the request of a subscriber."""
        if isinstance(message, StoreUpdate):
            missed_after = self.on_store_update(daemon, message)
            if missed_after:
                # A daemon that the store rejects has no other source of the missed
                # events: one kept an old configuration although its relay had the new.
                await self._request_from_relay(
                    daemon, RelayRequest(False, missed_after)
                )
            await self._apply_relayed(daemon, message)
        elif isinstance(message, StoreMark):
            self.relaying.record_mark(daemon, message.mark_s)
        else:
            await self.relaying.record_relay_request(daemon, message)

    def _apply_snapshot(self, message: EngineSnapshot, now_s: float) -> bool:
        """Apply a snapshot of an engine; return False if it is outdated."""
        self._hub.load_times.told(message.cold_s)
        self._hub.load_times.record_trial_success(message.loads_at_once)
        known = self._hub.cluster.fleet.endpoints.get(message.endpoint)
        before = known.update_number if known else 0
        endpoint = self._hub.cluster.fleet.apply_snapshot(message, now_s)
        if endpoint is None:
            return False
        self._hub.engines_changed.tell()
        if message.number != before:
            # A new owner cannot know of calls that began under the previous one.
            self.running.tell(endpoint.start)
        return True

    async def _handle_delta(self, message: EngineDelta) -> None:
        fleet = self._hub.cluster.fleet
        if self._apply_delta(message, anyio.current_time()):
            self.relaying.record_engine_update(message)
        elif fleet.has_gap_before(message):
            endpoint = fleet.endpoints[message.endpoint]
            if endpoint.owner:
                await self._request_snapshot(
                    endpoint, endpoint.owner, SNAPSHOT_REQUEST_INTERVAL_S
                )

    def _apply_delta(self, message: EngineDelta, now_s: float) -> bool:
        """Apply a delta; return False if it is outdated or one before it was missed."""
        fleet = self._hub.cluster.fleet
        endpoint = fleet.endpoints.get(message.endpoint)
        before = endpoint and (endpoint.places_free, endpoint.wants)
        if not fleet.apply_update(message, now_s):
            return False
        # Calls that wait for an adapter are placed again only if that may help. Loads
        # are updated about fifty times a second, and placing sixty calls again at each
        # update kept a daemon from renewing its lease.
        capacity = message.places_free, message.wants
        if message.added or message.removed or capacity != before:
            self._hub.engines_changed.tell()
        return True

    async def _handle_call_message(
        self, daemon: str, message: PlainMessage | PermitMessage
    ) -> None:
        if is_plain_message(message):
            await self.plain.handle(daemon, message)
        elif isinstance(message, PermitMessage):
            await self.permits.handle(daemon, message)

    async def _apply_relayed(self, relay: str, message: StoreUpdate) -> None:
        """Apply the updates of engines that a relay forwarded."""
        missed = False
        now_s = anyio.current_time()
        for row in unpack_engines(message):
            if isinstance(row, EngineSnapshot):
                self._apply_snapshot(row, now_s)
            elif not self._apply_delta(row, now_s):
                missed = missed or self._hub.cluster.fleet.has_gap_before(row)
        if missed:
            await self.subscribe(relay)

    async def subscribe(self, relay: str) -> None:
        """Request a snapshot from a relay, and subscribe to its updates."""
        await self._request_from_relay(relay, RelayRequest())

    async def _request_from_relay(self, relay: str, message: RelayRequest) -> None:
        # The interval applies to each relay separately: repeated requests to a relay
        # that retained too few updates kept a daemon from asking the other relay, which
        # had all of them.
        now_s = anyio.current_time()
        recent = self._relay_requests_s.items()
        self._relay_requests_s = {
            each: sent_s
            for each, sent_s in recent
            if now_s - sent_s <= RELAY_REQUEST_INTERVAL_S
        }
        if relay not in self._relay_requests_s:
            self._relay_requests_s[relay] = now_s
            await self.send(relay, message)

    async def request_load(self, endpoint: Endpoint) -> None:
        """Request the load of an engine from its owner."""
        if endpoint.owner:
            await self._request_snapshot(
                endpoint, endpoint.owner, LOAD_REQUEST_INTERVAL_S
            )

    async def _request_snapshot(
        self, endpoint: Endpoint, owner: str, pause_s: float
    ) -> None:
        now_s = anyio.current_time()
        if now_s - endpoint.asked_all_s > pause_s:
            endpoint.asked_all_s = now_s
            await self.send(owner, EngineSnapshotRequest(endpoint.name))

    async def _handle_owner_ack(self, daemon: str, message: OwnerAck) -> None:
        endpoint = self._hub.cluster.fleet.endpoints.get(message.endpoint)
        if endpoint is not None:
            endpoint.asked_s = None
