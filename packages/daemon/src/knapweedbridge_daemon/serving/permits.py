"""Asks for permits to send calls to limited and brittle endpoints, and gives them."""

import itertools
from dataclasses import dataclass, field
from itertools import chain

import anyio

from knapweedbridge_core.serving import (
    Endpoint,
    EndpointStart,
    PermitBucket,
    RejectionBudget,
    permit_coordinator,
    understands,
)
from knapweedbridge_core.serving.permit_messages import (
    CallRejected,
    CapacityRequest,
    LimitReport,
    LimitUpdate,
    PermitRequest,
    PermitResponse,
)
from knapweedbridge_core.serving.permits import (
    TAKE_OVER_S,
    UNLEASED_SHARE,
)
from knapweedbridge_daemon.serving.hub import Hub, Send, suspended_clock_s
from knapweedbridge_daemon.serving.update_relay import UpdateRelay

ANSWER_S = 0.05
"""How long a keeper's answer is awaited: ways take milliseconds."""

SILENT_S = 0.2
"""How long an endpoint is left alone whose keeper gave no answer."""

PermitMessage = (
    LimitReport
    | LimitUpdate
    | PermitRequest
    | PermitResponse
    | CapacityRequest
    | CallRejected
)


@dataclass(slots=True, eq=False)
class Question:
    """A permit that was asked for."""

    answered: anyio.Event = field(default_factory=anyio.Event)
    wait_s: float = SILENT_S


class Permits:
    """The permits of limited endpoints, as far as this daemon has to do with them.

    Parameters
    ----------
    hub : Hub
        Beliefs, which say who keeps what.
    send : callable
        Sends a message to a daemon, this one too.
    relaying : Relaying
        Knows whom a relay hands news on to.
    """

    def __init__(self, hub: Hub, send: Send, relaying: UpdateRelay) -> None:
        self._hub = hub
        self._send = send
        self._relaying = relaying
        self._tickets = itertools.count(1)
        self._questions: dict[int, Question] = {}
        self._buckets: dict[str, PermitBucket] = {}
        self._rooms: dict[str, RejectionBudget] = {}

    async def take(self, endpoint: Endpoint, is_order: bool = False) -> bool:
        """Tell whether a call may be sent to an endpoint now, and count it as sent.

        Where it may not, the endpoint is closed to calls for a while: it rests, or its
        keeper gave no permit.

        Parameters
        ----------
        is_order : bool
            Whether it is an order, for which no room is needed.
        """
        pressure, now_s = endpoint.pressure, anyio.current_time()
        if pressure.closed_until_s > now_s:
            return False
        if pressure.is_brittle and not is_order and not await self._has_room(endpoint):
            return False
        if not pressure.is_limited:
            return True
        ticket = next(self._tickets)
        asked = PermitRequest(*self._limit_of(endpoint), ticket)
        return await self._is_permitted(endpoint, ticket, asked)

    async def _has_room(self, endpoint: Endpoint) -> bool:
        """Return whether a brittle endpoint bears it if it turns a call away."""
        per_s = endpoint.pressure.brittle_per_s
        assert per_s is not None
        ticket = next(self._tickets)
        asked = CapacityRequest(
            endpoint.name, endpoint.record.started_ms, per_s, ticket
        )
        keeper = self._coordinator(endpoint)
        if keeper and not understands(self._hub.cluster.protocol_of(keeper), asked):
            return True
        return await self._is_permitted(endpoint, ticket, asked)

    async def _is_permitted(
        self, endpoint: Endpoint, ticket: int, asked: PermitRequest | CapacityRequest
    ) -> bool:
        wait_s = await self._ask(endpoint, ticket, asked)
        self._hub.metrics.count("permits", "refused" if wait_s else "taken")
        if wait_s:
            until_s = anyio.current_time() + wait_s
            endpoint.pressure.record_no_permit(until_s)
        return not wait_s

    async def _ask(
        self, endpoint: Endpoint, ticket: int, asked: PermitRequest | CapacityRequest
    ) -> float:
        """Ask for a permit; return 0.0 where it is given, else when to ask again."""
        keeper = self._coordinator(endpoint)
        if keeper is None:
            return SILENT_S
        question = self._questions[ticket] = Question()
        try:
            await self._send(keeper, asked)
            with anyio.move_on_after(ANSWER_S):
                await question.answered.wait()
        finally:
            del self._questions[ticket]
        if not question.answered.is_set():
            self._hub.metrics.count("permits", "unanswered")
        return question.wait_s

    def _coordinator(self, endpoint: Endpoint) -> str | None:
        candidates = self._hub.cluster.quota_coordinators
        return permit_coordinator(
            endpoint.name, endpoint.record.data_centre, candidates
        )

    @staticmethod
    def _limit_of(endpoint: Endpoint) -> tuple[str, int, float | None, float]:
        """Return the fields of a message that tells an endpoint's limit."""
        pressure = endpoint.pressure
        age_s = anyio.current_time() - pressure.limit_heard_s
        return endpoint.name, endpoint.record.started_ms, pressure.limit_per_s, age_s

    async def turned_away(self, endpoint: Endpoint) -> None:
        """Notify a brittle endpoint's keeper that it had no room for a call."""
        keeper = self._coordinator(endpoint)
        if keeper is not None:
            message = CallRejected(endpoint.name, endpoint.record.started_ms)
            await self._send(keeper, message)

    async def report_limit(self, endpoint: Endpoint) -> None:
        """Tell an endpoint's keeper of the limit that an answer has just named."""
        keeper = self._coordinator(endpoint)
        if keeper is not None:
            await self._send(keeper, LimitReport(*self._limit_of(endpoint)))

    async def handle(self, daemon: str, message: PermitMessage) -> None:
        """Take a daemon's question or news, or a keeper's."""
        if isinstance(message, PermitResponse):
            self._take_answer(message)
            return
        endpoint = self._endpoint_of(message)
        if endpoint is None:
            return
        if isinstance(message, LimitUpdate):
            self._take_limit(endpoint, message)
            await self._hand_on(message)
        elif self._coordinator(endpoint) == self._hub.identity.name:
            await self._take_as_keeper(daemon, endpoint, message)
        elif isinstance(message, PermitRequest | CapacityRequest):
            # The asker will have heard of the new keeper by then.
            answer = PermitResponse(endpoint.name, message.ticket, SILENT_S)
            await self._send(daemon, answer)

    def _take_answer(self, message: PermitResponse) -> None:
        question = self._questions.get(message.ticket)
        if question is not None:
            question.wait_s = message.wait_s
            question.answered.set()

    def _endpoint_of(
        self,
        message: LimitReport
        | LimitUpdate
        | PermitRequest
        | CapacityRequest
        | CallRejected,
    ) -> Endpoint | None:
        endpoint = self._hub.cluster.fleet.endpoints.get(message.endpoint)
        start = EndpointStart(message.endpoint, message.started_ms)
        return endpoint if endpoint and endpoint.start.may_be(start) else None

    def _take_limit(self, endpoint: Endpoint, message: LimitUpdate) -> None:
        before_per_s = endpoint.pressure.limit_per_s
        heard_s = anyio.current_time() - message.age_s
        if endpoint.pressure.update_limit(message.limit_per_s, heard_s):
            self._hub.log.info(
                "endpoint.limited",
                endpoint=endpoint.name,
                limit_per_s=message.limit_per_s,
                before_per_s=before_per_s,
                source="keeper",
            )
            self._hub.engines_changed.tell()

    async def _hand_on(self, message: LimitUpdate) -> None:
        for name in self._relaying.list_subscribers():
            await self._send(name, message)

    async def _take_as_keeper(
        self,
        daemon: str,
        endpoint: Endpoint,
        message: LimitReport | PermitRequest | CapacityRequest | CallRejected,
    ) -> None:
        if isinstance(message, CallRejected):
            self._room(endpoint).turned_away(anyio.current_time())
        elif isinstance(message, CapacityRequest):
            await self._answer_room(daemon, endpoint, message)
        else:
            await self._take_limit_as_keeper(daemon, endpoint, message)

    async def _answer_room(
        self, daemon: str, endpoint: Endpoint, message: CapacityRequest
    ) -> None:
        room, now_s = self._room(endpoint), anyio.current_time()
        wait_s = room.take(message.turned_away_per_s, now_s)
        self._hub.metrics.count("permits", "not_given" if wait_s else "given")
        answer = PermitResponse(endpoint.name, message.ticket, wait_s)
        await self._send(daemon, answer)

    def _room(self, endpoint: Endpoint) -> RejectionBudget:
        room = self._rooms.get(endpoint.name)
        if room is None:
            self._forget_others()
            room = self._rooms[endpoint.name] = RejectionBudget()
        return room

    async def _take_limit_as_keeper(
        self, daemon: str, endpoint: Endpoint, message: LimitReport | PermitRequest
    ) -> None:
        now_s = anyio.current_time()
        pacer = self._pacer(endpoint, now_s)
        heard_s = now_s - message.age_s
        if pacer.update_limit(message.limit_per_s, heard_s, now_s):
            await self._tell_all(endpoint, pacer, now_s)
        if isinstance(message, PermitRequest):
            leased = self._hub.lease.may_order(suspended_clock_s())
            wait_s = pacer.take(now_s, 1.0 if leased else UNLEASED_SHARE)
            self._hub.metrics.count("permits", "not_given" if wait_s else "given")
            answer = PermitResponse(endpoint.name, message.ticket, wait_s)
            await self._send(daemon, answer)

    def _pacer(self, endpoint: Endpoint, now_s: float) -> PermitBucket:
        pacer = self._buckets.get(endpoint.name)
        if pacer is None:
            self._forget_others()
            # Whoever kept the endpoint before may give permits for a moment yet.
            pacer = self._buckets[endpoint.name] = PermitBucket(now_s + TAKE_OVER_S)
        return pacer

    def _forget_others(self) -> None:
        """Drop the pacers of endpoints that are gone or have another keeper."""
        fleet = self._hub.cluster.fleet
        for name in {*self._buckets, *self._rooms}:
            endpoint = fleet.endpoints.get(name)
            if (
                endpoint is None
                or self._coordinator(endpoint) != self._hub.identity.name
            ):
                self._buckets.pop(name, None)
                self._rooms.pop(name, None)

    async def _tell_all(
        self, endpoint: Endpoint, pacer: PermitBucket, now_s: float
    ) -> None:
        """Tell all daemons of a limit, through the relays in a large pool."""
        cluster = self._hub.cluster
        told = LimitUpdate(
            endpoint.name,
            endpoint.record.started_ms,
            pacer.limit_per_s,
            pacer.heard_age_s(now_s),
        )
        small = cluster.is_small_pool
        names = cluster.daemons if small else chain(*cluster.relays.values())
        for name in {*names, self._hub.identity.name}:
            await self._send(name, told)
