import socket
import struct

import anyio
from behave import given, then, when

from knapweedbridge_daemon.peer_sockets import PeerListener, connect_peer

LIMIT_S = 10.0
NO_LINGER = struct.pack("ii", 1, 0)
TOTAL_BYTES = 64_000_000


class Connection:
    """Sender and receiver of a connection; the last step runs the scenario."""

    def __init__(self):
        self.steps = []

    async def _run(self):
        listener = PeerListener()
        await listener.listen("127.0.0.1", 0)
        ip, _, port = listener.address.rpartition(":")
        self.sender = await connect_peer(ip, int(port))
        made = anyio.Event()

        async def serve(receiver):
            self.receiver = receiver
            made.set()

        with anyio.fail_after(LIMIT_S):
            while not listener._made:
                await anyio.sleep(0.001)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                await made.wait()
                for step in self.steps:
                    await step(self, tasks)
                tasks.cancel_scope.cancel()

    def run(self):
        # Daemons that serve run in uvloop, others in uvloop or asyncio.
        for use_uvloop in (True, False):
            anyio.run(self._run, backend_options={"use_uvloop": use_uvloop})


async def close(connection, tasks):
    await connection.sender.aclose()


async def half_close(connection, tasks):
    await connection.sender.send_eof()


async def reset(connection, tasks):
    raw = connection.sender._transport.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    await anyio.sleep(0.05)
    await connection.sender.aclose()


async def close_reader(connection, tasks):
    async def close_later():
        await anyio.sleep(0.05)
        await connection.receiver.aclose()

    tasks.start_soon(close_later)


ENDINGS = {"closes": close, "an end": half_close, "resets": reset}


@given("a connection between two daemons")
def given_connection(context):
    context.connection = Connection()


@when('the sending end sends "{text}" and {ending}')
def sends_and_ends(context, text, ending):
    async def step(connection, tasks):
        await connection.sender.send(text.encode())
        # Wait until the data is sent, since a reset may overtake queued data.
        await anyio.sleep(0.05)
        await ENDINGS[ending](connection, tasks)

    context.connection.steps.append(step)


@when("the sending end sees the receiving end close")
def reader_closed(context):
    context.connection.steps.append(close_reader)


@then('the receiving end reads "{text}", and then {error}')
@then('the receiving end reads "", and then {error}')
def near_reads(context, error, text=""):
    async def step(connection, tasks):
        received = b""
        try:
            while True:
                received += await connection.receiver.receive(3)
        except Exception as raised:
            assert type(raised).__name__ == error, raised
        assert received == text.encode(), received

    context.connection.steps.append(step)
    context.connection.run()


@when("the sending end sends 64 MB that are not read")
def sends_unread(context):
    async def step(connection, tasks):
        connection.sent = False

        async def send():
            for _ in range(TOTAL_BYTES // 64_000):
                await connection.sender.send(bytes(64_000))
            connection.sent = True

        tasks.start_soon(send)
        await anyio.sleep(0.3)

    context.connection.steps.append(step)


@then("the receiving end buffers less than 1 MB and the sending end is blocked")
def buffers_little(context):
    async def step(connection, tasks):
        assert sum(map(len, connection.receiver._chunks)) < 1_000_000
        assert not connection.sent
        assert not connection.sender.takes_more

    context.connection.steps.append(step)


@then("all data arrives once it is read")
def all_arrives(context):
    async def step(connection, tasks):
        remaining_bytes = TOTAL_BYTES
        while remaining_bytes:
            remaining_bytes -= len(await connection.receiver.receive())

    context.connection.steps.append(step)
    context.connection.run()


@then("the connection was accepted before serving started and is served")
def accepted_before(context):
    async def step(connection, tasks):
        await connection.sender.send(b"x")
        assert await connection.receiver.receive() == b"x"

    context.connection.steps.append(step)
    context.connection.run()
