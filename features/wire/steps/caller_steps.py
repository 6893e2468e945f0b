import anyio
from behave import then, when
from wire_cases import REQUESTS
from wire_exchanges import (
    QUIET_S,
    SETTLE_S,
    RecordingServer,
    parse_statuses,
    read_all,
    reset,
    run,
)

from knapweedbridge_daemon.serving.http_client import (
    ConnectionPool,
    Destination,
    NotSentError,
    RequestIdentity,
)
from knapweedbridge_daemon.serving.wire import RequestHead, ResponseHead

ACCEPT_TIMEOUT_S = 3.0


@when("an HTTP/1.0 caller requests a stream that is truncated")
def truncate_stream(context):
    async def begin(request, responder):
        await responder.start(ResponseHead(200, []))
        await responder.send(b"a part")

    async def run_scenario():
        async with anyio.create_task_group() as tasks:
            port = await RecordingServer(begin).start(tasks)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(b"GET / HTTP/1.0\r\n\r\n")
                context.received, context.end = b"", ""
                try:
                    while True:
                        context.received += await stream.receive()
                except anyio.EndOfStream:
                    context.end = "ended"
                except anyio.BrokenResourceError:
                    context.end = "reset"
            tasks.cancel_scope.cancel()

    run(run_scenario)


@then("its connection is reset")
def is_reset(context):
    assert context.end == "reset", (context.end, context.received)


@when("a call that has timed out is sent on an open connection")
def send_after_timeout(context):
    async def run_scenario():
        async with anyio.create_task_group() as tasks:
            server = RecordingServer()
            address = f"127.0.0.1:{await server.start(tasks)}"
            pool = ConnectionPool()
            head = RequestHead(b"GET", b"/", [(b"Host", b"h")])
            for name, deadline_s in (("first", 5.0), ("second", 0.0)):
                identity = RequestIdentity(name, lambda headers: None)
                with anyio.move_on_after(deadline_s):
                    async with pool.connection(Destination(address), name) as lent:
                        await lent.exchange(head, b"", identity)
                        async for _ in lent.read_body():
                            pass
            await anyio.sleep(0.05)
            assert pool.reused == 1, "the second call had no open connection"
            context.requests = len(server.requests)
            await pool.aclose()
            tasks.cancel_scope.cancel()

    run(run_scenario)


@then("it does not reach the endpoint")
def not_reached(context):
    assert context.requests == 1, context.requests


@when("a caller does not read a long response, and then reads it")
def read_late(context):
    async def stream_on(request, responder):
        await responder.start(ResponseHead(200, []))
        for _ in range(4000):
            await responder.send(b"x" * 65536)
            context.sent += 1

    async def run_scenario():
        context.sent = 0
        async with anyio.create_task_group() as tasks:
            port = await RecordingServer(stream_on).start(tasks)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                await anyio.sleep(QUIET_S)
                before = context.sent
                await anyio.sleep(QUIET_S)
                context.sent_while_blocked = context.sent - before
                for _ in range(1000):
                    await stream.receive()
                context.sent_after_reading = context.sent - before
            tasks.cancel_scope.cancel()

    run(run_scenario)


@then("the writer of the response waits until the caller reads")
def writer_waits(context):
    assert context.sent < 4000, context.sent
    assert context.sent_while_blocked == 0, context.sent_while_blocked
    assert context.sent_after_reading > 0, context.sent_after_reading


DISCONNECTS = {
    "closes": lambda stream: stream.aclose(),
    "resets": reset,
    "closes for writing": lambda stream: stream.send_eof(),
}


@when("a caller {disconnects} while its request runs")
def disconnects_meanwhile(context, disconnects):
    context.cancelled_after_s = None

    async def wait(request, responder):
        began_s = anyio.current_time()
        try:
            await anyio.sleep(3 * QUIET_S)
        finally:
            context.cancelled_after_s = anyio.current_time() - began_s

    async def run_scenario():
        async with anyio.create_task_group() as tasks:
            port = await RecordingServer(wait).start(tasks)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(REQUESTS["a request"])
                await anyio.sleep(SETTLE_S)
                await DISCONNECTS[disconnects](stream)
                await anyio.sleep(4 * QUIET_S)
            tasks.cancel_scope.cancel()

    run(run_scenario)


@then("the request is cancelled within {bound:g} s")
def is_cancelled(context, bound):
    found_s = context.cancelled_after_s
    assert found_s is not None and found_s < SETTLE_S + bound, found_s


@when("the server closes with one idle connection and one running request")
def server_closes(context):
    async def answer_late(request, responder):
        await anyio.sleep(QUIET_S / 2)
        await responder.answer(200, [], b"ok")

    async def run_scenario():
        context.ends_s, server = {}, RecordingServer(answer_late)
        async with anyio.create_task_group() as tasks:
            port = await server.start(tasks)
            tasks.start_soon(read_to_end, context, port, "idle", b"")
            tasks.start_soon(read_to_end, context, port, "runs", REQUESTS["a request"])
            with anyio.fail_after(ACCEPT_TIMEOUT_S):
                while not (server.http_server.idle and server.requests):
                    await anyio.sleep(0.001)
            server.http_server.closing = True
            server.http_server.close_idle()
            await anyio.sleep(QUIET_S * 2)
            tasks.cancel_scope.cancel()

    run(run_scenario)


async def read_to_end(context, port, name, request):
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        began_s = anyio.current_time()
        if request:
            await stream.send(request)
        received = await read_all(stream)
        context.ends_s[name] = anyio.current_time() - began_s, received


@then("the idle connection is closed at once, and the other after its response")
def closed_in_order(context):
    (idle_s, nothing), (ran_s, received) = (
        context.ends_s["idle"],
        context.ends_s["runs"],
    )
    assert nothing == b"" and idle_s < ran_s, (idle_s, ran_s)
    assert parse_statuses(received) == "200" and b"Connection: close" in received, (
        received
    )


@when("a request has a header value with a line break")
def send_line_break(context):
    async def run_scenario():
        async with anyio.create_task_group() as tasks:
            server, pool = RecordingServer(), ConnectionPool()
            address = f"127.0.0.1:{await server.start(tasks)}"
            headers = [(b"Host", b"h"), (b"Last-Event-Id", b"1\r\nTenant: b")]
            head, context.outcome = RequestHead(b"GET", b"/", headers), "sent"
            try:
                async with pool.connection(Destination(address)) as connection:
                    await connection.exchange(head, b"")
            except NotSentError:
                context.outcome = "not sent"
            context.requests = len(server.requests)
            tasks.cancel_scope.cancel()

    run(run_scenario)


@then("the request is not sent and does not reach the endpoint")
def not_sent(context):
    assert (context.outcome, context.requests) == ("not sent", 0), context.requests
