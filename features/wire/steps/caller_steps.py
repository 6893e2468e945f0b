import anyio
from behave import then, when
from wire_cases import REQUESTS
from wire_play import QUIET_S, SETTLE_S, Face, read_all, reset, run, statuses_of

from knapweedbridge_daemon.serving.http_client import (
    ConnectionPool,
    Destination,
    NotSentError,
)
from knapweedbridge_daemon.serving.wire import RequestHead, ResponseHead

ACCEPTED_S = 3.0


@when("a caller of HTTP/1.0 asks for a stream that breaks off")
def cut_stream(context):
    async def begin(request, responder):
        await responder.start(ResponseHead(200, []))
        await responder.send(b"a part")

    async def story():
        async with anyio.create_task_group() as tasks:
            port = await Face(begin).start(tasks)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(b"GET / HTTP/1.0\r\n\r\n")
                context.got, context.end = b"", ""
                try:
                    while True:
                        context.got += await stream.receive()
                except anyio.EndOfStream:
                    context.end = "ended"
                except anyio.BrokenResourceError:
                    context.end = "reset"
            tasks.cancel_scope.cancel()

    run(story)


@then("its connection is reset")
def is_reset(context):
    assert context.end == "reset", (context.end, context.got)


@when("a call is to be sent whose time is over, on an open connection")
def over_time(context):
    async def story():
        async with anyio.create_task_group() as tasks:
            face = Face()
            address = f"127.0.0.1:{await face.start(tasks)}"
            pool = ConnectionPool()
            head = RequestHead(b"GET", b"/", [(b"Host", b"h")])
            for deadline_s in (5.0, 0.0):
                with anyio.move_on_after(deadline_s):
                    async with pool.connection(Destination(address)) as connection:
                        await connection.exchange(head, b"", lambda headers: True)
                        async for _ in connection.read_body():
                            pass
            await anyio.sleep(0.05)
            context.requests = len(face.requests)
            await pool.aclose()
            tasks.cancel_scope.cancel()

    run(story)


@then("it does not reach the endpoint")
def not_reached(context):
    assert context.requests == 1, context.requests


@when("a caller reads nothing of a long answer, and then reads it")
def reads_nothing(context):
    async def stream_on(request, responder):
        await responder.start(ResponseHead(200, []))
        for _ in range(4000):
            await responder.send(b"x" * 65536)
            context.sent += 1

    async def story():
        context.sent = 0
        async with anyio.create_task_group() as tasks:
            port = await Face(stream_on).start(tasks)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                await anyio.sleep(QUIET_S)
                before = context.sent
                await anyio.sleep(QUIET_S)
                context.held = context.sent - before
                for _ in range(1000):
                    await stream.receive()
                context.more = context.sent - before
            tasks.cancel_scope.cancel()

    run(story)


@then("meanwhile the answer's writer waits, and then it goes on")
def writer_waits(context):
    assert context.sent < 4000, context.sent
    assert context.held == 0, context.held
    assert context.more > 0, context.more


LEAVING = {
    "closes": lambda stream: stream.aclose(),
    "resets": reset,
    "ends what it sends": lambda stream: stream.send_eof(),
}


@when("a caller {leaves} while its request runs")
def leaves_meanwhile(context, leaves):
    context.broken_off_s = None

    async def wait(request, responder):
        began_s = anyio.current_time()
        try:
            await anyio.sleep(3 * QUIET_S)
        finally:
            context.broken_off_s = anyio.current_time() - began_s

    async def story():
        async with anyio.create_task_group() as tasks:
            port = await Face(wait).start(tasks)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(REQUESTS["a request"])
                await anyio.sleep(SETTLE_S)
                await LEAVING[leaves](stream)
                await anyio.sleep(4 * QUIET_S)
            tasks.cancel_scope.cancel()

    run(story)


@then("the request is broken off within {bound:g} s")
def broken_off(context, bound):
    found_s = context.broken_off_s
    assert found_s is not None and found_s < SETTLE_S + bound, found_s


@when("the face closes, with one idle connection and one request that runs")
def face_closes(context):
    async def answer_late(request, responder):
        await anyio.sleep(QUIET_S / 2)
        await responder.answer(200, [], b"ok")

    async def story():
        context.ends_s, face = {}, Face(answer_late)
        async with anyio.create_task_group() as tasks:
            port = await face.start(tasks)
            tasks.start_soon(read_to_end, context, port, "idle", b"")
            tasks.start_soon(read_to_end, context, port, "runs", REQUESTS["a request"])
            with anyio.fail_after(ACCEPTED_S):
                while not (face.face.idle and face.requests):
                    await anyio.sleep(0.001)
            face.face.closing = True
            face.face.close_idle()
            await anyio.sleep(QUIET_S * 2)
            tasks.cancel_scope.cancel()

    run(story)


async def read_to_end(context, port, name, request):
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        began_s = anyio.current_time()
        if request:
            await stream.send(request)
        got = await read_all(stream)
        context.ends_s[name] = anyio.current_time() - began_s, got


@then("the idle one is closed at once, and the other after its answer")
def closed_in_order(context):
    (idle_s, nothing), (ran_s, got) = context.ends_s["idle"], context.ends_s["runs"]
    assert nothing == b"" and idle_s < ran_s, (idle_s, ran_s)
    assert statuses_of(got) == "200" and b"Connection: close" in got, got


@when("a request has a header value with a line end")
def line_end_in_value(context):
    async def story():
        async with anyio.create_task_group() as tasks:
            face, pool = Face(), ConnectionPool()
            address = f"127.0.0.1:{await face.start(tasks)}"
            headers = [(b"Host", b"h"), (b"Last-Event-Id", b"1\r\nTenant: b")]
            head, context.outcome = RequestHead(b"GET", b"/", headers), "sent"
            try:
                async with pool.connection(Destination(address)) as connection:
                    await connection.exchange(head, b"", lambda found: True)
            except NotSentError:
                context.outcome = "not sent"
            context.requests = len(face.requests)
            tasks.cancel_scope.cancel()

    run(story)


@then("it counts as not sent, and nothing reaches the endpoint")
def not_sent(context):
    assert (context.outcome, context.requests) == ("not sent", 0), context.requests
