"""Sends a call to one endpoint, and passes its answer on."""

import math

from knapweedbridge_core.serving import (
    AttemptEnd,
    Endpoint,
    first_byte_timeout_s,
    resumes,
)
from knapweedbridge_core.serving.messages import AdapterMissing
from knapweedbridge_daemon.serving.attempt_records import (
    AttemptRecords,
    Forecast,
    version_there,
)
from knapweedbridge_daemon.serving.call import Call, KeptAnswer, Target
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.dialects import AttemptDetails, ResponseDetails
from knapweedbridge_daemon.serving.event_stream import EventSplitter
from knapweedbridge_daemon.serving.first_byte_timeouts import (
    FirstByteTimeout,
    FirstByteTimeoutError,
)
from knapweedbridge_daemon.serving.http_client import (
    ClientConnection,
    ConnectionBrokenError,
    Destination,
    NotSentError,
)
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.peer_link import PeerLink
from knapweedbridge_daemon.serving.wire import (
    RequestHead,
    ResponseHead,
    end_to_end,
    get_header,
)
from knapweedbridge_daemon.sse import BrokenEventsError

MOST_BUFFERED_BYTES = 8 << 20
"""Longest answer that is held until it is whole; plain answers are some kB."""

STAYED_S = 0.2
"""Time that an endpoint runs on after a first event, so that what it answers is sound:
one that a prompt crashes ends within a tenth of a second."""

LOAD_RETRY_S = 0.04
"""Wait after an engine refused a call as its adapter's load is not done."""


class AttemptRunner:
    """Makes attempts of calls.

    Parameters
    ----------
    hub : Hub
        Dialects, connections and measures.
    link : PeerLink
        Is told which calls run where.
    """

    def __init__(self, hub: Hub, link: PeerLink) -> None:
        self._hub = hub
        self._link = link
        self._records = AttemptRecords(hub, link.running.observed)

    async def attempt(self, call: Call, target: Target) -> AttemptEnd:
        """Send a call to an endpoint, and tell how that ended.

        ``WITHHELD``: the endpoint takes no call now, and gets none for a while.
        """
        endpoint = target.endpoint
        model = call.details.model
        began_s = loop_time_s()
        call.unread_tokens = call.details.prompt_tokens
        forecast = self._records.forecast(call, endpoint, began_s)
        self._link.running.begin(endpoint, model, call.unread_tokens)
        end = AttemptEnd.ABANDONED
        detail, is_closed = "", False
        try:
            if model is not None:
                await self._link.turns.take(endpoint, call.unread_tokens, call.urgency)
            if not await self._may_send(call, target):
                end = AttemptEnd.WITHHELD
                return end
            call.progress.sends += 1
            if call.holds_repeat:
                call.holds_repeat = False
                self._hub.budget.sent(call.service, loop_time_s())
            self._records.sent(call, target, forecast)
            first_byte_timeouts = self._patience(call, target, forecast)
            with self._hub.first_byte_timeouts.waiting(first_byte_timeouts):
                end = await self._exchange(call, target, first_byte_timeouts, forecast)
        except NotSentError as error:
            end, detail = AttemptEnd.NOT_RUN, str(error)
            call.refused.add(endpoint.name)
            endpoint.record_unreachable(loop_time_s())
            self._records.unreachable(endpoint, error)
            if error.is_lost:
                self._link.crashes.note_lost(endpoint.name, "unreachable")
        except (ConnectionBrokenError, BrokenEventsError) as error:
            end, detail = AttemptEnd.BROKEN, str(error)
            call.progress.runs.add(endpoint.name)
            is_closed = not isinstance(error, FirstByteTimeoutError)
        finally:
            if end is AttemptEnd.ABANDONED:
                # Broken off by its caller or by a deadline, it may run all the same.
                call.progress.runs.add(endpoint.name)
            if end in (AttemptEnd.BROKEN, AttemptEnd.ABANDONED):
                self._link.crashes.attempt_ended(
                    call,
                    endpoint,
                    forecast.sent_s or None,
                    is_closed,
                    forecast.has_stayed,
                )
            self._records.learn(call, endpoint, forecast, end)
            self._note_read(call, endpoint)
            whole = end not in (AttemptEnd.BROKEN, AttemptEnd.ABANDONED)
            self._link.running.end(endpoint, model, whole)
            self._records.note(call, target, end, forecast, detail)
        return end

    async def _may_send(self, call: Call, target: Target) -> bool:
        """Tell whether an endpoint takes a call that has waited for its turn."""
        if not target.endpoint.accepts_work(loop_time_s()):
            return False
        if not await self._link.permits.take(target.endpoint):
            return False
        return self._may_begin(call, target)

    def _may_begin(self, call: Call, target: Target) -> bool:
        """Tell whether work may still begin on the version that a call was placed for.

        The engine's own version may have been superseded while the call waited.
        """
        version = version_there(call, target)
        if version is None or call.details.model is None:
            return True
        now_s = self._hub.steady_s()
        versions = self._hub.cluster.servable_versions(call.details.model, now_s)
        # Without the forecast that placement goes by, so that a call which was placed
        # at this moment is not withheld.
        return versions is None or versions.serves(version, 0.0)

    def _note_read(self, call: Call, endpoint: Endpoint) -> None:
        if call.unread_tokens:
            self._link.running.prompt_read(endpoint, call.unread_tokens)
            call.unread_tokens = 0

    def _patience(
        self, call: Call, target: Target, forecast: Forecast
    ) -> FirstByteTimeout:
        version = forecast.held_version
        model = None if version is None else call.details.model
        return FirstByteTimeout(
            model, version or 0, self._patient_until_s(call, target)
        )

    def _patient_until_s(self, call: Call, target: Target) -> float:
        others_left = len(call.progress.runs) + 1 < call.route.max_attempts
        if not (call.route.repeatable and others_left):
            return math.inf
        now_s = loop_time_s()
        patience_s = first_byte_timeout_s(
            call.route, self._hub.rates.first_event_s(target.endpoint, 0, now_s)
        )
        return now_s + patience_s

    async def _exchange(
        self,
        call: Call,
        target: Target,
        first_byte_timeouts: FirstByteTimeout,
        forecast: Forecast,
    ) -> AttemptEnd:
        head = self._attempt_head(call, target)
        endpoint = target.endpoint
        async with self._hub.pool.connection(
            Destination(endpoint.record.address, endpoint.name)
        ) as connection:
            forecast.forwarder = connection.forwarder
            answer = await connection.exchange(
                head,
                call.request.body,
                lambda headers: self._hub.dialects.endpoints.matches_call(
                    call.details.call_id, headers
                ),
            )
            forecast.head_s = loop_time_s()
            endpoint.record_answer(forecast.head_s)
            if not connection.forwarder:
                self._hub.paths.linked_s = loop_time_s()
            proved = self._hub.dialects.endpoints.read_response(answer)
            await self._link.backpressure.take(target.endpoint, proved, forecast.sent_s)
            if proved.not_run:
                async for _ in connection.read_body():
                    pass
                await self._note_refused(call, target, answer, proved)
                return AttemptEnd.NOT_RUN
            call.progress.runs.add(target.endpoint.name)
            if not proved.stream:
                self._hub.first_byte_timeouts.begun(first_byte_timeouts)
            if not proved.genuine:
                raise ConnectionBrokenError(
                    f"status {answer.status} without a signature"
                )
            if proved.stream and answer.status == 200:
                return await self._relay(
                    call,
                    target.endpoint,
                    connection,
                    answer,
                    first_byte_timeouts,
                    forecast,
                )
            return await self._take_whole(call, connection, answer)

    def _attempt_head(self, call: Call, target: Target) -> RequestHead:
        head = call.request.head
        details = AttemptDetails(
            target.endpoint.name,
            target.version,
            call.left_s,
            min(9, call.urgency),
            call.last_event if resumes(call.route, call.progress) else None,
            call.account.name if call.account else "",
            call.is_keyed,
        )
        headers = self._hub.dialects.endpoints.attempt_headers(head, details)
        body = call.request.body
        framed = get_header(headers, b"content-length") is not None
        if not framed and (body or head.method not in (b"GET", b"HEAD")):
            headers.append((b"Content-Length", b"%d" % len(body)))
        return RequestHead(head.method, head.target, headers)

    async def _note_refused(
        self, call: Call, target: Target, answer: ResponseHead, proved: ResponseDetails
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
        now_s = loop_time_s()
        if proved.endpoint not in (None, endpoint.name):
            # Its address went to another: the one that was believed in is gone.
            call.refused.add(endpoint.name)
            endpoint.record_unreachable(now_s)
            self._link.crashes.note_lost(endpoint.name, "replaced")
        elif not proved.wrong_endpoint or model not in endpoint.held:
            call.refused.add(endpoint.name)
        elif not endpoint.has_recent_update(now_s):
            # The platform's list was late: the adapter has been unloaded since.
            del endpoint.held[model]
        else:
            # The load is not done yet: a fetch elsewhere would take longer.
            endpoint.held[model].ready_s = now_s + LOAD_RETRY_S
            missed = AdapterMissing(endpoint.name, model.base, model.adapter)
            await self._link.send(endpoint.owner, missed)

    def _note_events(
        self, call: Call, endpoint: Endpoint, forecast: Forecast, now_s: float
    ) -> None:
        if forecast.first_s is None:
            forecast.first_s = now_s
            self._records.first_event(call, endpoint, forecast)
        elif call.event_s is not None:
            self._link.running.record_pause(endpoint, now_s - call.event_s)
            self._hub.rates.record_gap(endpoint, now_s - call.event_s)
        if not forecast.has_stayed and now_s - forecast.first_s >= STAYED_S:
            forecast.has_stayed = True
            self._link.crashes.begun(call)
        call.note_events(now_s)

    async def _take_whole(
        self, call: Call, connection: ClientConnection, answer: ResponseHead
    ) -> AttemptEnd:
        parts: list[bytes] = []
        size = 0
        async for part in connection.read_body():
            parts.append(part)
            size += len(part)
            if size > MOST_BUFFERED_BYTES:
                raise ConnectionBrokenError("the answer is too long")
        kept = KeptAnswer(answer, b"".join(parts))
        if answer.status >= 500 or call.responder.begun:
            # A stream that was begun cannot become another answer.
            call.failure = kept
            return AttemptEnd.FAILED
        await call.pass_on(kept)
        return AttemptEnd.ANSWERED

    async def _relay(
        self,
        call: Call,
        endpoint: Endpoint,
        connection: ClientConnection,
        answer: ResponseHead,
        first_byte_timeouts: FirstByteTimeout,
        forecast: Forecast,
    ) -> AttemptEnd:
        resumed = call.progress.begun
        cutter = EventSplitter(call.last_event if resumed else None)
        send = call.responder.send
        async for chunk in connection.read_body():
            events = cutter.feed(chunk)
            if not events.count:
                continue
            now_s = loop_time_s()
            if forecast.first_s is None:
                self._hub.first_byte_timeouts.begun(first_byte_timeouts)
            if call.unread_tokens:
                self._note_read(call, endpoint)
            self._note_events(call, endpoint, forecast, now_s)
            if events.last_id is not None:
                call.last_event = events.last_id
            if not call.progress.begun:
                await self._link.resuming.begun(call, endpoint)
                await self._begin_stream(call, answer, now_s)
            await send(events.data)
        if cutter.rest:
            raise ConnectionBrokenError("ended in the middle of an event")
        if not call.progress.begun:
            raise ConnectionBrokenError("a stream without an event")
        await call.responder.end()
        return AttemptEnd.ANSWERED

    @staticmethod
    async def _begin_stream(call: Call, answer: ResponseHead, now_s: float) -> None:
        call.progress.begun = True
        call.first_event_s = now_s
        headers = [
            pair
            for pair in end_to_end(answer.headers)
            if pair[0].lower() != b"content-length"
        ]
        await call.responder.start(ResponseHead(200, headers, answer.reason))
