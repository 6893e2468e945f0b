import socket
import time
from unittest import mock

import anyio
from anyio.abc import SocketAttribute
from behave import then, when

from knapweedbridge_core.serving import unacknowledged_output
from knapweedbridge_core.serving.unacknowledged_output import UnacknowledgedOutput
from knapweedbridge_daemon.serving.byte_stream import ByteStream

RECEIVE_BUFFER_BYTES = 4096
EVENT = b"id: 1\ndata: ".ljust(198, b"x") + b"\n\n"
WRITTEN_S = 30.0


@when(
    "{segments:d} segments are unacknowledged, {waiting:d} bytes wait, and "
    "{retransmissions:d} retransmissions and {probes:d} probes have no answer"
)
def output_is(context, segments, waiting, retransmissions, probes):
    context.output = UnacknowledgedOutput(segments, waiting, retransmissions, probes)


@then("the connection is closed after {timeout:d} ms")
def closed_after(context, timeout):
    assert context.output.timeout_ms == timeout, context.output.timeout_ms


async def connect(serve, use):
    """Serve one connection as a byte stream, and use its other end."""
    failures = []

    async def handle(stream):
        own = ByteStream.from_anyio(stream)
        try:
            await serve(own)
        except OSError as error:
            failures.append(error)
        own.close()

    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, handle)
        address = "127.0.0.1", listener.extra(SocketAttribute.local_port)
        with socket.socket() as raw:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            await anyio.to_thread.run_sync(raw.connect, address)
            await use(raw, failures)
        tasks.cancel_scope.cancel()
    return failures


@when("a peer that pauses for {pause:d} s is sent {count:d} events of 200 bytes, {how}")
def peer_pauses(context, pause, count, how):
    context.expected_bytes = count * len(EVENT)
    context.received_bytes = 0

    async def serve(stream):
        for _ in range(count):
            await stream.send(EVENT)
        stream.send_eof()
        await anyio.sleep(WRITTEN_S)

    async def read(raw, failures):
        await anyio.sleep(pause)

        def read_all():
            try:
                while chunk := raw.recv(65536):
                    context.received_bytes += len(chunk)
            except OSError:
                return

        await anyio.to_thread.run_sync(read_all)

    context.failures = anyio.run(connect, serve, read)


@then("it receives all of them")
def receives_all(context):
    found = context.received_bytes, context.failures
    assert found == (context.expected_bytes, []), found


@when("a peer reads nothing for longer than a paused reader may, {seconds:g} s")
def never_reads(context, seconds):
    async def serve(stream):
        while True:
            await stream.send(EVENT * 100)

    async def wait(raw, failures):
        began_s = time.monotonic()
        with anyio.move_on_after(10):
            while not failures:
                await anyio.sleep(0.05)
        context.took_s = time.monotonic() - began_s

    with mock.patch.object(
        unacknowledged_output, "PAUSED_READER_TIMEOUT_MS", round(seconds * 1000)
    ):
        context.failures = anyio.run(connect, serve, wait)


@then("its connection is closed within {seconds:g} s")
def closed_within(context, seconds):
    assert context.failures, "it is open"
    assert context.took_s <= seconds, context.took_s
