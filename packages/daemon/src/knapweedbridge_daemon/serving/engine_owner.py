"""Gives orders to one engine that this daemon owns."""

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
"""How long an order may be on its way: a successor's first must come after it."""

ORDER_ANSWER_S = 0.05
"""How long an order's answer is awaited. Answers take some ms, each engine gets one
order at a time, and one without an answer is safely followed by the next. Where a third
of the orders went unanswered, 0.12 s each left up to ten adapters waiting for theirs,
and 190 of 3,650 calls were refused for it."""

REPORT_TIMEOUT_S = 0.5
REPORT_INTERVAL_S = 0.3
"""Pause between reports that are asked for: they are some 200 ms old, and priced."""

WORK_S = 1.0
"""Longest wait for work; what is due by time alone is seen within it."""

TIMER_S = 0.001
"""Added to the time of a telling. Timers of the event loop end up to a millisecond
early, and a pass that found nothing due was followed by a second one."""

LEARN_S = 0.05
"""Time in which daemons tell a new owner of their calls: ways take milliseconds."""


class EngineOwner:
    """The task that orders one engine.

    Parameters
    ----------
    hub : Hub
        Beliefs and dialects.
    endpoint : Endpoint
        The engine.
    limits : EngineLimits
        What it can hold.
    record : OwnerRecord
        Under which this daemon owns it.
    send : callable
        Sends a message to a daemon.
    permits : Permits
        Lets orders go to a limited engine.
    backpressure : BackpressureRecorder
        Takes what the engine asks for in its answers to orders.
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
        self._work = Wake()
        self._alone = anyio.Event()
        self._predecessors: set[str] = set()
        self._reported_s = float("-inf")
        self._askers: set[str] = set()
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
        """The fencing number of its orders."""
        return self._record.number

    def wanted(self, daemon: str, model: ModelRef, version: int) -> None:
        """Take a daemon's wish for an adapter, which is answered at once."""
        self._askers.add(daemon)
        self._updates.add_waiter(daemon, model)
        small = self._hub.cluster.is_small_pool
        if self.controller.holds(model, version) and not small:
            # It has not heard of it yet, and no order will tell it. In a small pool
            # each change is told to all at once.
            self._updates.request_snapshot(daemon)
        self.controller.request_adapter(model, version, anyio.current_time())
        self._work.set()

    def record_calls(self, daemon: str, message: CallsReport) -> None:
        """Take all calls of one daemon on the engine."""
        start = EndpointStart(message.endpoint, message.started_ms)
        if not start.may_be(self.endpoint.start):
            # They run on another start of the engine than this one; if on a later
            # one, they are told again within a second.
            return
        found = {parse_model(name): count for name, count in message.calls.items()}
        now_s = anyio.current_time()
        for tokens in message.sent_tokens:
            self.turns.sent(tokens)
        self.turns.record_pause(message.pause_s)
        self._speeds.take(daemon, message, now_s)
        self.controller.record_calls(daemon, found, message.unread_tokens, now_s)
        self._updates.mark_calls_changed()
        self._note_calls()

    def _note_calls(self) -> None:
        """Have other calls looked at; at once where an order may depend on them."""
        if self.controller.wants:
            self._work.set()
        else:
            small = self._hub.cluster.is_small_pool
            self._work.set_by(self._updates.due_s(small) + TIMER_S)

    def forget_daemon(self, daemon: str) -> None:
        """Drop the calls of a daemon that is gone."""
        self.controller.forget_daemon(daemon)
        self._updates.mark_calls_changed()
        self._work.set()

    def missed(self, model: ModelRef) -> None:
        """Take that the engine does not hold what it should."""
        self.controller.missed(model, anyio.current_time())
        self._updates.mark_adapters_changed()
        self._work.set()

    async def run(self) -> None:
        """Order the engine until its ownership ends."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.turns.run)
                await self._learn()
                await self._run_passes()

    async def _run_passes(self) -> None:
        while True:
            self._work.clear()
            await self._step()
            await self._tell()
            now_s = anyio.current_time()
            await self._work.wait_until(now_s + self._pause_s(now_s))

    def predecessor_ended(self, daemon: str, number: int) -> None:
        """Take that an owner of before gives no more orders."""
        if number != self.number:
            return
        self._predecessors.discard(daemon)
        if not self._predecessors:
            self._alone.set()

    async def _await_predecessors(self) -> None:
        hub, name = self._hub, self.endpoint.name
        lost = [
            each
            for each in hub.cluster.silent_predecessors(
                name, anyio.current_time(), hub.lease_s
            )
            if each.record.owner != hub.identity.name
        ]
        if not lost:
            return
        self._predecessors = {each.record.owner for each in lost}
        predecessors = sorted(self._predecessors)
        for owner in predecessors:
            await self._send(owner, OwnershipClaimed(name, self.number))
        with anyio.move_on_at(max(each.lost_s for each in lost) + hub.lease_s):
            await self._alone.wait()
        self._hub.log.info(
            "owner.succeeded",
            engine=self.endpoint.name,
            number=self.number,
            predecessors=predecessors,
            answered=self._alone.is_set(),
        )

    async def _learn(self) -> None:
        await self._await_predecessors()
        # An adapter that is unloaded while calls run on it blocks the engine for all
        # other orders until they end: so daemons are asked for their calls first.
        await self._ask_report()
        await self._tell()
        await anyio.sleep(LEARN_S)

    def _pause_s(self, now_s: float) -> float:
        """Return when to look again at what is due by time alone, in seconds."""
        small = self._hub.cluster.is_small_pool
        pause_s = WORK_S if small else IDLE_UPDATE_INTERVAL_S
        if self.controller.needs_report:
            pause_s = REPORT_INTERVAL_S
        elif self.controller.wants:
            pause_s = LOAD_UPDATE_INTERVAL_S if self._updates.has_changes else 0.05
        if self._updates.has_changes:
            pause_s = min(pause_s, self._updates.due_s(small) + TIMER_S - now_s)
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
            await self._ask_report()
            now_s = anyio.current_time()
        while self.controller.next_order(now_s) is not None:
            if not await self._permits.take(self.endpoint, is_order=True):
                break
            # What is due may have changed while the permit was awaited.
            order = self.controller.next_order(anyio.current_time())
            if order is None or not self._hub.lease.may_order(suspended_clock_s()):
                break
            await self._order(order)
            now_s = anyio.current_time()
        stuck = self.controller.describe_stuck_requests(anyio.current_time())
        if stuck is not None:
            self._hub.log.info("engine.stuck", engine=self.endpoint.name, **stuck)

    async def _ask_report(self) -> None:
        record = self.endpoint.record
        request = self._hub.dialects.endpoints.report(record.address)
        self._hub.metrics.count("reports")
        try:
            head, body = await self._exchange(request, REPORT_TIMEOUT_S)
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
        if self._is_of_another_start(report):
            return
        self.controller.apply_report(report, anyio.current_time())
        self._updates.mark_adapters_changed()

    def _is_of_another_start(self, report: EngineReport) -> bool:
        """Tell whether a report is of another start of the engine than is known.

        Its counts begin anew, so the keeper of before would take every report for an
        outdated one. `EngineOwners` begins with a new keeper.
        """
        start = EndpointStart(self.endpoint.name, report.started_ms)
        if start.may_be(self.endpoint.start):
            return False
        if self._hub.cluster.fleet.restarted(start, anyio.current_time()):
            self._hub.cluster_changed.tell()
        return True

    async def _exchange(
        self, request: WireRequest, timeout_s: float
    ) -> tuple[ResponseHead, bytes]:
        # Orders from two hosts count as those of two owners, whoever has sent them.
        destination = Destination(
            self.endpoint.record.address, self.endpoint.name, is_direct=True
        )
        with anyio.fail_after(timeout_s):
            async with self._hub.pool.connection(destination) as connection:
                return await connection.call(request)

    async def _order(self, order: Order) -> None:
        hub = self._hub
        dialect = hub.dialects.endpoints
        request = dialect.order(
            order,
            self.endpoint.name,
            self.endpoint.record.address,
            hub.identity.name,
            self.number,
        )
        answer, status = OrderAnswer.UNKNOWN, 0
        sent_s = anyio.current_time()
        try:
            head, body = await self._exchange(request, ORDER_ANSWER_S)
            answer, status = dialect.read_order_answer(head, body), head.status
            await self._backpressure.take(
                self.endpoint, dialect.read_response(head), sent_s
            )
        except NotSentError:
            answer = OrderAnswer.REFUSED
        except (ConnectionBrokenError, TimeoutError):
            # Whether it is carried out, now or later, only a later order shows.
            answer = OrderAnswer.UNKNOWN
        if order.kind is OrderKind.LOAD:
            # Only the time of a load depends on them.
            self._count_others()
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
        )

    def _count_others(self) -> None:
        now_s = anyio.current_time()
        fleet = self._hub.cluster.fleet
        engines = fleet.of_service(self.endpoint.record.service, now_s)
        self.controller.engines = len(engines)
        self.controller.loading_elsewhere = sum(
            each.coming(now_s) for each in engines if each is not self.endpoint
        )

    async def request_snapshot(self, daemon: str) -> None:
        """Answer a daemon that missed a telling, or has a call to place."""
        self._updates.request_snapshot(daemon)
        for telling in self._updates.take_requested(anyio.current_time()):
            await self._send(telling.daemon, telling.message)

    async def _tell(self) -> None:
        askers, self._askers = self._askers, set()
        cluster, now_s = self._hub.cluster, anyio.current_time()
        subscribers = chain.from_iterable(cluster.relays.values())
        small = cluster.is_small_pool
        told_to = list(cluster.daemons if small else subscribers)
        for telling in self._updates.tell(told_to, small, now_s):
            askers.discard(telling.daemon)
            await self._send(telling.daemon, telling.message)
        for daemon in askers:
            answered = OwnerAck(self.endpoint.name, self.number)
            await self._send(daemon, answered)
