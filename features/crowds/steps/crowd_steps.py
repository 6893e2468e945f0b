import subprocess
import sys
import tempfile
from pathlib import Path

import anyio
from behave import given, then, when
from programs import FILE_DESCRIPTORS, PROGRAMS, REQUEST_LIMITS
from watching import ProcessWatch

CROWD = Path(__file__).parents[1] / "crowd.py"
STANDS_TIMEOUT_S = 120
"""Ends a crowd that hangs."""

SPARE_DESCRIPTORS = 30
"""Descriptors that ordinary requests may have left open, as kept connections."""


PARTS, PAUSE_S = 20, 0.2
"""A slow client sends its body in so many parts, with pauses."""

CALM_TIMEOUT_S = 60

CLOSING_TRIES = 100
"""How often the daemon's descriptors are counted until its connections are closed."""


class Crowd:
    """A crowd in a process of its own, within the context."""

    def __init__(self, kind, listener, clients):
        command = [sys.executable, str(CROWD), kind.replace(" ", "-")]
        command += [listener.address, str(clients)]
        command += [str(REQUEST_LIMITS["max_body_bytes"]), listener.head]
        self._command = command

    async def __aenter__(self):
        self._process = await anyio.open_process(
            self._command, stdout=subprocess.PIPE, stderr=None
        )
        with anyio.fail_after(STANDS_TIMEOUT_S):
            assert b"standing" in await self._process.stdout.receive()
        return self

    async def __aexit__(self, *error):
        self._process.kill()
        with anyio.CancelScope(shield=True):
            await self._process.aclose()


async def count_left(program, watch, calm):
    """Return how many descriptors stay open when the crowd is gone."""
    left = 0
    for _ in range(CLOSING_TRIES):
        if not program.is_alive():
            return left
        left = watch.descriptors() - calm
        if left <= SPARE_DESCRIPTORS:
            break
        await anyio.sleep(0.1)
    return left


@given(
    'the "{program}" daemon on a machine with {memory:d} MB and {descriptors:d} '
    "descriptors"
)
def machine(context, program, memory, descriptors):
    context.start = PROGRAMS[program]
    context.memory_mb, context.descriptors = memory, descriptors


@when('{clients:d} clients "{kind}" at its address for "{name}"')
def crowd_comes(context, clients, kind, name):
    async def answers(program):
        return {
            each: await listener.is_answered()
            for each, listener in program.listeners.items()
            if program.is_alive()
        }

    async def play(folder):
        limits = context.memory_mb, context.descriptors
        async with context.start(folder, *limits) as program:
            ports = [each.port for each in program.listeners.values()]
            context.before = await answers(program)
            with ProcessWatch(program.pid, ports) as watch:
                calm_descriptors = watch.descriptors()
                async with Crowd(kind, program.listeners[name], clients):
                    context.meanwhile = await answers(program)
                context.after = await answers(program)
                context.is_alive = program.is_alive()
                context.left = await count_left(program, watch, calm_descriptors)
                context.held_bytes = await program.held_bytes()
            context.watch = watch
            context.log = program.log_tail()

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(play, folder)
    print(
        f"peak {context.watch.peak_memory_mb:.0f} MB, "
        f"{context.watch.peak_descriptors} descriptors"
    )


@then("the process lives")
def process_lives(context):
    assert all(context.before.values()), context.before
    assert context.is_alive, context.log


@then("it has stayed within its memory and its descriptors")
def within_limits(context):
    watch = context.watch
    assert watch.peak_memory_mb <= context.memory_mb, watch.peak_memory_mb
    most = context.descriptors - FILE_DESCRIPTORS
    assert watch.peak_descriptors <= most, watch.peak_descriptors
    assert context.left <= SPARE_DESCRIPTORS, context.left


@then("one ordinary request at each address is answered, meanwhile and afterwards")
def ordinary_answered(context):
    assert context.meanwhile, context.log
    assert all(context.meanwhile.values()), (context.meanwhile, context.log)
    assert all(context.after.values()), (context.after, context.log)


def body_parts(how, size):
    """Return the header that frames a body, and its parts as they are sent."""
    if how.startswith("in chunks of "):
        each = int(how.split()[3])
        part = b"%x\r\n%b\r\n" % (each, b"x" * each)
        return "Transfer-Encoding: chunked", [part * (size // each), b"0\r\n\r\n"]
    parts = PARTS if how == "in parts, with pauses" else 1
    return f"Content-Length: {size}", [b"x" * (size // parts)] * parts


@when("a client sends a body of {size:d} bytes: {how}")
def calm_client(context, size, how):
    async def play(folder):
        limits = context.memory_mb, context.descriptors
        async with context.start(folder, *limits) as program:
            listener = program.listeners["callers"]
            header, parts = body_parts(how, size)
            head = listener.head.replace("\\n", "\r\n") + f"\r\n{header}\r\n\r\n"
            with anyio.fail_after(CALM_TIMEOUT_S):
                stream = await anyio.connect_tcp("127.0.0.1", listener.port)
                async with stream, anyio.create_task_group() as tasks:
                    tasks.start_soon(send_parts, stream, [head.encode(), *parts])
                    context.answer = await stream.receive()
                    tasks.cancel_scope.cancel()

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(play, folder)


async def send_parts(stream, parts):
    for part in parts:
        try:
            await stream.send(part)
        except anyio.BrokenResourceError:
            # The server may answer and close before it has read everything.
            return
        if len(parts) > PARTS:
            await anyio.sleep(PAUSE_S)


@then("it is answered with {status:d}")
def calm_answer(context, status):
    assert context.answer.startswith(b"HTTP/1.1 %d " % status), context.answer[:300]


@then("nothing is held afterwards")
def nothing_held(context):
    assert context.held_bytes == 0, context.held_bytes
