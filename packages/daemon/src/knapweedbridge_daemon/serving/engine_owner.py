"""Send orders to one engine that this daemon owns."""

from itertools import chain

import anyio

from knapweedbridge_core.serving import (
    Endpoint,
    EndpointStart,
    EngineController,
    EngineLimits,
    EngineReport,
    EngineUpdates,
    ModelRef,
    Order,
    OrderAnswer,
    OrderKind,
    Takeover,
    parse_model,
)
from knapweedbridge_core.serving.engine_updates import (
    IDLE_UPDATE_INTERVAL_S,
    LOAD_UPDATE_INTERVAL_S,
)
from knapweedbridge_core.serving.messages import (
    CallsReport,
    OwnerAck,
    OwnershipClaimed,
)
from knapweedbridge_core.serving.ownership import OwnerRecord
from knapweedbridge_core.serving.prompt_pacing import LEAST_PAUSE_S
from knapweedbridge_daemon.serving.backpressure_recorder import BackpressureRecorder
from knapweedbridge_daemon.serving.dialects import DialectError
from knapweedbridge_daemon.serving.http_client import (
    ConnectionBrokenError,
    Destination,
    NotSentError,
)
from knapweedbridge_daemon.serving.hub import Hub, Send, suspended_clock_s
from knapweedbridge_daemon.serving.permits import Permits
from knapweedbridge_daemon.serving.speed_tracker import SpeedTracker
from knapweedbridge_daemon.serving.turn_scheduler import TurnScheduler
from knapweedbridge_daemon.serving.wake import Wake
from knapweedbridge_daemon.serving.wire import ResponseHead, WireRequest

ORDER_TIMEOUT_S = 0.12
"""How long an order may be in flight: a successor's first order must come after it."""

ORDER_RESPONSE_TIMEOUT_S = 0.05
"""Timeout for the response to an order. Responses take some milliseconds, each engine
gets one order at a time, and the next may safely follow one without a response. With a
third of the orders unanswered, a timeout of 0.12 s left up to ten adapters waiting, and
190 of 3,650 calls were refused for it."""

REPORT_TIMEOUT_S = 0.5
REPORT_INTERVAL_S = 0.3
"""Interval between requests for a report: reports are some 200 ms old, and charged."""

MAX_IDLE_S = 1.0
"""Longest pause between passes, and so the delay of what is due by time alone."""

TIMER_MARGIN_S = 0.001
"""Added to the time of an update. Timers of the event loop fire up to a millisecond
early, and a pass that finds nothing due is followed by a second one."""

CALLS_REPORT_WAIT_S = 0.05
"""Time in which daemons report their calls to a new owner; messages take ms."""


class EngineOwner:
    """Task that sends orders to one engine.

    Parameters
    ----------
    hub : Hub
        Shared state.
    endpoint : Endpoint
        The engine.
    limits : EngineLimits
        Capacity of the engine.
    record : OwnerRecord
        Record by which this daemon owns the engine.
    send : callable
        Sends a message to a daemon.
    permits : Permits
        Grants permits for orders to a rate-limited engine.
    backpressure : BackpressureRecorder
        Records the backpressure in the engine's responses to orders.
    """

    def __init__(
        self,
        hub: Hub,
        endpoint: Endpoint,
        limits: EngineLimits,
        record: OwnerRecord,
        send: Send,
        permits: Permits,
        backpressure: BackpressureRecorder,
    ) -> None:
        self._permits = permits
        self._backpressure = backpressure
        self._hub = hub
        self.endpoint = endpoint
        self._record = record
        self._send = send
        self._wake = Wake()
        self._predecessors_released = anyio.Event()
        self._takeover = Takeover()
        self._reported_s = float("-inf")
        self._requesters: set[str] = set()
        self.controller = EngineController(
            limits,
            {model: held.used_s for model, held in endpoint.held.items()},
            endpoint.recent,
            hub.load_times,
        )
        self._speeds = SpeedTracker(hub, endpoint, self.controller)
        self._updates = EngineUpdates(endpoint.start, record.number, self.controller)
        long_prompts, speed = self.controller.long_prompts, self.controller.speed
        self.turns = TurnScheduler(
            hub, endpoint, record.number, long_prompts, send, speed
        )
        self.scope = anyio.CancelScope()

    @property
    def number(self) -> int:
        """Fencing number of the orders."""
        return self._record.number

    def request_adapter(self, daemon: str, model: ModelRef, version: int) -> None:
        """Record a daemon's request for an adapter, which is acknowledged at once."""
        self._requesters.add(daemon)
        self._updates.add_waiter(daemon, model)
        small = self._hub.cluster.is_small_pool
        if self.controller.holds(model, version) and not small:
            # The daemon does not know of the adapter yet, and no order will show it.
            # In a small pool each change goes to all daemons at once.
            self._updates.request_snapshot(daemon)
        self.controller.request_adapter(model, version, anyio.current_time())
        self._wake.set()

    def record_calls(self, daemon: str, message: CallsReport) -> None:
        """Record all calls of one daemon on the engine."""
        start = EndpointStart(message.endpoint, message.started_ms)
        if not start.may_be(self.endpoint.start):
            # The calls run on another start of the engine than this one. If it is a
            # later one, they are reported again within a second.
            return
        found = {parse_model(name): count for name, count in message.calls.items()}
        now_s = anyio.current_time()
        for tokens in message.sent_tokens:
            self.turns.sent(tokens)
        self.turns.record_pause(message.pause_s)
        self._speeds.take(daemon, message, now_s)
        self.controller.record_calls(daemon, found, message.unread_tokens, now_s)
        self._updates.mark_calls_changed()
        self._schedule_calls_update()

    def _schedule_calls_update(self) -> None:
        """Schedule a pass for changed calls; at once if an order may depend on them."""
        if self.controller.wants:
            self._wake.set()
        else:
            small = self._hub.cluster.is_small_pool
            self._wake.set_by(self._updates.due_s(small) + TIMER_MARGIN_S)

    def forget_daemon(self, daemon: str) -> None:
        """Forget the calls of a daemon that is gone."""
        self.controller.forget_daemon(daemon)
        self._updates.mark_calls_changed()
        self._wake.set()

    def record_missing_adapter(self, model: ModelRef) -> None:
        """Record that the engine does not hold an adapter that it should hold."""
        self.controller.missed(model, anyio.current_time())
        self._updates.mark_adapters_changed()
        self._wake.set()

    async def run(self) -> None:
        """Send orders until the ownership ends."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.turns.run)
                await self._collect_state()
                await self._run_passes()

    async def _run_passes(self) -> None:
        while True:
            self._wake.clear()
            await self._step()
            await self._send_updates()
            now_s = anyio.current_time()
            await self._wake.wait_until(now_s + self._next_pause_s(now_s))

    def record_release(self, daemon: str, number: int) -> None:
        """Record that a former owner has stopped sending orders."""
        if number != self.number:
            return
        now_s = anyio.current_time()
        self._takeover.record_release(daemon, now_s)
        if not self._takeover.silent(now_s):
            self._predecessors_released.set()

    async def _await_predecessors(self) -> None:
        hub, name, now_s = self._hub, self.endpoint.name, anyio.current_time()
        until_s = {
            each.record.owner: each.lost_s + hub.lease_s
            for each in hub.cluster.silent_predecessors(name, now_s, hub.lease_s)
            if each.record.owner != hub.identity.name
        }
        if not until_s:
            return
        self._takeover = Takeover(until_s, now_s)
        for owner in sorted(until_s):
            await self._send(owner, OwnershipClaimed(name, self.number))
        with anyio.move_on_at(self._takeover.free_s):
            await self._predecessors_released.wait()
        hub.log.info(
            "owner.succeeded",
            engine=name,
            number=self.number,
            predecessors=sorted(until_s),
            answered=self._predecessors_released.is_set(),
        )

    async def _collect_state(self) -> None:
        await self._await_predecessors()
        # Unloading an adapter with running calls blocks the engine for all other orders
        # until they end, so the daemons report their calls first.
        await self._request_report()
        await self._send_updates()
        await anyio.sleep(CALLS_REPORT_WAIT_S)

    def _next_pause_s(self, now_s: float) -> float:
        """Return the longest pause until the next pass, in seconds."""
        small = self._hub.cluster.is_small_pool
        pause_s = MAX_IDLE_S if small else IDLE_UPDATE_INTERVAL_S
        if self.controller.needs_report:
            pause_s = REPORT_INTERVAL_S
        elif self.controller.wants:
            pause_s = LOAD_UPDATE_INTERVAL_S if self._updates.has_changes else 0.05
        if self._updates.has_changes:
            pause_s = min(pause_s, self._updates.due_s(small) + TIMER_MARGIN_S - now_s)
        return max(LEAST_PAUSE_S, pause_s)

    async def _step(self) -> None:
        if not self._hub.lease.may_order(suspended_clock_s()):
            return
        if self._hub.paths.is_cut(self.endpoint.record.address):
            return
        now_s = anyio.current_time()
        self.controller.forget_silent(now_s)
        if (
            self.controller.needs_report
            and now_s - self._reported_s >= REPORT_INTERVAL_S
        ):
            self._reported_s = now_s
            await self._request_report()
            now_s = anyio.current_time()
        while self.controller.next_order(now_s) is not None:
            if not await self._permits.take(self.endpoint, is_order=True):
                break
            # The next order may have changed while waiting for the permit.
            order = self.controller.next_order(anyio.current_time())
            if order is None or not self._hub.lease.may_order(suspended_clock_s()):
                break
            await self._send_order(order)
            now_s = anyio.current_time()
        stuck = self.controller.describe_stuck_requests(anyio.current_time())
        if stuck is not None:
            self._hub.log.info("engine.stuck", engine=self.endpoint.name, **stuck)

    async def _request_report(self) -> None:
        record = self.endpoint.record
        request = self._hub.dialects.endpoints.report(record.address)
        self._hub.metrics.count("reports")
        try:
            head, body, _ = await self._exchange(request, REPORT_TIMEOUT_S)
            if head.status != 200:
                raise DialectError(f"status {head.status}")
            report = self._hub.dialects.endpoints.read_report(body)
        except (
            NotSentError,
            ConnectionBrokenError,
            TimeoutError,
            DialectError,
        ) as error:
            self._hub.log.info(
                "engine.report_failed", engine=self.endpoint.name, error=str(error)
            )
            return
        if self._detect_restart(report):
            return
        expected = self.controller.sequence
        is_applied = self.controller.apply_report(report, anyio.current_time())
        if report.sequence < expected:
            self._hub.log.info(
                "engine.report_behind",
                engine=self.endpoint.name,
                sequence=expected,
                reported=report.sequence,
                applied=is_applied,
            )
        self._updates.mark_adapters_changed()

    def _detect_restart(self, report: EngineReport) -> bool:
        """Return whether a report is of another start of the engine than the known one.

        Its counts begin anew, so the present controller would take every report for an
        outdated one. `EngineOwners` creates a new controller.
        """
        start = EndpointStart(self.endpoint.name, report.started_ms)
        if start.may_be(self.endpoint.start):
            return False
        if self._hub.cluster.fleet.restarted(start, anyio.current_time()):
            self._hub.cluster_changed.tell()
        return True

    async def _exchange(
        self, request: WireRequest, timeout_s: float
    ) -> tuple[ResponseHead, bytes, int]:
        """Return a response, and how many requests its connection has carried."""
        # Never through a tunnel: orders that arrive from two hosts count as those of
        # two owners.
        destination = Destination(
            self.endpoint.record.address, self.endpoint.name, is_direct=True
        )
        with anyio.fail_after(timeout_s):
            async with self._hub.pool.connection(destination) as connection:
                head, body = await connection.call(request)
                return head, body, connection.requests

    async def _send_order(self, order: Order) -> None:
        hub = self._hub
        dialect = hub.dialects.endpoints
        request = dialect.order(
            order,
            self.endpoint.name,
            self.endpoint.record.address,
            hub.identity.name,
            self.number,
        )
        answer, status, carried = OrderAnswer.UNKNOWN, 0, 0
        answered_id: str | None = None
        sent_s = anyio.current_time()
        hub.succession.record_action(self.endpoint.name, sent_s)
        try:
            head, body, carried = await self._exchange(
                request, ORDER_RESPONSE_TIMEOUT_S
            )
            answer, status = dialect.read_order_answer(head, body), head.status
            details = dialect.read_response(head)
            answered_id = details.call_id
            await self._backpressure.take(self.endpoint, details, sent_s)
        except NotSentError:
            answer = OrderAnswer.REFUSED
        except (ConnectionBrokenError, TimeoutError):
            # Only a later order shows whether this one is carried out.
            answer = OrderAnswer.UNKNOWN
        if order.kind is OrderKind.LOAD:
            # Only the load time depends on the loads of other engines.
            self._count_other_loads()
        self.controller.answered(order, answer, anyio.current_time())
        self._updates.mark_adapters_changed()
        if order.kind is OrderKind.LOAD and answer is not OrderAnswer.UNKNOWN:
            self._updates.record_load_ordered(order.model)
        hub.metrics.count("orders", f"{order.kind.value}_{answer.value}")
        hub.log.info(
            "engine.ordered",
            engine=self.endpoint.name,
            order=order.kind.value,
            model=str(order.model),
            version=order.version,
            sequence=order.sequence,
            number=self.number,
            answer=answer.value,
            status=status,
            carried=carried,
            answered_id=answered_id,
        )

    def _count_other_loads(self) -> None:
        now_s = anyio.current_time()
        fleet = self._hub.cluster.fleet
        engines = fleet.of_service(self.endpoint.record.service, now_s)
        self.controller.engines = len(engines)
        self.controller.loading_elsewhere = sum(
            each.coming(now_s) for each in engines if each is not self.endpoint
        )

    async def request_snapshot(self, daemon: str) -> None:
        """Send a snapshot to a daemon that missed an update or has a call to place."""
        self._updates.request_snapshot(daemon)
        for update in self._updates.take_requested(anyio.current_time()):
            await self._send(update.daemon, update.message)

    async def _send_updates(self) -> None:
        requesters, self._requesters = self._requesters, set()
        cluster, now_s = self._hub.cluster, anyio.current_time()
        subscribers = chain.from_iterable(cluster.relays.values())
        small = cluster.is_small_pool
        recipients = list(cluster.daemons if small else subscribers)
        for update in self._updates.tell(recipients, small, now_s):
            requesters.discard(update.daemon)
            await self._send(update.daemon, update.message)
        for daemon in requesters:
            ack = OwnerAck(self.endpoint.name, self.number)
            await self._send(daemon, ack)
