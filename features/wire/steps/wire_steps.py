import functools
from contextlib import suppress

import anyio
from behave import then, when
from h11_reference import read_requests, read_response, split_at
from wire_cases import REQUESTS, RESPONSES
from wire_exchanges import (
    SETTLE_S,
    RecordingServer,
    exchange_all,
    parse_statuses,
    read_all,
    reset,
    run,
    send_pieces,
)

from knapweedbridge_daemon.serving.http_client import (
    ConnectionBrokenError,
    ConnectionPool,
    Destination,
    RequestIdentity,
)
from knapweedbridge_daemon.serving.wire import RequestHead, get_header

RESPONSE_TIMEOUT_S = 1.0


async def exchange_request(data, splits):
    """Send bytes in pieces; return the statuses received and the requests parsed."""
    server = RecordingServer()
    async with anyio.create_task_group() as tasks:
        port = await server.start(tasks)
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            with suppress(anyio.BrokenResourceError):
                await send_pieces(stream, split_at(data, splits))
            received = await read_all(stream)
        tasks.cancel_scope.cancel()
    assert not server.errors, server.errors
    read = [
        (each.head.method, each.head.target, each.head.headers, each.body)
        for each in server.requests
    ]
    return parse_statuses(received), read


@functools.cache
def request_outcomes():
    return run(exchange_all, REQUESTS, exchange_request)


@when("a caller sends {what}, at once and in pieces")
def caller_sends(context, what):
    context.what = what
    context.found = request_outcomes()[what]


@then("the server always responds with {statuses}")
def always_responds(context, statuses):
    wrong = [found for found, _ in context.found if found != statuses]
    assert not wrong, wrong


@then("h11 responds with {by_h11} and parses the same if both accept it")
def responds_like_h11(context, by_h11):
    requests, refusal = read_requests(REQUESTS[context.what], [])
    statuses = ["200"] * len(requests) + ([str(refusal)] if refusal else [])
    assert (" ".join(statuses) or "none") == by_h11, statuses
    for received, read in context.found:
        if [each for each in received.split() if each != "100"] == statuses:
            assert read == requests, (read, requests)


async def end_writing(stream):
    await stream.send_eof()
    await read_all(stream)


ENDS = {"closes": end_writing, "is reset": reset, "stays open": read_all}


async def exchange_response(data, splits, end):
    """Respond with bytes in pieces; return the outcome for the client."""

    async def serve(stream):
        async with stream:
            await stream.receive()
            await send_pieces(stream, split_at(data, splits))
            await ENDS[end](stream)

    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(listener.serve, serve)
        outcome = await send_request(f"127.0.0.1:{port}")
        tasks.cancel_scope.cancel()
    return outcome


async def send_request(address):
    pool = ConnectionPool()
    head = RequestHead(b"GET", b"/", [(b"Host", b"h")])
    body = b""
    try:
        with anyio.fail_after(RESPONSE_TIMEOUT_S):
            async with pool.connection(Destination(address)) as connection:
                await connection.exchange(head, b"", MINE)
                async for part in connection.read_body():
                    body += part
                await anyio.sleep(SETTLE_S)
                is_kept = connection.end_exchange(anyio.current_time())
    except ConnectionBrokenError:
        return "broken", body
    except TimeoutError:
        return "pending", body
    await pool.aclose()
    return "kept" if is_kept else "closed", body


MINE = RequestIdentity("mine", lambda headers: get_header(headers, b"request-id"))


@functools.cache
def response_outcomes(end):
    exchange = functools.partial(exchange_response, end=end)
    return run(exchange_all, RESPONSES, exchange)


@when("an endpoint responds with {what}, at once and in pieces, and then {end}")
def endpoint_answers(context, what, end):
    context.what, context.end = what, end
    context.found = response_outcomes(end)[what]


@then("the connection is always {outcome}")
def connection_is(context, outcome):
    wrong = [each for each in context.found if each[0] != outcome]
    assert not wrong, wrong


@then("with h11 it is {by_h11}, and the body is the same if both accept it")
def with_h11(context, by_h11):
    found, expected = read_response(RESPONSES[context.what], context.end)
    assert found == by_h11, found
    for outcome, body in context.found:
        if outcome == found and outcome in ("kept", "closed"):
            assert body == expected, (body, expected)
