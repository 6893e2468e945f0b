"""Sends a call to one endpoint, and forwards its response."""

import math

import anyio

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
    known_version,
)
from knapweedbridge_daemon.serving.call import BufferedResponse, Call, Target
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.dialects import AttemptDetails, ResponseDetails
from knapweedbridge_daemon.serving.event_stream import EventSplitter
from knapweedbridge_daemon.serving.first_byte_timeouts import (
    FirstByteTimeout,
    FirstByteTimeoutError,
)
from knapweedbridge_daemon.serving.gathering import (
    MAX_RESPONSE_BYTES,
    NoMemoryError,
    gather_response,
)
from knapweedbridge_daemon.serving.http_client import (
    ClientConnection,
    ConnectionBrokenError,
    Destination,
    NotSentError,
    RequestIdentity,
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

MAX_REFUSAL_BYTES = 65536
REFUSAL_TIMEOUT_S = 0.25
"""Longest body of a refusal, and how long its end is awaited."""

MAX_SKIPPED_BYTES = 1 << 20
"""Most bytes of a stream in a row that complete no event for the caller."""

SURVIVED_S = 0.2
"""Time after the first event past which an endpoint has survived the prompt: one that a
prompt crashes ends within a tenth of a second."""

LOAD_RETRY_S = 0.04
"""Wait after an engine refused a call because its adapter is still loading."""


class AttemptRunner:
    """Makes single attempts at calls.

    Parameters
    ----------
    hub : Hub
        The daemon's dialects, connections and metrics.
    link : PeerLink
        Reports to the other daemons which calls run where.
    """

    def __init__(self, hub: Hub, link: PeerLink) -> None:
        self._hub = hub
        self._link = link
        self._records = AttemptRecords(hub, link.running.observed)

    async def attempt(self, call: Call, target: Target) -> AttemptEnd:
        """Send a call to an endpoint, and return how the attempt ended.

        ``WITHHELD`` means that the endpoint takes no calls at present, so that the call
        was not sent.
        """
        endpoint = target.endpoint
        model = call.details.model
        began_s = loop_time_s()
        call.unread_tokens = call.details.prompt_tokens
        forecast = self._records.forecast(call, endpoint, began_s)
        self._link.running.begin(endpoint, model, call.unread_tokens)
        end = AttemptEnd.ABANDONED
        detail, is_closed, is_own_fault = "", False, False
        try:
            if model is not None:
                await self._link.turns.take(endpoint, call.unread_tokens, call.urgency)
            if not await self._may_send(call, target):
                end = AttemptEnd.WITHHELD
                return end
            call.progress.sends += 1
            self._record_retry_sent(call)
            self._records.record_sent(call, target, forecast)
            timeout = self._make_timeout(call, target, forecast)
            with self._hub.first_byte_timeouts.enforce(timeout):
                end = await self._exchange(call, target, timeout, forecast)
        except NotSentError as error:
            end, detail = AttemptEnd.NOT_RUN, str(error)
            call.refused.add(endpoint.name)
            endpoint.record_unreachable(loop_time_s())
            self._records.record_unreachable(endpoint, error)
            if error.is_lost:
                self._link.crashes.report_loss(endpoint.name, "unreachable")
        except (ConnectionBrokenError, BrokenEventsError) as error:
            end, detail = AttemptEnd.BROKEN, str(error)
            call.progress.runs.add(endpoint.name)
            is_closed = not isinstance(error, FirstByteTimeoutError)
            is_own_fault = isinstance(error, NoMemoryError)
        finally:
            if end is AttemptEnd.ABANDONED:
                # Cancelled by its caller or by a deadline, it may run all the same.
                call.progress.runs.add(endpoint.name)
            self._settle_retry(call)
            is_unclear = end in (AttemptEnd.BROKEN, AttemptEnd.ABANDONED)
            if is_unclear and not is_own_fault:
                self._link.crashes.record_failed_attempt(
                    call,
                    endpoint,
                    forecast.sent_s or None,
                    is_closed,
                    forecast.has_survived,
                )
            self._records.record_speed(call, endpoint, forecast, end)
            self._record_prompt_read(call, endpoint)
            is_complete = end not in (AttemptEnd.BROKEN, AttemptEnd.ABANDONED)
            self._link.running.end(endpoint, model, is_complete)
            self._records.record_end(call, target, end, forecast, detail)
        return end

    async def _may_send(self, call: Call, target: Target) -> bool:
        """Return whether a call that has waited for its turn may still be sent."""
        if not target.endpoint.accepts_work(loop_time_s()):
            return False
        if not await self._link.permits.take(target.endpoint):
            return False
        if call.retry and not call.retry.is_valid(self._hub.steady_s()):
            return False
        return self._may_begin(call, target)

    def _record_retry_sent(self, call: Call) -> None:
        if call.retry is not None:
            call.sent_retry, call.retry = call.retry, None
            self._hub.budget.record_sent(call.sent_retry)
            self._hub.metrics.count("repeats_sent", call.retried_after)

    def _settle_retry(self, call: Call) -> None:
        if call.sent_retry is not None:
            self._hub.budget.settle(call.sent_retry, self._hub.steady_s())
            call.sent_retry = None

    def _may_begin(self, call: Call, target: Target) -> bool:
        """Return whether work may still begin on the version chosen at placement.

        The version that the engine holds may have been superseded while the call
        waited.
        """
        version = known_version(call, target)
        if version is None or call.details.model is None:
            return True
        now_s = self._hub.steady_s()
        versions = self._hub.cluster.servable_versions(call.details.model, now_s)
        # Placement allows for the forecast time to the first event; without it here, a
        # call that was placed just now is not withheld.
        return versions is None or versions.serves(version, 0.0)

    def _record_prompt_read(self, call: Call, endpoint: Endpoint) -> None:
        if call.unread_tokens:
            self._link.running.record_prompt_read(endpoint, call.unread_tokens)
            call.unread_tokens = 0

    def _make_timeout(
        self, call: Call, target: Target, forecast: Forecast
    ) -> FirstByteTimeout:
        version = forecast.held_version
        model = None if version is None else call.details.model
        return FirstByteTimeout(model, version or 0, self._timeout_at_s(call, target))

    def _timeout_at_s(self, call: Call, target: Target) -> float:
        others_left = len(call.progress.runs) + 1 < call.route.max_attempts
        if not (call.route.repeatable and others_left):
            return math.inf
        now_s = loop_time_s()
        timeout_s = first_byte_timeout_s(
            call.route, self._hub.rates.first_event_s(target.endpoint, 0, now_s)
        )
        return now_s + timeout_s

    async def _exchange(
        self,
        call: Call,
        target: Target,
        timeout: FirstByteTimeout,
        forecast: Forecast,
    ) -> AttemptEnd:
        head = self._attempt_head(call, target)
        endpoint = target.endpoint
        destination = Destination(endpoint.record.address, endpoint.name)
        identity = RequestIdentity(
            call.details.call_id, self._hub.dialects.endpoints.read_call_id
        )
        async with self._hub.pool.connection(
            destination, identity.request_id
        ) as connection:
            forecast.forwarder = connection.forwarder
            forecast.connection = connection.number
            forecast.carried = connection.requests + 1
            answer = await connection.exchange(head, call.request.body, identity)
            forecast.head_s = loop_time_s()
            endpoint.record_answer(forecast.head_s)
            self._settle_retry(call)
            if not connection.forwarder:
                self._hub.paths.linked_s = loop_time_s()
            proved = self._hub.dialects.endpoints.read_response(answer)
            forecast.status, forecast.answered_id = answer.status, proved.call_id
            forecast.discarded = connection.discarded
            await self._link.backpressure.take(target.endpoint, proved, forecast.sent_s)
            if proved.not_run:
                await self._read_refusal(connection)
                await self._record_refusal(call, target, answer, proved)
                return AttemptEnd.NOT_RUN
            call.progress.runs.add(target.endpoint.name)
            if not proved.stream:
                self._hub.first_byte_timeouts.record_start(timeout)
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
                    timeout,
                    forecast,
                )
            return await self._take_whole(call, connection, answer)

    @staticmethod
    async def _read_refusal(connection: ClientConnection) -> None:
        """Read the body of a refusal; one without an end proves nothing."""
        with anyio.move_on_after(REFUSAL_TIMEOUT_S) as scope:
            async for _ in connection.read_body(MAX_REFUSAL_BYTES):
                pass
        if scope.cancelled_caught:
            raise ConnectionBrokenError("the refusal does not end")

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

    async def _record_refusal(
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
            # The address now belongs to another endpoint: the expected one is gone.
            call.refused.add(endpoint.name)
            endpoint.record_unreachable(now_s)
            self._link.crashes.report_loss(endpoint.name, "replaced")
        elif not proved.wrong_endpoint or model not in endpoint.held:
            call.refused.add(endpoint.name)
        elif not endpoint.has_recent_update(now_s):
            # The platform's list was outdated: the adapter has been unloaded since.
            del endpoint.held[model]
        else:
            # The adapter is still loading: loading it elsewhere would take longer.
            endpoint.held[model].ready_s = now_s + LOAD_RETRY_S
            missing = AdapterMissing(endpoint.name, model.base, model.adapter)
            await self._link.send(endpoint.owner, missing)

    def _record_events(
        self, call: Call, endpoint: Endpoint, forecast: Forecast, now_s: float
    ) -> None:
        if forecast.first_s is None:
            forecast.first_s = now_s
            self._records.record_first_event(call, endpoint, forecast)
        elif call.event_s is not None:
            self._link.running.record_pause(endpoint, now_s - call.event_s)
            self._hub.rates.record_gap(endpoint, now_s - call.event_s)
        if not forecast.has_survived and now_s - forecast.first_s >= SURVIVED_S:
            forecast.has_survived = True
            self._link.crashes.record_survival(call)
        call.record_events(now_s)

    async def _take_whole(
        self, call: Call, connection: ClientConnection, answer: ResponseHead
    ) -> AttemptEnd:
        parts = connection.read_body(2 * MAX_RESPONSE_BYTES)
        body = await gather_response(self._hub.intake, connection.address, parts)
        buffered = BufferedResponse(answer, body)
        if answer.status >= 500 or call.responder.begun:
            # A started stream cannot be replaced by another response.
            call.failure = buffered
            return AttemptEnd.FAILED
        await call.forward_response(buffered)
        return AttemptEnd.ANSWERED

    async def _relay(
        self,
        call: Call,
        endpoint: Endpoint,
        connection: ClientConnection,
        answer: ResponseHead,
        timeout: FirstByteTimeout,
        forecast: Forecast,
    ) -> AttemptEnd:
        resumed = call.progress.begun
        splitter = EventSplitter(call.last_event if resumed else None)
        send = call.responder.send
        skipped_bytes = 0
        async for chunk in connection.read_body():
            events = splitter.feed(chunk)
            if not events.count:
                skipped_bytes += len(chunk)
                if skipped_bytes > MAX_SKIPPED_BYTES:
                    raise ConnectionBrokenError("the stream goes on without events")
                continue
            skipped_bytes = 0
            now_s = loop_time_s()
            if forecast.first_s is None:
                self._hub.first_byte_timeouts.record_start(timeout)
            if call.unread_tokens:
                self._record_prompt_read(call, endpoint)
            self._record_events(call, endpoint, forecast, now_s)
            if events.last_id is not None:
                call.last_event = events.last_id
            if not call.progress.begun:
                await self._link.origins.record_start(call, endpoint)
                await self._begin_stream(call, answer, now_s)
            await send(events.data)
        if splitter.rest:
            raise ConnectionBrokenError("the stream ended in the middle of an event")
        if not call.progress.begun:
            raise ConnectionBrokenError("the stream has no event")
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
