import functools
from contextlib import suppress

import anyio
from behave import then, when
from h11_reading import pieces_of, read_requests, read_response
from wire_cases import REQUESTS, RESPONSES
from wire_play import (
    SETTLE_S,
    Face,
    play_all,
    read_all,
    reset,
    run,
    send_pieces,
    statuses_of,
)

from knapweedbridge_daemon.serving.http_client import (
    ConnectionBrokenError,
    ConnectionPool,
    Destination,
)
from knapweedbridge_daemon.serving.wire import RequestHead, get_header

ANSWER_S = 1.0


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


@functools.cache
def request_outcomes():
    return run(play_all, REQUESTS, play_request)


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
            async with pool.connection(Destination(address)) as connection:
                await connection.exchange(head, b"", is_mine)
                async for part in connection.read_body():
                    body += part
                await anyio.sleep(SETTLE_S)
                keeps = connection.end_exchange(anyio.current_time())
    except ConnectionBrokenError:
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
    return run(play_all, RESPONSES, play)


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
