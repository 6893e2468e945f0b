"""The engines that this daemon owns, by the records in the store."""

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
    ORDER_TIMEOUT_S,
    WORK_S,
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
    """All engines that this daemon owns, by the records that it sees.

    Parameters
    ----------
    hub : Hub
        Beliefs and dialects.
    send : callable
        Sends a message to a daemon, this one too.
    permits : Permits
        Lets orders go to limited engines.
    backpressure : BackpressureRecorder
        Takes what engines ask for in their answers to orders.
    """

    def __init__(
        self, hub: Hub, send: Send, permits: Permits, backpressure: BackpressureRecorder
    ) -> None:
        self._hub = hub
        self._send = send
        self._permits = permits
        self._backpressure = backpressure
        self._owned: dict[str, EngineOwner] = {}
        self._given_up: dict[str, int] = {}

    async def run(self, tasks: TaskGroup) -> None:
        """Follow the owner records until cancelled."""
        while True:
            self._drop_lost()
            self._take_new(tasks)
            await self._hub.cluster_changed.wait(WORK_S)

    def _is_ours(self, record: OwnerRecord | None) -> bool:
        identity = self._hub.identity
        if record is None or record.owner != identity.name:
            return False
        # A record of before the present lease is gone with the lease before, also
        # where the watch has not told so yet: another may own the engine since.
        same_lease = record.number > self._hub.lease_revision
        return record.incarnation == identity.incarnation and same_lease

    def _drop_lost(self) -> None:
        cluster = self._hub.cluster
        for name, owner in list(self._owned.items()):
            record = cluster.owners.get(name)
            same = self._is_ours(record) and record and record.number == owner.number
            # An engine that has started again is another `Endpoint`, and needs a new
            # keeper: the one of before counts orders and adapters that are gone.
            known = cluster.fleet.endpoints.get(name) is owner.endpoint
            if same and known and not self._hub.draining:
                continue
            owner.scope.cancel()
            del self._owned[name]
            self._hub.log.info("owner.ended", engine=name, number=owner.number)

    def _take_new(self, tasks: TaskGroup) -> None:
        if self._hub.draining:
            return
        for name, record in self._hub.cluster.owners.items():
            endpoint = self._hub.cluster.fleet.endpoints.get(name)
            if name in self._owned or endpoint is None or not self._is_ours(record):
                continue
            if record.number < self._given_up.get(name, 0):
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
        """Take a daemon's message about an engine that is owned here."""
        if isinstance(message, OwnershipClaimed):
            await self._give_up(daemon, message)
            return
        owner = self._owned.get(message.endpoint)
        if owner is None:
            return
        if isinstance(message, OwnershipReleased):
            owner.predecessor_ended(daemon, message.number)
            return
        if isinstance(message, AdapterLoadRequest):
            model = ModelRef(message.base, message.adapter)
            owner.wanted(daemon, model, message.version)
        elif isinstance(message, TurnRequest):
            await owner.turns.enqueue(daemon, message)
        elif isinstance(message, EngineSnapshotRequest):
            await owner.request_snapshot(daemon)
        elif isinstance(message, AdapterMissing):
            owner.missed(ModelRef(message.base, message.adapter))
        else:
            owner.record_calls(daemon, message)

    async def _give_up(self, daemon: str, message: OwnershipClaimed) -> None:
        owner = self._owned.get(message.endpoint)
        if owner is not None and owner.number < message.number:
            owner.scope.cancel()
            del self._owned[message.endpoint]
            self._given_up[message.endpoint] = message.number
            # An order that is on its way must arrive before the successor's first.
            await anyio.sleep(ORDER_TIMEOUT_S)
            self._hub.log.info(
                "owner.given_up", engine=message.endpoint, successor=daemon
            )
        await self._send(daemon, OwnershipReleased(message.endpoint, message.number))

    async def stop(self, engine: str) -> None:
        """Give no more orders to an engine, whose record is about to be given up."""
        owner = self._owned.pop(engine, None)
        if owner is not None:
            owner.scope.cancel()
            # An order that is on its way must arrive before the successor's first.
            await anyio.sleep(ORDER_TIMEOUT_S)
            self._hub.log.info("owner.ended", engine=engine, number=owner.number)

    def forget_daemon(self, daemon: str) -> None:
        """Drop the calls of a daemon that is gone."""
        for owner in self._owned.values():
            owner.forget_daemon(daemon)
