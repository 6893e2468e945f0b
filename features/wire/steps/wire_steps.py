import functools
import random
import socket
import struct
from contextlib import suppress

import anyio
from behave import then, when
from h11_reading import BODY_BYTES, HEAD_BYTES, pieces_of, read_requests, read_response
from wire_cases import REQUESTS, RESPONSES

from knapweedbridge_core.serving import FaceLimits
from knapweedbridge_daemon.serving.http_client import BrokenError, ConnectionPool
from knapweedbridge_daemon.serving.http_server import CallersFace
from knapweedbridge_daemon.serving.wire import RequestHead, ResponseHead, get_header

SEED = 3
RANDOM_CUTS = 6
MOST_PIECES = 5
QUIET_S = 0.4
SETTLE_S = 0.05
ANSWER_S = 1.0
PIECE_GAP_S = 0.002
LIMITS = FaceLimits(HEAD_BYTES, BODY_BYTES, QUIET_S, QUIET_S)


def random_cuts(data):
    """Return no cut, one at each of the last places, and random ones."""
    chosen = random.Random(SEED)
    last = [[len(data) - back] for back in range(1, 5) if len(data) > back]
    some = [
        chosen.sample(range(len(data)), min(len(data), MOST_PIECES))
        for _ in range(RANDOM_CUTS)
    ]
    return [[], *last, *some]


async def send_pieces(stream, pieces):
    for piece in pieces:
        await stream.send(piece)
        await anyio.sleep(PIECE_GAP_S)


class Face:
    """A callers' face that keeps what it is asked."""

    def __init__(self, handler=None):
        self.requests = []
        self.faults = []
        self._handler = handler

    async def handle(self, request, responder):
        self.requests.append(request)
        if self._handler is not None:
            await self._handler(request, responder)
            return
        await responder.answer(200, [], b"ok")

    async def start(self, tasks):
        face = CallersFace(
            self.handle, lambda: LIMITS, lambda error: None, self.faults.append
        )
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, face.serve)
        return listener.extra(anyio.abc.SocketAttribute.local_port)


async def read_all(stream):
    got = b""
    try:
        while True:
            got += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return got


def statuses_of(got):
    found = [part[:3].decode() for part in got.split(b"HTTP/1.1 ")[1:]]
    return " ".join(found) or "none"


async def play_request(data, cuts):
    """Send bytes in pieces; return the statuses answered and the requests read."""
    face = Face()
    async with anyio.create_task_group() as tasks:
        port = await face.start(tasks)
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            with suppress(anyio.BrokenResourceError):
                await send_pieces(stream, pieces_of(data, cuts))
            got = await read_all(stream)
        tasks.cancel_scope.cancel()
    assert not face.faults, face.faults
    read = [
        (each.head.method, each.head.target, each.head.headers, each.body)
        for each in face.requests
    ]
    return statuses_of(got), read


async def play_all(cases, play):
    found = {name: [] for name in cases}

    async def keep(name, data, cuts):
        found[name].append(await play(data, cuts))

    async with anyio.create_task_group() as tasks:
        for name, data in cases.items():
            for cuts in random_cuts(data):
                tasks.start_soon(keep, name, data, cuts)
                await anyio.sleep(0)
    return found


@functools.cache
def request_outcomes():
    return anyio.run(play_all, REQUESTS, play_request)


@when("a caller sends {what}, whole and in pieces")
def caller_sends(context, what):
    context.what = what
    context.found = request_outcomes()[what]


@then("each time it is answered {answers}")
def answered_each_time(context, answers):
    wrong = [statuses for statuses, _ in context.found if statuses != answers]
    assert not wrong, wrong


@then("h11 alone answers {by_h11}, and reads the same where both take it")
def as_h11(context, by_h11):
    requests, refusal = read_requests(REQUESTS[context.what], [])
    statuses = ["200"] * len(requests) + ([str(refusal)] if refusal else [])
    assert (" ".join(statuses) or "none") == by_h11, statuses
    for answers, read in context.found:
        if [each for each in answers.split() if each != "100"] == statuses:
            assert read == requests, (read, requests)


async def end_writing(stream):
    await stream.send_eof()
    await read_all(stream)


async def reset(stream):
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await stream.aclose()


ENDS = {"ends": end_writing, "is reset": reset, "stays": read_all}


async def play_response(data, cuts, end):
    """Answer a request with bytes in pieces; return what the client makes of it."""

    async def serve(stream):
        async with stream:
            await stream.receive()
            await send_pieces(stream, pieces_of(data, cuts))
            await ENDS[end](stream)

    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(listener.serve, serve)
        outcome = await ask(f"127.0.0.1:{port}")
        tasks.cancel_scope.cancel()
    return outcome


async def ask(address):
    pool = ConnectionPool()
    head = RequestHead(b"GET", b"/", [(b"Host", b"h")])
    body = b""
    try:
        with anyio.fail_after(ANSWER_S):
            async with pool.connection(address) as connection:
                await connection.exchange(head, b"", is_mine)
                async for part in connection.read_body():
                    body += part
                await anyio.sleep(SETTLE_S)
                keeps = connection.end_exchange(anyio.current_time())
    except BrokenError:
        return "broken", body
    except TimeoutError:
        return "waits", body
    await pool.aclose()
    return "kept" if keeps else "closed", body


def is_mine(headers):
    return get_header(headers, b"request-id") in (None, "mine")


@functools.cache
def response_outcomes(end):
    play = functools.partial(play_response, end=end)
    return anyio.run(play_all, RESPONSES, play)


@when("an endpoint answers with {what}, whole and in pieces, and then {end}")
def endpoint_answers(context, what, end):
    context.what, context.end = what, end
    context.found = response_outcomes(end)[what]


@then("each time the connection is found {kept}")
def connection_is(context, kept):
    wrong = [each for each in context.found if each[0] != kept]
    assert not wrong, wrong


@then("h11 alone finds it {kept}, and reads the same where both take it")
def h11_finds(context, kept):
    found, expected = read_response(RESPONSES[context.what], context.end)
    assert found == kept, found
    for outcome, body in context.found:
        if outcome == found and outcome in ("kept", "closed"):
            assert body == expected, (body, expected)


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

    anyio.run(story)


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
                    async with pool.connection(address) as connection:
                        await connection.exchange(head, b"", lambda headers: True)
                        async for _ in connection.read_body():
                            pass
            await anyio.sleep(0.05)
            context.requests = len(face.requests)
            await pool.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(story)


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

    anyio.run(story)


@then("meanwhile the answer's writer waits, and then it goes on")
def writer_waits(context):
    assert context.sent < 4000, context.sent
    assert context.held == 0, context.held
    assert context.more > 0, context.more
