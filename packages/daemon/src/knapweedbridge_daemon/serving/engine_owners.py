"""Start and stop the owners of the engines that this daemon owns."""

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.serving import ModelRef
from knapweedbridge_core.serving.messages import (
    AdapterLoadRequest,
    AdapterMissing,
    CallsReport,
    EngineSnapshotRequest,
    OwnershipClaimed,
    OwnershipReleased,
    TurnRequest,
)
from knapweedbridge_core.serving.ownership import OwnerRecord
from knapweedbridge_daemon.serving.backpressure_recorder import BackpressureRecorder
from knapweedbridge_daemon.serving.engine_owner import (
    MAX_IDLE_S,
    ORDER_TIMEOUT_S,
    EngineOwner,
)
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.permits import Permits

OwnerMessage = (
    AdapterLoadRequest
    | AdapterMissing
    | CallsReport
    | EngineSnapshotRequest
    | TurnRequest
    | OwnershipClaimed
    | OwnershipReleased
)


class EngineOwners:
    """Owners of the engines whose records in the store name this daemon.

    Parameters
    ----------
    hub : Hub
        Shared state.
    send : callable
        Sends a message to a daemon, which may be this one.
    permits : Permits
        Grants permits for orders to rate-limited engines.
    backpressure : BackpressureRecorder
        Records the backpressure in engines' responses to orders.
    """

    def __init__(
        self, hub: Hub, send: Send, permits: Permits, backpressure: BackpressureRecorder
    ) -> None:
        self._hub = hub
        self._send = send
        self._permits = permits
        self._backpressure = backpressure
        self._owned: dict[str, EngineOwner] = {}
        self._released_numbers: dict[str, int] = {}

    async def run(self, tasks: TaskGroup) -> None:
        """Follow the owner records until cancelled."""
        while True:
            self._stop_lost()
            self._start_new(tasks)
            await self._hub.cluster_changed.wait(MAX_IDLE_S)

    def _is_ours(self, record: OwnerRecord | None) -> bool:
        identity = self._hub.identity
        if record is None or record.owner != identity.name:
            return False
        # A record that is older than the present lease expired with an earlier lease,
        # even if the watch has not shown it yet: another daemon may own the engine.
        same_lease = record.number > self._hub.lease_revision
        return record.incarnation == identity.incarnation and same_lease

    def _stop_lost(self) -> None:
        cluster = self._hub.cluster
        for name, owner in list(self._owned.items()):
            record = cluster.owners.get(name)
            same = self._is_ours(record) and record and record.number == owner.number
            # An engine that has restarted is another `Endpoint`, and needs a new
            # controller: the old one counts orders and adapters that are gone.
            known = cluster.fleet.endpoints.get(name) is owner.endpoint
            if same and known and not self._hub.draining:
                continue
            owner.scope.cancel()
            del self._owned[name]
            self._hub.log.info("owner.ended", engine=name, number=owner.number)

    def _start_new(self, tasks: TaskGroup) -> None:
        if self._hub.draining:
            return
        for name, record in self._hub.cluster.owners.items():
            endpoint = self._hub.cluster.fleet.endpoints.get(name)
            if name in self._owned or endpoint is None or not self._is_ours(record):
                continue
            if record.number < self._released_numbers.get(name, 0):
                continue
            if self._hub.paths.is_confirmed(endpoint.record.address):
                continue
            limits = self._hub.engine_limits(endpoint.record.service)
            if limits is None:
                continue
            owner = EngineOwner(
                self._hub,
                endpoint,
                limits,
                record,
                self._send,
                self._permits,
                self._backpressure,
            )
            self._owned[name] = owner
            tasks.start_soon(owner.run)
            self._hub.log.info("owner.begun", engine=name, number=record.number)

    async def handle(self, daemon: str, message: OwnerMessage) -> None:
        """Handle a daemon's message about an engine that this daemon owns."""
        if isinstance(message, OwnershipClaimed):
            await self._release(daemon, message)
            return
        owner = self._owned.get(message.endpoint)
        if owner is None:
            return
        if isinstance(message, OwnershipReleased):
            owner.record_release(daemon, message.number)
            return
        if isinstance(message, AdapterLoadRequest):
            model = ModelRef(message.base, message.adapter)
            owner.request_adapter(daemon, model, message.version)
        elif isinstance(message, TurnRequest):
            await owner.turns.enqueue(daemon, message)
        elif isinstance(message, EngineSnapshotRequest):
            await owner.request_snapshot(daemon)
        elif isinstance(message, AdapterMissing):
            owner.record_missing_adapter(ModelRef(message.base, message.adapter))
        else:
            owner.record_calls(daemon, message)

    async def _release(self, daemon: str, message: OwnershipClaimed) -> None:
        owner = self._owned.get(message.endpoint)
        if owner is not None and owner.number < message.number:
            owner.scope.cancel()
            del self._owned[message.endpoint]
            self._released_numbers[message.endpoint] = message.number
            # An order in flight must arrive before the successor's first.
            await anyio.sleep(ORDER_TIMEOUT_S)
            self._hub.log.info(
                "owner.given_up", engine=message.endpoint, successor=daemon
            )
        await self._send(daemon, OwnershipReleased(message.endpoint, message.number))

    async def stop(self, engine: str) -> None:
        """Stop ordering an engine whose ownership is about to be released."""
        owner = self._owned.pop(engine, None)
        if owner is not None:
            owner.scope.cancel()
            # An order in flight must arrive before the successor's first.
            await anyio.sleep(ORDER_TIMEOUT_S)
            self._hub.log.info("owner.ended", engine=engine, number=owner.number)

    def forget_daemon(self, daemon: str) -> None:
        """Forget the calls of a daemon that is gone."""
        for owner in self._owned.values():
            owner.forget_daemon(daemon)
