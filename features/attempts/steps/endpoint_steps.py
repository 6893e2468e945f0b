import socket
import threading

import anyio
import httpx
from behave import given, then, when

from knapweedbridge_daemon.connections import Bounds, Connections
from knapweedbridge_daemon.endpoints import AttemptFailedError, HttpEndpoint
from knapweedbridge_daemon.relay import Relay

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REFUSAL = b"HTTP/1.1 429 Full\r\ncontent-length: 0\r\n\r\n"


async def attempt(client, address, engine, method="POST"):
    endpoint = HttpEndpoint(client, address, engine)
    try:
        async with endpoint.stream(method, "/x", b"{}", {}, 2.0) as response:
            async for _ in response.chunks:
                pass
            return f"Answer {response.status}"
    except AttemptFailedError as error:
        return f"{type(error.outcome).__name__} {error.outcome.reason}"


@when('a "{kind}" answers {status:d} with the body "{body}"')
def answers(context, kind, status, body):
    async def content():
        yield body.encode()

    async def run():
        transport = httpx.MockTransport(
            lambda request: httpx.Response(status, content=content())
        )
        async with httpx.AsyncClient(transport=transport) as client:
            return await attempt(client, "127.0.0.1:1", kind == "engine")

    context.found = anyio.run(run)


class Server(threading.Thread):
    """Serves one connection after the other according to its script."""

    def __init__(self, script):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.script = script
        self.closed = threading.Event()
        self.requests = 0

    def run(self):
        while True:
            connection, _ = self.listener.accept()
            with connection:
                for step in self.script:
                    if not connection.recv(65536):
                        break
                    self.requests += 1
                    if step == "late":
                        connection.sendall(REFUSAL + ANSWER)
                    elif step == "answer":
                        connection.sendall(ANSWER)
                    elif step == "half":
                        connection.sendall(ANSWER[:20])
                    elif step.isdigit():
                        connection.sendall(ANSWER.replace(b"200", step.encode()))
            self.closed.set()


@when(
    "an endpoint answers a {method} over {client} with the status line number {status}"
)
def answers_with_number(context, method, client, status):
    server = Server([status])
    server.start()

    async def run():
        async with (
            Connections(Bounds(stream_client=client)) as connections,
            connections.pooled() as used,
        ):
            return await attempt(used, server.address, False, method)

    context.found = anyio.run(run)


@given('a server that does "{script}" on each connection and closes it')
def server(context, script):
    context.server = Server(script.split())
    context.server.start()


@given("a port on which nothing listens")
def closed_port(context):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]

    class ClosedPort:
        address = f"127.0.0.1:{port}"

    context.server = ClosedPort


@when("{count:d} attempts are made, each after the connection was closed")
def attempts(context, count):
    async def run():
        found = []
        async with Connections(Bounds(connection_idle_s=60.0)) as connections:
            for _ in range(count):
                async with connections.pooled() as client:
                    found.append(await attempt(client, context.server.address, False))
                if hasattr(context.server, "closed"):
                    context.server.closed.wait(5)
                    context.server.closed.clear()
        return found

    context.found = ", ".join(anyio.run(run))


@when("{count:d} calls that may run once are made to an engine one after the other")
def calls_that_run_once(context, count):
    async def run():
        found = []
        async with Connections(Bounds(connection_idle_s=60.0)) as connections:
            for _ in range(count):
                async with connections.for_attempt(runs_once=True) as client:
                    found.append(await attempt(client, context.server.address, True))
        return found

    context.found = ", ".join(anyio.run(run))


@then('the attempt ends as "{outcome}"')
def ended_as(context, outcome):
    assert context.found == outcome, context.found


@when("a stream of {events:d} events breaks within the next, in chunks of {size:d}")
def relay_breaks(context, events, size):
    text = b"".join(b'data: {"model": "m@1"}\n\n' for _ in range(events))
    text += b'data: {"mod'

    async def chunks():
        for start in range(0, len(text), size):
            yield text[start : start + size]
        raise httpx.ReadError("reset")

    async def run():
        got = []

        async def send(chunk):
            got.append(chunk)

        relay = Relay("m@1", send)
        try:
            await relay.pump(chunks())
        except httpx.ReadError:
            context.relay, context.got = relay, b"".join(got)

    anyio.run(run)


@then("the count delivered is {events:d}, and the caller has that many whole events")
def count_delivered(context, events):
    assert context.relay.events == events, context.relay.events
    assert context.got.count(b"\n\n") == events
    assert context.got.endswith(b"\n\n") or not context.got
    assert not context.relay.whole
