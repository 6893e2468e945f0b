import socket
import struct

import anyio
from behave import given, then, when

from knapweedbridge_daemon.peer_sockets import PeerListener, connect_peer

LIMIT_S = 10.0
NO_LINGER = struct.pack("ii", 1, 0)
LOT_BYTES = 64_000_000


class Ends:
    """Both ends of one connection; the story runs at its last step."""

    def __init__(self):
        self.story = []

    async def _run(self):
        listener = PeerListener()
        await listener.listen("127.0.0.1", 0)
        ip, _, port = listener.address.rpartition(":")
        self.far = await connect_peer(ip, int(port))
        made = anyio.Event()

        async def serve(near):
            self.near = near
            made.set()

        with anyio.fail_after(LIMIT_S):
            while not listener._made:
                await anyio.sleep(0.001)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                await made.wait()
                for step in self.story:
                    await step(self, tasks)
                tasks.cancel_scope.cancel()

    def run(self):
        # Serving daemons run in uvloop, the others in either.
        for use_uvloop in (True, False):
            anyio.run(self._run, backend_options={"use_uvloop": use_uvloop})


async def close(ends, tasks):
    await ends.far.aclose()


async def half_close(ends, tasks):
    await ends.far.send_eof()


async def reset(ends, tasks):
    raw = ends.far._transport.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    await anyio.sleep(0.05)
    await ends.far.aclose()


async def close_reader(ends, tasks):
    async def soon():
        await anyio.sleep(0.05)
        await ends.near.aclose()

    tasks.start_soon(soon)


ENDINGS = {"closes": close, "an end": half_close, "resets": reset}


@given("a connection between two daemons")
def connection(context):
    context.ends = Ends()


@when('the far end sends "{text}" and {ending}')
def sends_and_ends(context, text, ending):
    async def step(ends, tasks):
        await ends.far.send(text.encode())
        # It is on its way before the end is, which may overtake what is queued.
        await anyio.sleep(0.05)
        await ENDINGS[ending](ends, tasks)

    context.ends.story.append(step)


@when("the far end has its reader closed")
def reader_closed(context):
    context.ends.story.append(close_reader)


@then('the near end reads "{text}", and then {error}')
@then('the near end reads "", and then {error}')
def near_reads(context, error, text=""):
    async def step(ends, tasks):
        found = b""
        try:
            while True:
                found += await ends.near.receive(3)
        except Exception as raised:
            assert type(raised).__name__ == error, raised
        assert found == text.encode(), found

    context.ends.story.append(step)
    context.ends.run()


@when("the far end sends 64 MB that nobody reads")
def sends_a_lot(context):
    async def step(ends, tasks):
        ends.sent = False

        async def send():
            for _ in range(LOT_BYTES // 64_000):
                await ends.far.send(bytes(64_000))
            ends.sent = True

        tasks.start_soon(send)
        await anyio.sleep(0.3)

    context.ends.story.append(step)


@then("the near end holds less than 1 MB, and the far end waits")
def holds_little(context):
    async def step(ends, tasks):
        assert sum(map(len, ends.near._chunks)) < 1_000_000
        assert not ends.sent
        assert not ends.far.takes_more

    context.ends.story.append(step)


@then("all of it comes when it is read")
def all_comes(context):
    async def step(ends, tasks):
        left = LOT_BYTES
        while left:
            left -= len(await ends.near.receive())

    context.ends.story.append(step)
    context.ends.run()


@then("the near end was made before it was served")
def made_before(context):
    async def step(ends, tasks):
        await ends.far.send(b"x")
        assert await ends.near.receive() == b"x"

    context.ends.story.append(step)
    context.ends.run()
