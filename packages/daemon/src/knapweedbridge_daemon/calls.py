"""One request under way: follows the core, carries out its attempts."""

import json
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import Any

import anyio
from starlette.requests import Request
from starlette.types import Send

from knapweedbridge_core import events
from knapweedbridge_core.actions import Dispatch, Finish, Resume
from knapweedbridge_core.claims import MAX_ANSWER_BYTES, may_be_repeated
from knapweedbridge_core.outcomes import (
    Complete,
    FinalOutcome,
    Outcome,
    Reason,
    Recorded,
    Unknown,
)
from knapweedbridge_core.retries import MAX_RESUMES
from knapweedbridge_daemon.answers import error_body, send_error
from knapweedbridge_daemon.connections import Connections
from knapweedbridge_daemon.driver import Driver
from knapweedbridge_daemon.endpoints import (
    AttemptFailedError,
    EndpointResponse,
    HttpEndpoint,
)
from knapweedbridge_daemon.logs import task_id
from knapweedbridge_daemon.passing import passed_on, raw_target
from knapweedbridge_daemon.relay import Relay, WrongModelError, check_model


class Call:
    """One request under way: follows the core, streams its attempts.

    Parameters
    ----------
    driver : Driver
        The task that owns the core.
    connections : Connections
        Connections to endpoints.
    request : Request
        The caller's request, its body read.
    send : callable
        Takes the answer's ASGI messages.
    body : bytes
        The caller's body.
    wanted : events.Request
        The request as the core knows it.
    """

    def __init__(
        self,
        driver: Driver,
        connections: Connections,
        request: Request,
        send: Send,
        body: bytes,
        wanted: events.Request,
    ) -> None:
        self._driver = driver
        self._connections = connections
        self._http = request
        self._send = send
        self._wanted = wanted
        self._body = body
        if wanted.model is not None:
            fields = json.loads(body)
            fields["model"] = str(wanted.model)
            self._body = json.dumps(fields).encode()
        join_wait_s = connections.bounds.join_wait_s
        self._relay = Relay(str(wanted.model or ""), self._send_chunk, join_wait_s)
        self._head: EndpointResponse | None = None
        self._started = False
        self._finished = False
        self._sent_whole = 0
        self._answered = False
        self._attempt_id = self._endpoint = ""

    async def run(self) -> None:
        """Answer the request, or tell the core that the caller left."""
        request_id = self._wanted.request_id
        follow = self._driver.follow(request_id)
        try:
            await self._driver.submit(events.RequestArrived(self._wanted))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller, tasks.cancel_scope)
                await self._follow(follow)
                tasks.cancel_scope.cancel()
        finally:
            self._driver.unfollow(request_id)
            if not self._finished:
                with anyio.CancelScope(shield=True):
                    await self._driver.submit(events.CallerDisconnected(request_id))

    async def _watch_caller(self, scope: anyio.CancelScope) -> None:
        while True:
            message = await self._http.receive()
            if message["type"] != "http.disconnect":
                continue
            if may_be_repeated(self._wanted):
                # The repeat asks how it ended: it is carried to its end.
                self._send = _discard
            else:
                scope.cancel()
            return

    async def _follow(self, follow: Any) -> None:
        async with anyio.create_task_group() as attempts:
            async for step in follow:
                if isinstance(step, Finish):
                    attempts.cancel_scope.cancel()
                    break
                attempts.start_soon(self._carry_out, step)
        # Out of the cancelled scope: the caller still gets its last word.
        self._finished = True
        await self._finish(step.outcome)

    async def _carry_out(self, step: Dispatch | Resume) -> None:
        outcome = await self._attempt(step)
        ended = events.AttemptEnded(step.request_id, step.attempt_id, outcome)
        await self._driver.submit(ended)

    async def _finish(self, outcome: FinalOutcome) -> None:
        if isinstance(outcome, Recorded):
            await self._start(outcome.status, [("content-type", outcome.content_type)])
            await self._end(outcome.body)
        elif isinstance(outcome, Complete):
            await self._end(b"")
        elif not self._started:
            await send_error(self._send, outcome)
        elif self._wanted.streamed:
            event = json.dumps(error_body(outcome)).encode()
            await self._end(b"data: " + event + b"\n\n")
        # Else an answer without a stream of events was begun and broke: it has
        # no place for an error, and an end would make it look whole. The web
        # server closes the connection when the application returns unfinished.

    async def _attempt(self, step: Dispatch | Resume) -> Outcome:
        self._attempt_id, self._endpoint = step.attempt_id, step.endpoint
        try:
            if isinstance(step, Resume):
                return await self._resume(step)
            return await self._dispatch(step)
        except AttemptFailedError as error:
            return await self._failed(error.outcome)
        except WrongModelError:
            return Unknown(Reason.WRONG_ADAPTER, self._tokens)

    async def _failed(self, outcome: Outcome) -> Outcome:
        if not isinstance(outcome, Unknown):
            return outcome
        if outcome.reason == Reason.SILENT:
            self._driver.count("connection.silent")
            await self._connections.retire()
        return Unknown(outcome.reason, self._tokens)

    @property
    def _tokens(self) -> int:
        return max(self._relay.events, self._sent_whole)

    @property
    def _first_s(self) -> float:
        # An answer that waits for its place in the batch is silent too. The bound
        # is spent in parts, each ended by a check over a new connection: noticed
        # only at its end, the engine might keep the answer no more.
        return self._connections.bounds.first_token_timeout_s / (MAX_RESUMES + 1)

    async def _dispatch(self, step: Dispatch) -> Outcome:
        model = self._wanted.model
        left_s = max(0.0, self._wanted.deadline_s - time.monotonic())
        head_s = left_s
        if self._wanted.streamed:
            head_s = min(left_s, self._first_s)
        path = raw_target(self._http.scope)
        async with AsyncExitStack() as stack:
            lent = self._connections.for_attempt(self._wanted.non_idempotent)
            client = await stack.enter_async_context(lent)
            endpoint = HttpEndpoint(client, step.address, model is not None)
            attempt = endpoint.stream(
                self._http.method, path, self._body, self._headers(step), head_s
            )
            response = await stack.enter_async_context(attempt)
            if model is not None and response.status == 200:
                return await self._relay_model(response)
            return await self._pass_on(response)

    def _headers(self, step: Dispatch) -> list[tuple[str, str]]:
        headers = [("content-type", "application/json")]
        if self._wanted.model is None:
            headers = passed_on(self._http.headers.items())
        # These are the daemon's own; a caller's of the same names are not.
        own = {
            "x-request-id": self._wanted.request_id,
            "x-attempt-id": step.attempt_id,
            "eliot-task-id": task_id(step.attempt_id),
        }
        kept = [pair for pair in headers if pair[0] not in own]
        return [*kept, *own.items()]

    async def _relay_model(self, response: EndpointResponse) -> Outcome:
        claimed = response.headers.get("x-model", str(self._wanted.model))
        if claimed != str(self._wanted.model):
            return Unknown(Reason.WRONG_ADAPTER, self._tokens)
        if self._wanted.streamed:
            return await self._relay_events(response)
        return await self._pass_on(response)

    async def _relay_events(self, response: EndpointResponse) -> Outcome:
        # The head goes out with the first event: an attempt that breaks before
        # it leaves the status of the answer open.
        self._head = response
        gap_s = self._connections.bounds.token_gap_timeout_s
        first_s = gap_s if self._relay.events else self._first_s
        await self._relay.pump(response.chunks, first_s, gap_s)
        if not self._relay.whole:
            return Unknown(Reason.STREAM_BROKEN, self._tokens)
        return Complete(self._tokens)

    async def _resume(self, step: Resume) -> Outcome:
        # A new connection: if the endpoint answers on it, only the old
        # connection was lost, and the stream goes on here.
        endpoint = HttpEndpoint(self._connections.fresh, step.address)
        head_s = max(self._first_s, self._connections.bounds.connect_timeout_s)
        attempt = endpoint.resume(step.attempt_id, step.offset, head_s)
        async with attempt as response:
            return await self._relay_model(response)

    async def _pass_on(self, response: EndpointResponse) -> Outcome:
        """Pass on an answer that is not a stream of events, once it is whole."""
        body = await _join(response.chunks)
        if self._wanted.model is not None:
            check_model(body, str(self._wanted.model))
        await self._start_from(response)
        self._sent_whole = 1
        await self._send_chunk(body)
        return Complete(1, self._to_record(response, body))

    def _to_record(self, response: EndpointResponse, body: bytes) -> Recorded | None:
        if not may_be_repeated(self._wanted) or len(body) > MAX_ANSWER_BYTES:
            return None
        kind = response.headers.get("content-type", "")
        return Recorded(response.status, kind, body)

    async def _start_from(self, response: EndpointResponse) -> None:
        headers = passed_on(response.headers.multi_items())
        if self._wanted.model is not None:
            kind = response.headers.get("content-type", "application/json")
            headers = [("content-type", kind)]
        await self._start(response.status, headers)

    async def _start(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._started = True
        headers = [*headers, ("x-request-id", self._wanted.request_id)]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(name.encode(), text.encode()) for name, text in headers],
            }
        )

    async def _send_chunk(self, chunk: bytes) -> None:
        if not self._started and self._head is not None:
            await self._start_from(self._head)
        if not self._answered:
            self._answered = True
            self._driver.record(
                "attempt.first_token",
                request=self._wanted.request_id,
                attempt=self._attempt_id,
                endpoint=self._endpoint,
            )
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def _end(self, last: bytes) -> None:
        await self._send({"type": "http.response.body", "body": last})


async def _discard(message: Any) -> None:
    """Take what is sent to a caller that left."""


async def _join(chunks: AsyncIterator[bytes]) -> bytes:
    return b"".join([chunk async for chunk in chunks])
