from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import BodyIntake, HeldKind, MemoryBudget
from knapweedbridge_daemon.serving.http_server import (
    CallerDisconnectedError,
    ReceivedRequest,
)
from knapweedbridge_daemon.serving.memory_guard import PIECE_BYTES, MemoryGuard
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_daemon.serving.wire import RequestHead, ResponseHead
from knapweedbridge_platform.callers import PlatformCallers
from knapweedbridge_standins.virtual_loop import run_virtually

CALLERS = 500
PIECES = 4
PAUSES_S = {"nothing for 60 s": 60.0, "a piece every 3 s": 3.0, "at once": 0.0}


@given("a budget of {limit:g} MB")
def budget_of(context, limit):
    context.budget = MemoryBudget(round(limit * 1_000_000))


class Reader:
    """A caller whose body is held until it has read all pieces of its response."""

    def __init__(self, budget, number, arrived_s, body_bytes, pause_s):
        self.budget, self.body_bytes, self.pause_s = budget, body_bytes, pause_s
        self.pieces = PIECES
        self.read_s = arrived_s
        budget.hold(HeldKind.BODIES, body_bytes)
        self.number = budget.begin_write(PIECE_BYTES, arrived_s)

    def step(self, now_s):
        """Read what is due; return whether everything is read."""
        if now_s - self.read_s < self.pause_s:
            return False
        self.read_s = now_s
        self.budget.record_read(self.number, PIECE_BYTES, now_s)
        self.pieces -= 1
        self.budget.end_write(self.number)
        if not self.pieces:
            self.budget.hold(HeldKind.BODIES, -self.body_bytes)
            return True
        self.number = self.budget.begin_write(PIECE_BYTES, now_s)
        return False

    def leave(self):
        self.budget.end_write(self.number)
        self.budget.hold(HeldKind.BODIES, -self.body_bytes)


@when("500 callers come in {seconds:g} s with bodies of {body:d} kB, and read {reads}")
def callers_come(context, seconds, body, reads):
    budget, readers = context.budget, []
    intake = BodyIntake(budget)
    context.most_bytes = context.refused = context.gone = 0
    came, now_s = 0, 0.0
    while came < CALLERS or readers:
        while came < CALLERS and came * seconds / CALLERS <= now_s:
            came += 1
            if intake.must_refuse(body * 1000):
                context.refused += 1
            else:
                pause_s = PAUSES_S[reads]
                readers.append(Reader(budget, came, now_s, body * 1000, pause_s))
        context.most_bytes = max(context.most_bytes, budget.held_bytes)
        silent = set(budget.silent_readers(now_s))
        for each in [each for each in readers if each.number in silent]:
            each.leave()
            readers.remove(each)
            context.gone += 1
        readers = [each for each in readers if not each.step(now_s)]
        now_s += 0.1


@then("at most {most:g} MB are held, and nothing at the end")
def at_most_held(context, most):
    # A caller accepted just below the limit adds its response.
    assert context.most_bytes <= most * 1e6 + PIECE_BYTES, context.most_bytes
    assert context.budget.held_bytes == 0, context.budget


@then("the callers refused are {refused}, and those disconnected {gone}")
def refused_and_gone(context, refused, gone):
    found = context.refused, context.gone
    assert (context.refused > 0) == (refused == "some"), found
    assert (context.gone > 0) == (gone == "some"), found


class SlowResponder:
    """Awaits each write until its caller has read it."""

    def __init__(self, pause_s):
        self.pause_s = pause_s
        self.begun = self.ended = False
        self.status, self.written = None, b""

    async def start(self, head):
        self.begun, self.status = True, head.status

    async def send(self, data):
        await anyio.sleep(self.pause_s)
        self.written += data

    async def end(self, data=b""):
        await self.send(data)
        self.ended = True

    async def answer(self, status, headers, body, close=False):
        self.begun = self.ended = True
        self.status, self.retry_after = status, dict(headers).get(b"Retry-After")


@when(
    "a request with a body of {body:d} kB gets {answer:d} kB, and its caller reads "
    "{reads}"
)
def request_gets(context, body, answer, reads):
    hub = SimpleNamespace(
        memory=context.budget,
        intake=BodyIntake(context.budget),
        metrics=MetricsRegistry(),
        log=SimpleNamespace(info=lambda kind, **fields: None),
        dialects=SimpleNamespace(callers=PlatformCallers()),
    )
    content = bytes(range(250)) * (answer * 4)

    async def handle(request, responder):
        await responder.start(ResponseHead(200, []))
        await responder.end(content)

    async def story():
        held = MemoryGuard(hub)
        responder = SlowResponder(PAUSES_S[reads])
        head = RequestHead(b"POST", b"/", [])
        request = ReceivedRequest(head, b"x" * body * 1000, 0.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(held.run)
            began_s = anyio.current_time()
            try:
                await held.guard(handle)(request, responder)
                context.outcome = "ended" if responder.status == 200 else "refused"
            except CallerDisconnectedError:
                context.outcome = "disconnected"
            context.took_s = anyio.current_time() - began_s
            tasks.cancel_scope.cancel()
        if context.outcome == "ended":
            assert responder.written == content, len(responder.written)
        if context.outcome == "refused":
            assert responder.status == 503, responder.status
            assert responder.retry_after == b"0.500", responder.retry_after

    run_virtually(story())


@then("it ends as {outcome} after {least:g} to {most:g} s, and nothing is held")
def ends_as(context, outcome, least, most):
    assert context.outcome == outcome, context.outcome
    assert least <= context.took_s <= most, context.took_s
    assert context.budget.held_bytes == 0, context.budget
