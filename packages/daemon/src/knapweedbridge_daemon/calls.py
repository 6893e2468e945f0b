"""One request under way: follows the core, carries out its attempts."""

import json
from typing import Any

import anyio
import httpx
from starlette.requests import ClientDisconnect, Request
from starlette.types import Send

from knapweedbridge_core import events
from knapweedbridge_core.actions import Dispatch, Finish
from knapweedbridge_core.outcomes import Complete, Outcome, Reason, Unknown
from knapweedbridge_daemon.answers import error_body, send_error
from knapweedbridge_daemon.driver import Driver
from knapweedbridge_daemon.endpoints import (
    AttemptFailedError,
    EndpointResponse,
    HttpEndpoint,
)
from knapweedbridge_daemon.relay import pump


class Call:
    """One request under way: follows the core, streams its attempts."""

    def __init__(
        self,
        driver: Driver,
        client: httpx.AsyncClient,
        request: Request,
        send: Send,
        body: bytes,
        wanted: events.Request,
    ) -> None:
        self._driver = driver
        self._client = client
        self._http = request
        self._send = send
        self._wanted = wanted
        self._body = body
        self._streamed = False
        if wanted.model is not None:
            fields = json.loads(body)
            self._streamed = bool(fields.get("stream"))
            fields["model"] = str(wanted.model)
            self._body = json.dumps(fields).encode()
        self._started = False
        self._tokens = 0

    async def run(self) -> None:
        """Answer the request, or tell the core that the caller left."""
        request_id = self._wanted.request_id
        follow = self._driver.follow(request_id)
        try:
            await self._driver.submit(events.RequestArrived(self._wanted))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller)
                await self._follow(follow)
                tasks.cancel_scope.cancel()
        finally:
            self._driver.unfollow(request_id)
            with anyio.CancelScope(shield=True):
                await self._driver.submit(events.CallerLeft(request_id))

    async def _watch_caller(self) -> None:
        while True:
            message = await self._http.receive()
            if message["type"] == "http.disconnect":
                raise ClientDisconnect

    async def _follow(self, follow: Any) -> None:
        async for step in follow:
            if isinstance(step, Finish):
                await self._finish(step.outcome)
                return
            outcome = await self._attempt(step)
            ended = events.AttemptEnded(step.request_id, step.attempt_id, outcome)
            await self._driver.submit(ended)

    async def _finish(self, outcome: Outcome) -> None:
        if isinstance(outcome, Complete):
            await self._send({"type": "http.response.body", "body": b""})
        elif not self._started:
            await send_error(self._send, outcome)
        elif self._streamed:
            event = json.dumps(error_body(outcome)).encode()
            last = {"type": "http.response.body", "body": b"data: " + event + b"\n\n"}
            await self._send(last)

    async def _attempt(self, step: Dispatch) -> Outcome:
        endpoint = HttpEndpoint(self._client, step.address)
        headers = {
            "content-type": self._http.headers.get("content-type", "application/json"),
            "x-request-id": self._wanted.request_id,
            "x-attempt-id": step.attempt_id,
        }
        path = self._http.url.path
        if self._http.url.query:
            path += "?" + self._http.url.query
        attempt = endpoint.stream(self._http.method, path, self._body, headers)
        try:
            async with attempt as response:
                return await self._relay(response)
        except AttemptFailedError as error:
            return self._with_tokens(error.outcome)

    def _with_tokens(self, outcome: Outcome) -> Outcome:
        if isinstance(outcome, Unknown):
            return Unknown(outcome.reason, self._tokens)
        return outcome

    async def _relay(self, response: EndpointResponse) -> Outcome:
        claimed = response.headers.get("x-model", str(self._wanted.model))
        if self._wanted.model is not None and claimed != str(self._wanted.model):
            return Unknown(Reason.WRONG_ADAPTER, self._tokens)
        if not self._streamed:
            body = b"".join([chunk async for chunk in response.chunks])
            await self._begin(response)
            await self._send_chunk(body)
            return Complete(1)
        if not self._started:
            await self._begin(response)
        ended = await pump(response.chunks, self._send_chunk)
        self._tokens += ended.events
        if not ended.whole:
            return Unknown(Reason.STREAM_BROKEN, self._tokens)
        return Complete(self._tokens)

    async def _begin(self, response: Any) -> None:
        self._started = True
        kind = response.headers.get("content-type", "application/json")
        headers = [
            (b"content-type", kind.encode()),
            (b"x-request-id", self._wanted.request_id.encode()),
        ]
        await self._send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )

    async def _send_chunk(self, chunk: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )
