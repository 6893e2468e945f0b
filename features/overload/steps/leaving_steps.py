import asyncio
import io
import logging

import anyio
import httpx
from behave import given, then, when
from overload_scenarios import request_of, run_leaving

from knapweedbridge_core import events
from knapweedbridge_core.outcomes import Complete, NotRun, Reason
from knapweedbridge_daemon.draining import Drain, DrainBounds
from knapweedbridge_daemon.web import make_config, serve_until

GRACE_S = 0.3


@when('an engine leaves by "{sign}" with "{daemons}"')
def leaves(context, sign, daemons):
    context.found = run_leaving(sign, signs=daemons == "signals")


@then("the engine got its last request after more than {seconds:d} s")
def last_after(context, seconds):
    assert context.found.last_asked_s > seconds, context.found


@then("the engine got its last request within {seconds:d} s")
def last_within(context, seconds):
    assert context.found.last_asked_s <= seconds, context.found


@then("{which} requests were answered")
def answered(context, which):
    found = context.found
    assert (found.complete == found.requests) == (which == "all"), found


@when(
    "the engine announces that it leaves, and {seconds:d} seconds later that it stays"
)
def leaves_and_stays(context, seconds):
    engine = context.pool.engines["draft-0"]
    engine.leaving = True
    context.pool.clock.run(seconds)
    for bridge in context.pool.bridges.values():
        assert "draft-0" in bridge._context.leaving
    engine.leaving = False


@then("a request is answered within {seconds:d} seconds more")
def answered_within(context, seconds):
    context.pool.ask("host-1", request_of(context.pool, "r1", fingerprint="f"))
    context.pool.clock.run(seconds)
    outcome, _ = context.pool.finished["r1"]
    assert isinstance(outcome, Complete), outcome


@when('an attempt of "{host}" ends as "{reason}"')
def attempt_ends(context, host, reason):
    request = request_of(context.pool, "r1", fingerprint="f")
    outcome = NotRun(Reason(reason))
    result = events.AttemptResult(request, "r1.1", "draft-0", outcome)
    context.pool.tell(host, result)
    context.pool.clock.run(0.1)


@then("no daemon lists the engine as leaving")
def not_leaving(context):
    for bridge in context.pool.bridges.values():
        assert "draft-0" not in bridge._context.leaving


def _stream_of(stream_s):
    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            while (await receive())["type"] == "lifespan.startup":
                await send({"type": "lifespan.startup.complete"})
            await send({"type": "lifespan.shutdown.complete"})
            return
        await send({"type": "http.response.start", "status": 200, "headers": []})
        for _ in range(int(stream_s / 0.02)):
            chunk = {"type": "http.response.body", "body": b"x", "more_body": True}
            await send(chunk)
            await anyio.sleep(0.02)
        await send({"type": "http.response.body", "body": b""})

    return app


async def _read(address, read):
    try:
        async with (
            httpx.AsyncClient(trust_env=False, timeout=10) as client,
            client.stream("GET", f"http://{address}/") as response,
        ):
            async for _ in response.aiter_raw():
                read["begun"].set()
        read["stream"] = "whole"
    except httpx.HTTPError:
        read["stream"] = "cut"


def _free_address():
    import socket

    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{held.getsockname()[1]}"


def _run_captured(context, work):
    """Run `work`, and capture the errors that the event loop logs."""
    logged = io.StringIO()
    handler = logging.StreamHandler(logged)
    logger = logging.getLogger("asyncio")
    logger.addHandler(handler)
    try:
        asyncio.run(work())
    finally:
        logger.removeHandler(handler)
    context.logged = logged.getvalue()


@when("a web server with a stream of {stream_s:g} s is {case}")
def stopped(context, stream_s, case):
    address, read = _free_address(), {}
    graceful_s = 0.2 if "little" in case else 5.0

    async def work():
        read["begun"], stop = anyio.Event(), anyio.Event()
        config = make_config(address, graceful_s)
        async with (
            anyio.create_task_group() as clients,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(serve_until, _stream_of(stream_s), config, stop)
            await _await_listener(address)
            clients.start_soon(_read, address, read)
            await read["begun"].wait()
            if case == "cancelled":
                tasks.cancel_scope.cancel()
            stop.set()

    _run_captured(context, work)
    context.stream = read["stream"]


async def _await_listener(address):
    ip, _, port = address.partition(":")
    while True:
        try:
            await (await anyio.connect_tcp(ip, int(port))).aclose()
            return
        except OSError:
            await anyio.sleep(0.01)


@then('the stream is "{stream}"')
def stream_is(context, stream):
    assert context.stream == stream, context.stream


@then("no errors were logged")
def no_errors(context):
    assert context.logged == "", context.logged


class FakeDriver:
    """The parts of a driver that a drain uses."""

    class bridge:  # noqa: N801
        ledgers = {}

        class configuration:  # noqa: N801
            generation = 1

    def __init__(self):
        self.submitted = []

    async def submit(self, event):
        self.submitted.append(type(event).__name__)

    def following_names(self, names):
        return ["r1"]

    def record(self, kind, **fields):
        self.submitted.append(kind)


def _drain(context, stream_s, work):
    address = _free_address()

    async def run():
        drain = Drain(FakeDriver(), DrainBounds(GRACE_S, 5.0))
        context.drain = drain
        app = drain.face(_stream_of(stream_s))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain.run)
            config = make_config(address, 10)
            async with anyio.create_task_group() as servers:
                servers.start_soon(serve_until, app, config, drain.closed)
                await _await_listener(address)
                await work(drain, address)
            tasks.cancel_scope.cancel()

    _run_captured(context, run)


@given("a server that drains")
def server_drains(context):
    context.health, context.served = [], None

    async def work(drain, address):
        async with httpx.AsyncClient(trust_env=False) as client:
            url = f"http://{address}"
            context.health.append((await client.get(url + "/health")).status_code)
            drain.signal()
            context.health.append((await client.get(url + "/health")).status_code)
            context.served = await client.get(url + "/")

    _drain(context, 0.04, work)


@then("its health is {before:d} before, and {after:d} once it drains")
def health(context, before, after):
    assert context.health == [before, after], context.health


@then("while it drains a request is served, and its connection is closed")
def served(context):
    assert context.served.text == "xx", context.served.text
    assert context.served.headers["connection"] == "close"


@given("a server that drains with an open stream")
def open_stream(context):
    context.stream_s = 30


@when("a second signal arrives")
def second_signal(context):
    read = {}

    async def work(drain, address):
        read["begun"] = anyio.Event()
        async with anyio.create_task_group() as clients:
            clients.start_soon(_read, address, read)
            await read["begun"].wait()
            drain.signal()
            drain.signal()

    _drain(context, context.stream_s, work)
    context.stream = read["stream"]


@then("one cut request is counted")
def counted(context):
    assert context.drain.cut_requests == 1, context.drain.cut_requests
