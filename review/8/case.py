"""Clients that read slowly lose answers that the daemon had taken: see claim.txt."""

import asyncio
import signal
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from engines import BASE, Engine, engine_service  # noqa: E402
from platform_standins import (  # noqa: E402
    HOST,
    LIMITS,
    Daemon,
    Record,
    Store,
    main,
    now_s,
    pack_request,
    read_chunks,
    read_head,
    route,
    trouble,
)

CLIENTS = 12
EVENTS = 57
PIECE_BYTES = 200
WINDOW_BYTES = 4096
"""Receive buffer of a client; links have small windows."""

PAUSE_S = 4.0
"""How long a client reads nothing, once, in the middle of its stream."""

DEADLINE_MS = 15_000
MOST_CLOSED = 3


async def connect(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection with a small window."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, (HOST, port))
    return await asyncio.open_connection(sock=raw, limit=512)


def stream_request(call: str) -> bytes:
    """Return a request for a stream."""
    return pack_request(
        "POST",
        "/note/1",
        call,
        b"prompt",
        Deadline_Ms=str(DEADLINE_MS),
        Model=f"{BASE}/a1",
        Token_Counts="300,171",
    )


async def read_stream(reader: asyncio.StreamReader, pause_s: float) -> int:
    """Read a stream to its end, with a pause in its middle; return its events."""
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("closed without an answer")
    if " 200 " not in head[0]:
        raise ValueError(head[0])
    events = 0
    async for chunk in read_chunks(reader):
        events += chunk.count(b"\n\n")
        if events >= 5 and pause_s:
            await asyncio.sleep(pause_s)
            pause_s = 0.0
    return events


async def call_on(number: int, port: int, record: Record) -> str:
    """Ask for two streams on one connection; return how the second ended."""
    reader, writer = await connect(port)
    call = f"slow-{number}"
    try:
        writer.write(stream_request(f"first-{number}"))
        await read_stream(reader, 0.0)
        sent_s = now_s()
        writer.write(stream_request(call))
        record.note(f"sent {call}")
        try:
            events = await read_stream(reader, PAUSE_S if trouble() else 0.0)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            after_s = now_s() - sent_s
            record.note(f"cut {call} after {after_s:.2f} s: {error!r}")
            return "cut"
        record.note(f"answered {call}, {events} events, {now_s() - sent_s:.2f} s")
        return "answered" if events == EVENTS else "incomplete"
    finally:
        writer.close()


async def play(record: Record, folder: Path) -> int:
    """Play the case."""
    store = Store()
    await store.start()
    engines = [Engine(f"engine-{n}", "llm", record) for n in (1, 2)]
    for engine in engines:
        engine.events, engine.piece = EVENTS, "x" * PIECE_BYTES
        engine.held["a1"] = 1
        await engine.start()
    store.put(
        "op/config",
        {
            "version": 1,
            "routes": [route("note", "llm", "streaming", gap_aim_ms=250)],
            "services": [engine_service("llm")],
            "limits": LIMITS,
        },
    )
    tasks = [asyncio.create_task(engine.beat(store)) for engine in engines]
    tasks.append(asyncio.create_task(store.expire()))
    daemon = Daemon("edge-1", store.address, folder)
    try:
        await daemon.start()
        await daemon.until_ready()
        # The time in which the rules call the machine in touch.
        await asyncio.sleep(4.0)
        first = asyncio.gather(
            *(call_on(n, daemon.callers, record) for n in range(CLIENTS))
        )
        # Planned work at the same time: settings files change.
        await asyncio.sleep(1.5)
        daemon.send(signal.SIGHUP)
        record.note("SIGHUP")
        ends = await first
    finally:
        await daemon.end()
        for task in tasks:
            task.cancel()
        for each in [store, *engines]:
            await each.stop()
    runs = [call for engine in engines for call in engine.runs]
    lost = sum(end == "cut" and f"slow-{n}" in runs for n, end in enumerate(ends))
    record.note(f"{lost} of {CLIENTS} requests ran and were cut: {ends}")
    print(f"{lost} of {CLIENTS} requests ran and their connections were cut")
    if not any(call.startswith("first-") for call in runs):
        return 2
    return 1 if lost > MOST_CLOSED else 0


if __name__ == "__main__":
    main(play, FOLDER)
