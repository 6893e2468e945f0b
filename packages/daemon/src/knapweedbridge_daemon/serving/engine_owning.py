"""Gives orders to the engines that this daemon owns."""

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.serving import (
    Endpoint,
    EngineKeeper,
    EngineLimits,
    ModelRef,
    Order,
    OrderAnswer,
    near,
    parse_model,
)
from knapweedbridge_core.serving.messages import (
    AdapterMissed,
    AdapterWanted,
    CallsRunning,
    EngineAsked,
    EngineChanged,
    EngineTold,
    OwnerAnswered,
    OwnershipEnded,
    OwnershipTaken,
)
from knapweedbridge_core.serving.ownership import OwnerRecord
from knapweedbridge_daemon.serving.dialects import DialectError, WireRequest
from knapweedbridge_daemon.serving.http_client import BrokenError, NotSentError
from knapweedbridge_daemon.serving.hub import Hub, Send, suspended_clock_s
from knapweedbridge_daemon.serving.wire import ResponseHead

ORDER_TIMEOUT_S = 0.12
"""Bound on an order: answers take some ms, each engine gets one order at a time, and
an order without an answer is safely followed by the next."""

REPORT_TIMEOUT_S = 0.5
REPORT_PAUSE_S = 0.3
"""Pause between reports that are asked for: they are some 200 ms old, and priced."""

WORK_S = 1.0
"""Longest wait for work; what is due by time alone is seen within it."""

HEARER_LIFE_S = 5.0
"""How long a daemon of another data centre hears of an engine after its last use."""

LEARN_S = 0.05
"""Time in which daemons tell a new owner of their calls: ways take milliseconds."""

TELL_LOAD_S = 0.06
"""Pause between tellings where only the calls changed: they steer the balance among
engines, and a prompt takes some 50 ms."""

TELL_ALL_S = 3.0
"""Pause between tellings of all: a successor learns from them what is in use."""


ToOwner = (
    AdapterWanted
    | AdapterMissed
    | CallsRunning
    | EngineAsked
    | OwnershipTaken
    | OwnershipEnded
)


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
    """

    def __init__(
        self,
        hub: Hub,
        endpoint: Endpoint,
        limits: EngineLimits,
        record: OwnerRecord,
        send: Send,
    ) -> None:
        self._hub = hub
        self._endpoint = endpoint
        self._record = record
        self._send = send
        self._work = anyio.Event()
        self._alone = anyio.Event()
        self._reported_s = float("-inf")
        self._told = 0
        self._told_s = float("-inf")
        self._held_changed = True
        self._calls_changed = False
        self._askers: set[str] = set()
        self._lost: set[str] = set()
        self._used_s: dict[str, float] = {}
        self._hearers: set[str] = set()
        self._shown: dict[ModelRef, tuple[int, float]] = {}
        self._told_all_s = float("-inf")
        self.keeper = EngineKeeper(
            limits,
            {model: held.used_s for model, held in endpoint.held.items()},
            endpoint.recent,
        )
        self.scope = anyio.CancelScope()

    @property
    def number(self) -> int:
        """The fencing number of its orders."""
        return self._record.number

    def wanted(self, daemon: str, model: ModelRef, version: int) -> None:
        """Take a daemon's wish for an adapter, which is answered at once."""
        self._askers.add(daemon)
        self._used_s[daemon] = anyio.current_time()
        self.keeper.want(model, version, anyio.current_time())
        self._work.set()

    def calls_running(self, daemon: str, message: CallsRunning) -> None:
        """Take all calls of one daemon on the engine."""
        found = {parse_model(name): count for name, count in message.calls.items()}
        now_s = anyio.current_time()
        self._used_s[daemon] = now_s
        self.keeper.calls_running(daemon, found, message.unread_tokens, now_s)
        self._calls_changed = True
        self._work.set()

    def forget_daemon(self, daemon: str) -> None:
        """Drop the calls of a daemon that is gone."""
        self.keeper.forget_daemon(daemon)
        self._calls_changed = True
        self._work.set()

    def missed(self, model: ModelRef) -> None:
        """Take that the engine does not hold what it should."""
        self.keeper.missed(model, anyio.current_time())
        self._held_changed = True
        self._work.set()

    async def run(self) -> None:
        """Order the engine until its ownership ends."""
        with self.scope:
            await self._learn()
            while True:
                self._work = anyio.Event()
                await self._step()
                await self._tell()
                if not self._work.is_set():
                    await self._wait()

    def predecessor_ended(self, number: int) -> None:
        """Take that the owner before gives no more orders."""
        if number == self.number:
            self._alone.set()

    async def _await_predecessor(self) -> None:
        beliefs = self._hub.beliefs
        lost = beliefs.silent_predecessor(self._endpoint.name)
        if lost is None or lost.owner == self._hub.identity.name:
            return
        free_s = beliefs.free_since_s.get(self._endpoint.name, anyio.current_time())
        await self._send(lost.owner, OwnershipTaken(self._endpoint.name, self.number))
        with anyio.move_on_at(free_s + self._hub.lease_s):
            await self._alone.wait()
        self._hub.log.info(
            "owner.succeeded",
            engine=self._endpoint.name,
            number=self.number,
            predecessor=lost.owner,
            answered=self._alone.is_set(),
        )

    async def _learn(self) -> None:
        await self._await_predecessor()
        # An adapter that is unloaded while calls run on it blocks the engine for all
        # other orders until they end: so daemons are asked for their calls first.
        await self._ask_report()
        await self._tell()
        await anyio.sleep(LEARN_S)

    async def _wait(self) -> None:
        pause_s = WORK_S
        if self.keeper.needs_report:
            pause_s = REPORT_PAUSE_S
        elif self._calls_changed:
            pause_s = TELL_LOAD_S
        elif self.keeper.wants:
            pause_s = 0.05
        with anyio.move_on_after(pause_s):
            await self._work.wait()

    async def _step(self) -> None:
        if not self._hub.lease.may_order(suspended_clock_s()):
            return
        now_s = anyio.current_time()
        self.keeper.forget_silent(now_s)
        if self.keeper.needs_report and now_s - self._reported_s >= REPORT_PAUSE_S:
            self._reported_s = now_s
            await self._ask_report()
        order = self.keeper.next_order(anyio.current_time())
        while order is not None and self._hub.lease.may_order(suspended_clock_s()):
            await self._order(order)
            order = self.keeper.next_order(anyio.current_time())
        stuck = self.keeper.stuck_wants(anyio.current_time())
        if stuck is not None:
            self._hub.log.info("engine.stuck", engine=self._endpoint.name, **stuck)

    async def _ask_report(self) -> None:
        record = self._endpoint.record
        request = self._hub.dialects.endpoints.report(record.address)
        self._hub.measures.count("reports")
        try:
            head, body = await self._exchange(request, REPORT_TIMEOUT_S)
            if head.status != 200:
                raise DialectError(f"status {head.status}")
            report = self._hub.dialects.endpoints.read_report(body)
        except (NotSentError, BrokenError, TimeoutError, DialectError) as error:
            self._hub.log.info(
                "engine.report_failed", engine=self._endpoint.name, error=str(error)
            )
            return
        self.keeper.reported(report, anyio.current_time())
        self._held_changed = True

    async def _exchange(
        self, request: WireRequest, timeout_s: float
    ) -> tuple[ResponseHead, bytes]:
        address = self._endpoint.record.address
        with anyio.fail_after(timeout_s):
            async with self._hub.pool.connection(address) as connection:
                await connection.send(request.head, request.body)
                head = await connection.read_head(request.head, lambda headers: True)
                parts = [part async for part in connection.read_body()]
                return head, b"".join(parts)

    async def _order(self, order: Order) -> None:
        hub = self._hub
        dialect = hub.dialects.endpoints
        request = dialect.order(
            order,
            self._endpoint.name,
            self._endpoint.record.address,
            hub.identity.name,
            self.number,
        )
        answer, status = OrderAnswer.UNKNOWN, 0
        try:
            head, body = await self._exchange(request, ORDER_TIMEOUT_S)
            answer, status = dialect.read_order_answer(head, body), head.status
        except NotSentError:
            answer = OrderAnswer.REFUSED
        except (BrokenError, TimeoutError):
            # Whether it is carried out, now or later, only a later order shows.
            answer = OrderAnswer.UNKNOWN
        self.keeper.coming_elsewhere = self._coming_elsewhere()
        self.keeper.answered(order, answer, anyio.current_time())
        self._held_changed = True
        hub.measures.count("orders", f"{order.kind.value}_{answer.value}")
        hub.log.info(
            "engine.ordered",
            engine=self._endpoint.name,
            order=order.kind.value,
            model=str(order.model),
            version=order.version,
            sequence=order.sequence,
            number=self.number,
            answer=answer.value,
            status=status,
        )

    def _coming_elsewhere(self) -> int:
        now_s = anyio.current_time()
        return sum(
            each.coming(now_s)
            for each in self._hub.beliefs.fleet.engines()
            if each is not self._endpoint
        )

    def asked_for_all(self, daemon: str) -> None:
        """Take that a daemon missed a telling."""
        self._lost.add(daemon)
        self._work.set()

    async def _tell(self) -> None:
        now_s = anyio.current_time()
        askers, self._askers = self._askers, set()
        load_due = self._calls_changed and now_s - self._told_s >= TELL_LOAD_S
        if self._held_changed or load_due or self._lost:
            self._held_changed = self._calls_changed = False
            self._told_s = now_s
            await self._tell_daemons(now_s)
            return
        for daemon in askers:
            answered = OwnerAnswered(self._endpoint.name, self.number)
            await self._send(daemon, answered)

    async def _tell_daemons(self, now_s: float) -> None:
        self._told += 1
        told, changed = self._tell_all(now_s), self._tell_changes(now_s)
        self._shown = dict(self._rows(now_s))
        all_due = now_s - self._told_all_s >= TELL_ALL_S
        if all_due:
            self._told_all_s = now_s
        hearers = self._wanted_hearers(now_s)
        for daemon in hearers:
            new = daemon in self._lost or daemon not in self._hearers
            await self._send(daemon, told if all_due or new else changed)
        self._hearers = hearers
        self._lost.clear()

    def _wanted_hearers(self, now_s: float) -> set[str]:
        daemons = self._hub.beliefs.daemons
        hearers = set(near(daemons.values(), self._endpoint.record.data_centre))
        # Those farther off hear of the engine for as long as they use it.
        for daemon, used_s in list(self._used_s.items()):
            if now_s - used_s > HEARER_LIFE_S:
                del self._used_s[daemon]
            elif daemon in daemons:
                hearers.add(daemon)
        return hearers

    def _rows(self, now_s: float) -> dict[ModelRef, tuple[int, float]]:
        return {
            model: (place.version, place.ready_s)
            for model, place in self.keeper.places.items()
            if not place.leaving
        }

    def _tell_all(self, now_s: float) -> EngineTold:
        keeper = self.keeper
        held = [
            [
                model.base,
                model.adapter,
                version,
                ready_s - now_s,
                keeper.users(model),
                now_s - keeper.places[model].used_s,
            ]
            for model, (version, ready_s) in self._rows(now_s).items()
        ]
        return EngineTold(
            self._endpoint.name,
            self.number,
            self._told,
            held,
            keeper.load_by_daemon(),
            keeper.places_free(now_s),
            keeper.wants,
            sorted(keeper.bases),
        )

    def _tell_changes(self, now_s: float) -> EngineChanged:
        rows = self._rows(now_s)
        return EngineChanged(
            self._endpoint.name,
            self.number,
            self._told,
            [
                [model.base, model.adapter, version, ready_s - now_s]
                for model, (version, ready_s) in rows.items()
                if self._shown.get(model) != (version, ready_s)
            ],
            [[model.base, model.adapter] for model in self._shown if model not in rows],
            self.keeper.load_by_daemon(),
            self.keeper.places_free(now_s),
            self.keeper.wants,
            sorted(self.keeper.bases),
        )


class EngineOwners:
    """All engines that this daemon owns, by the records that it sees.

    Parameters
    ----------
    hub : Hub
        Beliefs and dialects.
    send : callable
        Sends a message to a daemon, this one too.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._owned: dict[str, EngineOwner] = {}
        self._given_up: dict[str, int] = {}

    async def run(self, tasks: TaskGroup) -> None:
        """Follow the owner records until cancelled."""
        while True:
            self._drop_lost()
            self._take_new(tasks)
            await self._hub.beliefs_changed.wait(WORK_S)

    def _is_ours(self, record: OwnerRecord | None) -> bool:
        identity = self._hub.identity
        if record is None or record.owner != identity.name:
            return False
        # A record of before the present lease is gone with the lease before, also
        # where the watch has not told so yet: another may own the engine since.
        same_lease = record.number > self._hub.lease_revision
        return record.incarnation == identity.incarnation and same_lease

    def _drop_lost(self) -> None:
        beliefs = self._hub.beliefs
        for name, owner in list(self._owned.items()):
            record = beliefs.owners.get(name)
            same = self._is_ours(record) and record and record.number == owner.number
            if same and name in beliefs.fleet.endpoints and not self._hub.draining:
                continue
            owner.scope.cancel()
            del self._owned[name]
            self._hub.log.info("owner.ended", engine=name, number=owner.number)

    def _take_new(self, tasks: TaskGroup) -> None:
        if self._hub.draining:
            return
        for name, record in self._hub.beliefs.owners.items():
            endpoint = self._hub.beliefs.fleet.endpoints.get(name)
            if name in self._owned or endpoint is None or not self._is_ours(record):
                continue
            if record.number < self._given_up.get(name, 0):
                continue
            limits = self._hub.engine_limits(endpoint.record.service)
            if limits is None:
                continue
            owner = EngineOwner(self._hub, endpoint, limits, record, self._send)
            self._owned[name] = owner
            tasks.start_soon(owner.run)
            self._hub.log.info("owner.begun", engine=name, number=record.number)

    async def heard(self, daemon: str, message: ToOwner) -> None:
        """Take a daemon's message about an engine that is owned here."""
        if isinstance(message, OwnershipTaken):
            await self._give_up(daemon, message)
            return
        owner = self._owned.get(message.endpoint)
        if owner is None:
            return
        if isinstance(message, OwnershipEnded):
            owner.predecessor_ended(message.number)
            return
        if isinstance(message, AdapterWanted):
            model = ModelRef(message.base, message.adapter)
            owner.wanted(daemon, model, message.version)
        elif isinstance(message, EngineAsked):
            owner.asked_for_all(daemon)
        elif isinstance(message, AdapterMissed):
            owner.missed(ModelRef(message.base, message.adapter))
        else:
            owner.calls_running(daemon, message)

    async def _give_up(self, daemon: str, message: OwnershipTaken) -> None:
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
        await self._send(daemon, OwnershipEnded(message.endpoint, message.number))

    def forget_daemon(self, daemon: str) -> None:
        """Drop the calls of a daemon that is gone."""
        for owner in self._owned.values():
            owner.forget_daemon(daemon)
