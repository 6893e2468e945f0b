"""Stand-in of a model engine: slots, loads, continuous batches, streams."""

import contextlib
import json
import os
import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import asdict, dataclass, field
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from knapweedbridge_standins.batch import Batch, Sequence
from knapweedbridge_standins.engine_slots import Slots
from knapweedbridge_standins.engine_wire import chunk, event, whole
from knapweedbridge_standins.faults import set_faults
from knapweedbridge_standins.journal import Journal
from knapweedbridge_standins.oracle import answer, prompt_of
from knapweedbridge_standins.prefix_cache import PrefixCache

DEFAULT_MAX_TOKENS = 16
BLOCKS_A_STEP = 16
REPORTS_KEPT = 512
CRASHED = 70
LEAVING_HEADERS = {"x-leaving": "true", "retry-after": "1"}
ROLES = ("mixed", "prefill", "decode")


@dataclass(slots=True)
class EngineFaults:
    """Faults a test may switch on.

    Parameters
    ----------
    leaving : bool
        New work and loads are refused; what runs is finished.
    crash_on : str
        A prompt that holds this text ends the process; empty: none does.
    fail_loads : int
        This many next loads fail.
    refuse : bool
        New work is refused as by a full engine (429).
    frozen_steps : bool
        No step is made, so streams stand still.
    """

    leaving: bool = False
    crash_on: str = ""
    fail_loads: int = 0
    refuse: bool = False
    frozen_steps: bool = False


def _crash() -> None:
    os._exit(CRASHED)


@dataclass(slots=True)
class EngineStandIn:
    """One engine.

    Parameters
    ----------
    slots, weight_store, checks_fencing
        See `Slots`.
    batch : int
        Sequences that share a step.
    step_s : float
        Duration of a step, in which each sequence of the batch gets a token.
    report_lag_s : float
        Age of what a report shows.
    cache : PrefixCache
        Prompts it remembers; a first token waits for the blocks it lacks.
    keep_s : float
        How long a stream without a reader may be resumed.
    journal : Journal
        Where runs and orders are written.
    crash : callable
        Ends the process on a prompt that crashes it.
    """

    slots: int = 8
    batch: int = 16
    step_s: float = 0.01
    weight_store: str = ""
    checks_fencing: bool = False
    report_lag_s: float = 0.0
    cache: PrefixCache = field(default_factory=PrefixCache)
    keep_s: float = 3.0
    journal: Journal = field(default_factory=Journal)
    crash: Callable[[], None] = _crash
    faults: EngineFaults = field(default_factory=EngineFaults)
    incarnation: int = field(default_factory=time.time_ns)
    role: str = "mixed"
    runs: dict[str, int] = field(default_factory=dict)
    held: Slots = field(init=False)
    work: Batch = field(init=False)
    _reports: deque[dict[str, Any]] = field(init=False)
    _report_number: int = 0

    def __post_init__(self) -> None:
        self.held = Slots(self.slots, self.weight_store, self.checks_fencing)
        self.work = Batch(self.batch, self.keep_s)
        self._reports = deque(maxlen=REPORTS_KEPT)

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/completions", self._complete, methods=["POST"]),
                Route("/v1/chat/completions", self._complete, methods=["POST"]),
                Route("/v1/streams/{attempt_id}", self._resume),
                Route("/v1/cancel", self._cancel, methods=["POST"]),
                Route("/v1/load_lora_adapter", self._load, methods=["POST"]),
                Route("/v1/unload_lora_adapter", self._unload, methods=["POST"]),
                Route("/v1/role", self._change_role, methods=["POST"]),
                Route("/v1/kv/export", self._export, methods=["POST"]),
                Route("/v1/kv/import", self._import, methods=["POST"]),
                Route("/v1/cache_events", self._cache_events),
                Route("/report", self._report),
                Route("/runs", self._show_runs),
                Route("/faults", self._set_faults, methods=["POST"]),
            ]
        )

    async def run(self) -> None:
        """Step for ever."""
        self.journal.write("engine_started", incarnation=self.incarnation)
        while True:
            await anyio.sleep(self.step_s)
            if not self.faults.frozen_steps:
                self.step()

    def step(self) -> None:
        """Give each sequence of the batch its next token."""
        self.work.step(time.monotonic())
        if self.report_lag_s > 0:
            self._reports.append(self._take_report())

    async def _complete(self, request: Request) -> Response:
        body = json.loads(await request.body())
        refused = self._refusal(body["model"])
        if refused is not None:
            return refused
        sequence = self._begin(request, body)
        if body.get("stream"):
            return self._stream(sequence, 0)
        async with self._reader(sequence):
            tokens = [token async for token in sequence.read(0)]
        if sequence.broken:
            return JSONResponse({"error": {"code": "broken_off"}}, status_code=500)
        text = whole(sequence.model, "".join(tokens), len(tokens), sequence.chat)
        return JSONResponse(text, headers={"x-model": sequence.model})

    def _refusal(self, model: str) -> Response | None:
        if self.faults.leaving:
            return _error("leaving", 503, LEAVING_HEADERS)
        if self.faults.refuse:
            return _error("full", 429, {"retry-after": "1"})
        if self.role == "prefill":
            return _error("wrong_role", 409)
        if model not in self.held.loaded:
            return _error("not_loaded", 404)
        return None

    def _begin(self, request: Request, body: dict[str, Any]) -> Sequence:
        model, prompt = body["model"], prompt_of(body)
        attempt_id = request.headers.get("x-attempt-id", "")
        request_id = request.headers.get("x-request-id", attempt_id)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.journal.write(
            "run", request=request_id, attempt=attempt_id, model=model, prompt=prompt
        )
        if self.faults.crash_on and self.faults.crash_on in prompt:
            self.crash()
        sequence = Sequence(
            attempt_id,
            request_id,
            model,
            prompt,
            int(body.get("priority") or 0),
            self.work.next_order(),
            answer(model, prompt, _max_tokens(body)),
            request.url.path.endswith("chat/completions"),
            self.cache.missing(model, prompt) // BLOCKS_A_STEP,
            left_s=time.monotonic(),
        )
        self.cache.store(model, prompt, time.monotonic())
        self.work.add(sequence)
        return sequence

    @contextlib.asynccontextmanager
    async def _reader(self, sequence: Sequence) -> AsyncIterator[None]:
        sequence.readers += 1
        try:
            yield
        finally:
            self.work.left(sequence, time.monotonic())

    def _stream(self, sequence: Sequence, offset: int) -> Response:
        return StreamingResponse(
            self._events(sequence, offset),
            media_type="text/event-stream",
            headers={"x-model": sequence.model},
        )

    async def _events(self, sequence: Sequence, offset: int) -> AsyncIterator[bytes]:
        async with self._reader(sequence):
            async for token in sequence.read(offset):
                yield event(chunk(sequence.model, token, sequence.chat))
            if sequence.broken:
                yield event({"error": {"code": "broken_off"}})
                return
            yield b"data: [DONE]\n\n"

    async def _resume(self, request: Request) -> Response:
        sequence = self.work.find(request.path_params["attempt_id"])
        offset = int(request.query_params.get("offset", "0"))
        if sequence is None or sequence.broken:
            return _error("no_such_stream", 404)
        if not 0 <= offset <= sequence.produced:
            return _error("offset_ahead", 416)
        return self._stream(sequence, offset)

    async def _cancel(self, request: Request) -> Response:
        attempt_id = json.loads(await request.body())["attempt_id"]
        sequence = self.work.find(attempt_id)
        if sequence is None:
            return JSONResponse({"known": False, "cancelled": False})
        cancelled = not sequence.ended
        self.work.end(sequence)
        return JSONResponse({"known": True, "cancelled": cancelled})

    async def _load(self, request: Request) -> Response:
        body = json.loads(await request.body())
        name = body["lora_name"]
        refused = self._refuse_order(request, "load", name)
        if refused is not None:
            return refused
        if name in self.held.loaded:
            return JSONResponse({})
        if self.held.is_full():
            self.held.orders.over_full += 1
            return _error("no free slot", 409)
        if self.faults.fail_loads > 0:
            self.faults.fail_loads -= 1
            self.held.orders.failed_loads += 1
            return _error("the load failed", 500)
        if not await self.held.load(name, body["lora_path"]):
            return _error("the load failed", 500)
        return JSONResponse({})

    def _refuse_order(self, request: Request, kind: str, name: str) -> Response | None:
        number = int(request.headers.get("x-fencing-number", "0"))
        old = number < self.held.highest_number
        accepted = self.held.accepts(number)
        self.journal.write(
            "order", order=kind, model=name, number=number, old=old, accepted=accepted
        )
        if not accepted:
            return _error("old fencing number", 412)
        if kind == "load" and self.faults.leaving:
            return _error("leaving", 503, LEAVING_HEADERS)
        return None

    async def _unload(self, request: Request) -> Response:
        name = json.loads(await request.body())["lora_name"]
        refused = self._refuse_order(request, "evict", name)
        if refused is not None:
            return refused
        orders = self.held.orders
        running = [held for held in self.work.running if held.model == name]
        read = [held.attempt_id for held in running if held.readers]
        orders.evicted_while_running += len(read)
        orders.evicted_unread += len(running) - len(read)
        orders.evicted_absent += name not in self.held.loaded
        orders.evictions += 1
        if read:
            self.journal.write("evicted_while_running", model=name, attempts=read)
        for sequence in running:
            self.work.end(sequence)
        self.held.loaded.discard(name)
        self.cache.forget(name, time.monotonic())
        return JSONResponse({})

    async def _change_role(self, request: Request) -> Response:
        role = json.loads(await request.body())["role"]
        refused = self._refuse_order(request, "role", role)
        if refused is not None:
            return refused
        if role not in ROLES:
            return _error(f"allowed: {', '.join(ROLES)}", 422)
        self.role = role
        return JSONResponse({"role": role})

    async def _export(self, request: Request) -> Response:
        body = json.loads(await request.body())
        model, prompt = body["model"], prompt_of(body)
        if model not in self.held.loaded:
            return _error("not_loaded", 404)
        self.cache.store(model, prompt, time.monotonic())
        return JSONResponse({"model": model, "prompt": prompt})

    async def _import(self, request: Request) -> Response:
        body = json.loads(await request.body())
        self.cache.store(body["model"], body["prompt"], time.monotonic())
        return JSONResponse({})

    async def _cache_events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        found = self.cache.events(after, time.monotonic())
        return JSONResponse([asdict(held) for held in found])

    def _take_report(self) -> dict[str, Any]:
        self._report_number += 1
        running: dict[str, int] = {}
        for sequence in self.work.running:
            running[sequence.model] = running.get(sequence.model, 0) + 1
        return {
            "incarnation": self.incarnation,
            "sequence": self._report_number,
            "taken_s": time.monotonic(),
            "loaded": sorted(self.held.loaded),
            "loading": sorted(self.held.loading),
            "running": running,
            "attempts": [held.attempt_id for held in self.work.running],
            "leaving": self.faults.leaving,
            "role": self.role,
        }

    async def _report(self, request: Request) -> Response:
        now_s = time.monotonic()
        # A report asked for under a fencing number shuts older owners out.
        self.held.shut_out(int(request.headers.get("x-fencing-number", "0")))
        shown = self._take_report() if self.report_lag_s <= 0 else None
        for report in self._reports:
            if report["taken_s"] <= now_s - self.report_lag_s:
                shown = report
        if shown is None:
            return _error("no report yet", 503)
        orders = self.held.orders
        return JSONResponse(
            {
                **shown,
                "age_s": now_s - shown["taken_s"],
                "orders": asdict(orders),
                "evicted_while_running": orders.evicted_while_running,
                "steps": self.work.steps,
                "filled": self.work.filled,
            }
        )

    async def _show_runs(self, request: Request) -> Response:
        return JSONResponse(self.runs)

    async def _set_faults(self, request: Request) -> Response:
        return await set_faults(self.faults, request)


def _max_tokens(body: dict[str, Any]) -> int:
    wanted = body.get("max_completion_tokens") or body.get("max_tokens")
    return int(wanted or DEFAULT_MAX_TOKENS)


def _error(code: str, status: int, headers: dict[str, str] | None = None) -> Response:
    return JSONResponse({"error": {"code": code}}, status, headers)
