"""Stand-in of a model engine: slots, loads, continuous batches, streams."""

import json
import math
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from knapweedbridge_standins.oracle import answer, prompt_of

DEFAULT_MAX_TOKENS = 16


@dataclass(slots=True)
class _Sequence:
    model: str
    tokens: list[str]
    send: MemoryObjectSendStream[str]
    place: int = 0


@dataclass(slots=True)
class EngineStandIn:
    """One engine.

    Parameters
    ----------
    slots : int
        Adapters it can hold.
    batch : int
        Sequences that share a step.
    step_s : float
        Duration of a step, in which each sequence of the batch gets a token.
    weight_store : str
        URL of the weight store; empty: loads take no time.
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    """

    slots: int = 8
    batch: int = 16
    step_s: float = 0.01
    weight_store: str = ""
    checks_fencing: bool = False
    loaded: set[str] = field(default_factory=set)
    loading: set[str] = field(default_factory=set)
    sequences: list[_Sequence] = field(default_factory=list)
    highest_number: int = 0
    evicted_while_running: int = 0

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/completions", self._complete, methods=["POST"]),
                Route("/v1/chat/completions", self._complete, methods=["POST"]),
                Route("/v1/load_lora_adapter", self._load, methods=["POST"]),
                Route("/v1/unload_lora_adapter", self._unload, methods=["POST"]),
                Route("/report", self._report),
            ]
        )

    async def run(self) -> None:
        """Step for ever."""
        while True:
            await anyio.sleep(self.step_s)
            self.step()

    def step(self) -> None:
        """Give each sequence of the batch its next token."""
        for sequence in self.sequences[: self.batch]:
            try:
                sequence.send.send_nowait(sequence.tokens[sequence.place])
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                self._end(sequence)
                continue
            sequence.place += 1
            if sequence.place == len(sequence.tokens):
                self._end(sequence)

    def _end(self, sequence: _Sequence) -> None:
        if sequence in self.sequences:
            self.sequences.remove(sequence)
        sequence.send.close()

    async def _complete(self, request: Request) -> Response:
        body = json.loads(await request.body())
        model = body["model"]
        if model not in self.loaded:
            return JSONResponse({"error": {"code": "not_loaded"}}, status_code=404)
        tokens = answer(model, prompt_of(body), self._max_tokens(body))
        send, receive = anyio.create_memory_object_stream[str](math.inf)
        sequence = _Sequence(model, tokens, send)
        self.sequences.append(sequence)
        chat = request.url.path.endswith("chat/completions")
        headers = {"x-model": model}
        if body.get("stream"):
            return StreamingResponse(
                self._events(sequence, receive, chat),
                media_type="text/event-stream",
                headers=headers,
            )
        text = "".join([token async for token in self._tokens(sequence, receive)])
        return JSONResponse(_whole(model, text, len(tokens), chat), headers=headers)

    @staticmethod
    def _max_tokens(body: dict[str, Any]) -> int:
        wanted = body.get("max_completion_tokens") or body.get("max_tokens")
        return int(wanted or DEFAULT_MAX_TOKENS)

    async def _tokens(
        self, sequence: _Sequence, receive: MemoryObjectReceiveStream[str]
    ) -> AsyncIterator[str]:
        try:
            async for token in receive:
                yield token
        finally:
            receive.close()
            self._end(sequence)

    async def _events(
        self, sequence: _Sequence, receive: MemoryObjectReceiveStream[str], chat: bool
    ) -> AsyncIterator[bytes]:
        async for token in self._tokens(sequence, receive):
            yield b"data: " + json.dumps(_chunk(sequence.model, token, chat)).encode()
            yield b"\n\n"
        yield b"data: [DONE]\n\n"

    async def _load(self, request: Request) -> Response:
        body = json.loads(await request.body())
        if not self._accepts(request):
            return JSONResponse({"error": "old fencing number"}, status_code=412)
        name = body["lora_name"]
        if name in self.loaded:
            return JSONResponse({})
        if len(self.loaded) + len(self.loading) >= self.slots:
            return JSONResponse({"error": "no free slot"}, status_code=409)
        self.loading.add(name)
        try:
            fetched = await self._fetch(body["lora_path"])
        finally:
            self.loading.discard(name)
        if not fetched:
            return JSONResponse({"error": "the load failed"}, status_code=500)
        self.loaded.add(name)
        return JSONResponse({})

    async def _fetch(self, weights: str) -> bool:
        if not self.weight_store:
            return True
        try:
            async with httpx.AsyncClient(timeout=60) as client:
                found = await client.get(f"{self.weight_store}/weights/{weights}")
        except httpx.HTTPError:
            return False
        return found.status_code == 200

    async def _unload(self, request: Request) -> Response:
        body = json.loads(await request.body())
        if not self._accepts(request):
            return JSONResponse({"error": "old fencing number"}, status_code=412)
        name = body["lora_name"]
        running = [held for held in self.sequences if held.model == name]
        self.evicted_while_running += len(running)
        for sequence in running:
            self._end(sequence)
        self.loaded.discard(name)
        return JSONResponse({})

    def _accepts(self, request: Request) -> bool:
        number = int(request.headers.get("x-fencing-number", "0"))
        if self.checks_fencing and number < self.highest_number:
            return False
        self.highest_number = max(self.highest_number, number)
        return True

    async def _report(self, request: Request) -> Response:
        running: dict[str, int] = {}
        for sequence in self.sequences:
            running[sequence.model] = running.get(sequence.model, 0) + 1
        return JSONResponse(
            {
                "loaded": sorted(self.loaded),
                "running": running,
                "evicted_while_running": self.evicted_while_running,
            }
        )


def _chunk(model: str, token: str, chat: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": None}
    if chat:
        choice["delta"] = {"role": "assistant", "content": token}
    else:
        choice["text"] = token
    kind = "chat.completion.chunk" if chat else "text_completion"
    return {
        "id": "c",
        "object": kind,
        "created": 0,
        "model": model,
        "choices": [choice],
    }


def _whole(model: str, text: str, tokens: int, chat: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": "c",
        "object": "chat.completion" if chat else "text_completion",
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": 1,
            "completion_tokens": tokens,
            "total_tokens": tokens + 1,
        },
    }
