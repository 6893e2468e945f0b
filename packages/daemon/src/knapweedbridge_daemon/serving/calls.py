"""The life of one call: routed, placed, sent, passed on, and ended once."""

import math
import random
from dataclasses import dataclass, field

import anyio

from knapweedbridge_core.serving import (
    AttemptEnd,
    CallKind,
    CallProgress,
    Endpoint,
    LoadOn,
    ModelRef,
    NoEngine,
    PlacementAsk,
    PlainAsk,
    PricedPlacement,
    Route,
    SendTo,
    TooLate,
    WaitFor,
    choose_plain,
    first_byte_patience_s,
    first_event_patience_s,
    is_small,
    may_send_again,
    reading_s,
    resumes,
)
from knapweedbridge_core.serving.messages import AdapterMissed, AdapterWanted
from knapweedbridge_core.serving.placement import Choice
from knapweedbridge_daemon.serving.dialects import (
    AnswerHead,
    AttemptDetails,
    CallDetails,
    Refusal,
)
from knapweedbridge_daemon.serving.event_stream import EventCutter, EventTooLongError
from knapweedbridge_daemon.serving.http_client import (
    BrokenError,
    ClientConnection,
    NotSentError,
)
from knapweedbridge_daemon.serving.http_server import ReceivedRequest, Responder
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.peer_link import PeerLink
from knapweedbridge_daemon.serving.wire import (
    Headers,
    RequestHead,
    ResponseHead,
    end_to_end,
    get_header,
)

MOST_BUFFERED_BYTES = 8 << 20
"""Longest answer that is held until it is whole; plain answers are some kB."""

PLACE_PATIENCE = 2.0
"""How long a call waits for an engine, in objectives: its answer is late by then, and
callers leave a silent stream after some seconds."""

LOOK_S = 0.1
"""Pause between looks for an engine, where nothing changes."""

WANT_AGAIN_S = 0.25
"""Pause after which an owner is asked again for an adapter that is not coming."""

NOT_READY_S = 0.04
"""Wait after an engine refused a call as its adapter's load is not done."""

RESUME_PATIENCE_S = 2.0
"""Longest wait for the next event of a stream that is continued elsewhere: callers
leave after a gap of two seconds."""

OVERLOAD_AFTER_S = (1.0, 3.0)
"""When callers should come back that no engine can serve in time: peaks last about
two seconds, and those who return together would make the next one."""

NO_ENDPOINT_AFTER_S = 0.6
BUSY_AFTER_S = 0.4
"""When a refused caller should come back: a load takes 0.25 s, a restart longer."""


@dataclass(slots=True, frozen=True)
class Target:
    """Where an attempt goes, and which version must stand there."""

    endpoint: Endpoint
    version: int | None


@dataclass(slots=True)
class KeptAnswer:
    """A whole answer of an endpoint that was not passed on yet."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class Call:
    """One call and what has become of it so far.

    Parameters
    ----------
    request : ReceivedRequest
        As the caller sent it.
    route : Route
        The route that takes it.
    service : str
        Service that it goes to.
    details : CallDetails
        What the caller says of it.
    deadline_s : float
        When its answer is due at the latest, on the daemon's clock.
    """

    request: ReceivedRequest
    responder: Responder
    route: Route
    service: str
    details: CallDetails
    deadline_s: float
    progress: CallProgress = field(default_factory=CallProgress)
    last_event: str | None = None
    failure: KeptAnswer | None = None
    refused: set[str] = field(default_factory=set)
    first_event_s: float | None = None
    last_choice: str = ""
    unread_tokens: int = 0
    accepted: bool = False

    @property
    def left_s(self) -> float:
        """Time that is left, in seconds."""
        return self.deadline_s - anyio.current_time()


class CallRunner:
    """Runs calls to their end.

    Parameters
    ----------
    hub : Hub
        Beliefs, dialects and measures.
    link : PeerLink
        To the owners of engines.
    """

    def __init__(self, hub: Hub, link: PeerLink) -> None:
        self._hub = hub
        self._link = link
        self._placement = PricedPlacement()

    async def run(self, call: Call) -> str:
        """Run a call, and answer it; return a word for how it ended."""
        while True:
            target = await self._place(call)
            if isinstance(target, Refusal):
                return await self._unplaced(call, target)
            end = await self._attempt(call, target)
            if end is AttemptEnd.ANSWERED:
                return "answered"
            if not self._send_again(call, end):
                return await self._fail(call, end)

    def _send_again(self, call: Call, end: AttemptEnd) -> bool:
        if not may_send_again(call.route, call.progress, end):
            return False
        now_s = anyio.current_time()
        return self._hub.budget.spend(call.service, self._hub.daemons, now_s)

    async def _fail(self, call: Call, end: AttemptEnd) -> str:
        if call.responder.begun:
            # The answer must not look complete: its connection is cut.
            return "cut"
        if call.failure is not None:
            await self._pass_on(call, call.failure)
            return "failed_by_endpoint"
        if not call.progress.may_have_run:
            return await self._give_up(call, Refusal(503, "not_run", BUSY_AFTER_S))
        return await self._give_up(call, Refusal(502, "broken"))

    async def _unplaced(self, call: Call, refusal: Refusal) -> str:
        if call.failure is not None and not call.responder.begun:
            # The endpoint's own answer tells the caller more than ours would.
            await self._pass_on(call, call.failure)
            return "failed_by_endpoint"
        return await self._give_up(call, refusal)

    async def _give_up(self, call: Call, refusal: Refusal) -> str:
        if call.responder.begun:
            return "cut"
        if call.progress.may_have_run and refusal.status == 503:
            refusal = Refusal(502, refusal.reason)
        headers, body = self._hub.dialects.callers.refusal(refusal)
        await call.responder.answer(refusal.status, headers, body)
        return refusal.reason

    async def _place(self, call: Call) -> Target | Refusal:
        if call.details.model is None:
            return self._place_plain(call)
        asked_s = float("-inf")
        while True:
            now_s = anyio.current_time()
            choice = self._choose(call, call.details.model, now_s)
            call.last_choice = type(choice).__name__
            if isinstance(choice, SendTo):
                if choice.copy_to is not None:
                    await self._want(call, choice.copy_to)
                return Target(choice.endpoint, choice.version)
            if isinstance(choice, TooLate):
                after_s = random.uniform(*OVERLOAD_AFTER_S) + choice.over_s
                return Refusal(503, "overloaded", after_s)
            call.accepted = not isinstance(choice, NoEngine)
            pause_s = LOOK_S
            if isinstance(choice, WaitFor):
                pause_s = choice.ready_s - now_s
            elif isinstance(choice, LoadOn) and now_s - asked_s > WANT_AGAIN_S:
                asked_s = now_s
                await self._want(call, choice.endpoint)
            if now_s > self._patient_s(call):
                return Refusal(503, "no_place", BUSY_AFTER_S)
            await self._hub.engines_changed.wait(max(0.001, pause_s))

    @staticmethod
    def _patience_s(call: Call, now_s: float) -> float:
        if call.progress.begun:
            return RESUME_PATIENCE_S
        waited_s = now_s - call.request.received_s
        return first_event_patience_s(call.route, waited_s, call.accepted)

    @staticmethod
    def _patient_s(call: Call) -> float:
        """Return until when a call waits for an engine, on the daemon's clock."""
        if call.progress.begun:
            return call.deadline_s - 0.05
        wait_s = max(0.5, PLACE_PATIENCE * call.route.objective_s)
        return min(call.request.received_s + wait_s, call.deadline_s - 0.05)

    def _choose(self, call: Call, model: ModelRef, now_s: float) -> Choice:
        beliefs = self._hub.beliefs
        ask = PlacementAsk(
            model,
            beliefs.wanted_version(model) if model.adapter else None,
            beliefs.older_allowed(model, now_s),
            self._hub.identity.data_centre,
            frozenset(call.progress.runs | call.refused),
            call.details.prompt_tokens,
            self._patience_s(call, now_s),
        )
        engines = beliefs.fleet.reachable(call.service, now_s)
        for engine in engines:
            engine.guess_others(self._hub.daemons, now_s)
        close = self._close_engines(engines)
        choice = self._placement.choose(ask, close, now_s)
        if len(close) < len(engines) and isinstance(choice, TooLate | NoEngine):
            choice = self._placement.choose(ask, engines, now_s)
        return choice

    def _close_engines(self, engines: list[Endpoint]) -> list[Endpoint]:
        """Return the engines whose owners tell this daemon without being asked."""
        if is_small(self._hub.beliefs.daemons.values()):
            return engines
        here = self._hub.identity.data_centre
        return [each for each in engines if each.record.data_centre == here] or engines

    async def _want(self, call: Call, endpoint: Endpoint) -> None:
        model = call.details.model
        assert model is not None
        version = self._hub.beliefs.wanted_version(model) or 0
        self._hub.log.info(
            "adapter.wanted",
            request=call.details.call_id,
            engine=endpoint.name,
            owner=endpoint.owner,
            model=str(model),
            version=version,
        )
        if endpoint.owner:
            endpoint.note_asked(anyio.current_time())
            wanted = AdapterWanted(endpoint.name, model.base, model.adapter, version)
            await self._link.send(endpoint.owner, wanted)

    def _place_plain(self, call: Call) -> Target | Refusal:
        now_s = anyio.current_time()
        ask = PlainAsk(
            self._hub.identity.data_centre,
            frozenset(call.progress.runs | call.refused),
        )
        fleet = self._hub.beliefs.fleet
        # One that is backed off from is better than none.
        able = fleet.reachable(call.service, now_s) or fleet.of_service(call.service)
        endpoint = choose_plain(ask, able, now_s)
        if endpoint is None:
            return Refusal(503, "no_endpoint", NO_ENDPOINT_AFTER_S)
        return Target(endpoint, None)

    async def _attempt(self, call: Call, target: Target) -> AttemptEnd:
        endpoint = target.endpoint
        model = call.details.model
        began_s = anyio.current_time()
        call.progress.sends += 1
        call.unread_tokens = call.details.prompt_tokens
        self._link.running.begin(endpoint, model, call.unread_tokens)
        end = AttemptEnd.BROKEN
        detail = ""
        patience = anyio.CancelScope(deadline=self._patient_until_s(call, target))
        try:
            with patience:
                end = await self._exchange(call, target, patience)
            if patience.cancelled_caught:
                raise BrokenError("silent")
        except NotSentError as error:
            end, detail = AttemptEnd.NOT_RUN, str(error)
            call.refused.add(endpoint.name)
            endpoint.note_unreachable(anyio.current_time())
        except (BrokenError, EventTooLongError) as error:
            end, detail = AttemptEnd.BROKEN, str(error)
            call.progress.runs.add(endpoint.name)
        finally:
            self._note_read(call, endpoint)
            whole = end is not AttemptEnd.BROKEN
            self._link.running.end(endpoint, model, whole)
            self._note(call, target, end, began_s, detail)
        return end

    def _note_read(self, call: Call, endpoint: Endpoint) -> None:
        if call.unread_tokens:
            self._link.running.prompt_read(endpoint, call.unread_tokens)
            call.unread_tokens = 0

    def _note(
        self, call: Call, target: Target, end: AttemptEnd, began_s: float, detail: str
    ) -> None:
        now_s = anyio.current_time()
        failed = end in (AttemptEnd.FAILED, AttemptEnd.BROKEN)
        target.endpoint.note_result(failed, now_s)
        self._hub.measures.count("attempts", end.value)
        self._hub.log.info(
            "attempt.ended",
            request=call.details.call_id,
            endpoint=target.endpoint.name,
            version=target.version,
            calls_there=target.endpoint.calls,
            outcome=end.value,
            took_s=round(now_s - began_s, 4),
            left_s=round(call.deadline_s - now_s, 3),
            detail=detail,
        )

    def _patient_until_s(self, call: Call, target: Target) -> float:
        others_left = len(call.progress.runs) + 1 < call.route.max_attempts
        if not (call.route.repeatable and others_left):
            return math.inf
        patience_s = first_byte_patience_s(call.route, reading_s(target.endpoint))
        return anyio.current_time() + patience_s

    async def _exchange(
        self, call: Call, target: Target, patience: anyio.CancelScope
    ) -> AttemptEnd:
        head = self._attempt_head(call, target)
        async with self._hub.pool.connection(
            target.endpoint.record.address
        ) as connection:
            await connection.send(head, call.request.body)
            answer = await connection.read_head(
                head,
                lambda headers: self._hub.dialects.endpoints.belongs(
                    call.details.call_id, headers
                ),
            )
            target.endpoint.note_answer()
            proved = self._hub.dialects.endpoints.read_answer(answer)
            if proved.not_run:
                async for _ in connection.read_body():
                    pass
                await self._note_refused(call, target, answer, proved)
                return AttemptEnd.NOT_RUN
            call.progress.runs.add(target.endpoint.name)
            if not proved.stream:
                patience.deadline = math.inf
            if not proved.genuine:
                raise BrokenError(f"status {answer.status} without a signature")
            if proved.stream and answer.status == 200:
                return await self._relay(
                    call, target.endpoint, connection, answer, patience
                )
            return await self._take_whole(call, connection, answer)

    def _attempt_head(self, call: Call, target: Target) -> RequestHead:
        head = call.request.head
        details = AttemptDetails(
            target.endpoint.name,
            target.version,
            call.left_s,
            min(9, call.route.urgency),
            call.last_event if resumes(call.route, call.progress) else None,
        )
        headers = self._hub.dialects.endpoints.attempt_headers(head, details)
        body = call.request.body
        framed = get_header(headers, b"content-length") is not None
        if not framed and (body or head.method not in (b"GET", b"HEAD")):
            headers.append((b"Content-Length", b"%d" % len(body)))
        return RequestHead(head.method, head.target, headers)

    async def _note_refused(
        self, call: Call, target: Target, answer: ResponseHead, proved: AnswerHead
    ) -> None:
        endpoint, model = target.endpoint, call.details.model
        self._hub.log.info(
            "attempt.refused",
            request=call.details.call_id,
            endpoint=endpoint.name,
            status=answer.status,
            version=target.version,
            model=str(model or ""),
        )
        now_s = anyio.current_time()
        if proved.endpoint not in (None, endpoint.name):
            # Its address went to another: the one that was believed in is gone.
            call.refused.add(endpoint.name)
            endpoint.note_unreachable(now_s)
        elif proved.wrong_endpoint and model in endpoint.held:
            # The load is not done yet: a fetch elsewhere would take longer.
            endpoint.held[model].ready_s = now_s + NOT_READY_S
            missed = AdapterMissed(endpoint.name, model.base, model.adapter)
            await self._link.send(endpoint.owner, missed)
        else:
            call.refused.add(endpoint.name)

    async def _take_whole(
        self, call: Call, connection: ClientConnection, answer: ResponseHead
    ) -> AttemptEnd:
        parts: list[bytes] = []
        size = 0
        async for part in connection.read_body():
            parts.append(part)
            size += len(part)
            if size > MOST_BUFFERED_BYTES:
                raise BrokenError("the answer is too long")
        kept = KeptAnswer(answer, b"".join(parts))
        if answer.status >= 500:
            call.failure = kept
            return AttemptEnd.FAILED
        await self._pass_on(call, kept)
        return AttemptEnd.ANSWERED

    async def _pass_on(self, call: Call, kept: KeptAnswer) -> None:
        headers = _forwarded(kept.head.headers)
        length = (b"Content-Length", b"%d" % len(kept.body))
        if call.request.head.method != b"HEAD":
            headers = [p for p in headers if p[0].lower() != b"content-length"]
            headers.append(length)
        head = ResponseHead(kept.head.status, headers, kept.head.reason)
        await call.responder.start(head)
        await call.responder.end(kept.body)
        if call.first_event_s is None:
            call.first_event_s = anyio.current_time()

    async def _relay(
        self,
        call: Call,
        endpoint: Endpoint,
        connection: ClientConnection,
        answer: ResponseHead,
        patience: anyio.CancelScope,
    ) -> AttemptEnd:
        resumed = call.progress.begun
        cutter = EventCutter(call.last_event if resumed else None)
        async for chunk in connection.read_body():
            events = cutter.feed(chunk)
            if events.last_id is not None:
                call.last_event = events.last_id
            if not events.count:
                continue
            if patience.cancel_called:
                # The first event came as patience ended. The next wait is cancelled,
                # which would leave the answer begun and its head unwritten.
                raise BrokenError("silent")
            patience.deadline = math.inf
            self._note_read(call, endpoint)
            if not call.progress.begun:
                call.progress.begun = True
                call.first_event_s = anyio.current_time()
                headers = [
                    pair
                    for pair in _forwarded(answer.headers)
                    if pair[0].lower() != b"content-length"
                ]
                await call.responder.start(ResponseHead(200, headers, answer.reason))
            await call.responder.send(events.data)
        if cutter.rest:
            raise BrokenError("ended in the middle of an event")
        if not call.progress.begun:
            raise BrokenError("a stream without an event")
        await call.responder.end()
        return AttemptEnd.ANSWERED


def _forwarded(headers: Headers) -> Headers:
    return end_to_end(headers)


def is_stream(route: Route) -> bool:
    """Tell whether a route's answers are streams of events."""
    return route.kind is CallKind.STREAM
