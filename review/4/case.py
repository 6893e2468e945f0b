"""One request with a large token count ends a daemon: see claim.txt."""

import asyncio
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
    pack_request,
    read_chunks,
    read_head,
    route,
    trouble,
)

DAEMONS = 3
ROUNDS = 3
NO_LIMIT = 2**64 - 1
"""A client's figure for no limit on the tokens of the answer."""

STREAMS = 6
"""Streams of another tenant that run at the daemon meanwhile."""

EVENTS = 57
EVENT_S = 0.05
MOST_CLOSED = 3


def request(call: str, key: str, counts: str) -> bytes:
    """Return a request for a stream."""
    return pack_request(
        "POST",
        "/note/1",
        call,
        b"prompt",
        Deadline_Ms="15000",
        Model=f"{BASE}/a1",
        Token_Counts=counts,
        Authorization=f"Bearer {key}",
    )


async def stream(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, packed: bytes
) -> str:
    """Send a request; return its status, "cut", or "closed" without an answer."""
    writer.write(packed)
    try:
        head = await read_head(reader)
        if head is None:
            return "closed"
        status = head[0].split(" ")[1]
        if head[1].get("transfer-encoding") == "chunked":
            async for _ in read_chunks(reader):
                pass
        else:
            await reader.readexactly(int(head[1].get("content-length", "0")))
    except (ConnectionError, asyncio.IncompleteReadError):
        return "cut"
    return status


async def ask_south(daemon: Daemon, call: str, record: Record) -> str:
    """Ask for two streams on one connection; return how the second ended."""
    reader, writer = await asyncio.open_connection(HOST, daemon.callers)
    try:
        first = await stream(
            reader, writer, request(f"first-{call}", "key-of-south", "300,6")
        )
        end = first
        if first == "200":
            packed = request(call, "key-of-south", "300,171")
            end = await stream(reader, writer, packed)
    finally:
        writer.close()
    record.note(f"{daemon.name} {call}: {end}")
    return end


async def ask_north(daemon: Daemon, call: str, counts: str, record: Record) -> str:
    """Send one request; return how it ended."""
    reader, writer = await asyncio.open_connection(HOST, daemon.callers)
    try:
        end = await stream(reader, writer, request(call, "key-of-north", counts))
    finally:
        writer.close()
    record.note(f"{daemon.name} {call} Token-Counts {counts}: {end}")
    return end


async def restart_ended(daemon: Daemon, ends: dict[str, int], record: Record) -> None:
    """Start the process again whenever it has ended, as the platform does."""
    while True:
        code = await daemon.process.wait()
        ends[daemon.name] += 1
        record.note(f"{daemon.name} ended by itself with code {code}")
        await asyncio.sleep(0.5)
        await daemon.start()


async def play_round(
    daemon: Daemon, number: int, record: Record
) -> list[tuple[str, str]]:
    """Run streams of one tenant while another one sends its request."""
    names = [f"south-{number}-{daemon.name}-{n}" for n in range(STREAMS)]
    streams = [asyncio.create_task(ask_south(daemon, n, record)) for n in names]
    await asyncio.sleep(EVENTS * EVENT_S + 1.0)
    counts = f"300,{NO_LIMIT}" if trouble() else "300,171"
    await ask_north(daemon, f"north-{number}-{daemon.name}", counts, record)
    return list(zip(names, await asyncio.gather(*streams), strict=True))


async def play_rounds(daemons: list[Daemon], number: int, record: Record) -> list[str]:
    """Play a round at all daemons; return the streams that were cut."""
    # The time in which the rules call the machines in touch.
    await asyncio.sleep(5.0)
    rounds = (play_round(daemon, number, record) for daemon in daemons)
    found = [pair for each in await asyncio.gather(*rounds) for pair in each]
    for daemon in daemons:
        await daemon.until_ready()
    return [name for name, end in found if end in ("cut", "closed")]


def configuration() -> dict[str, object]:
    """Return the operator's configuration: one tenant has a quota in tokens."""
    north = {
        "name": "north",
        "api_keys": ["key-of-north"],
        "rate_per_s": 11000,
        "burst": 11000,
        "unit": "tokens",
        "plain_tokens": 100,
    }
    south = {"name": "south", "api_keys": ["key-of-south"], "rate_per_s": 0}
    return {
        "version": 1,
        "routes": [route("note", "llm", "streaming", gap_aim_ms=250)],
        "services": [engine_service("llm")],
        "limits": LIMITS,
        "tenants": [north, south],
    }


async def play(record: Record, folder: Path) -> int:
    """Play the case."""
    store = Store()
    await store.start()
    engines = [Engine(f"engine-{n}", "llm", record) for n in (1, 2)]
    for engine in engines:
        engine.held["a1"] = 1
        engine.events, engine.event_s = EVENTS, EVENT_S
        await engine.start()
    store.put("op/config", configuration())
    tasks = [asyncio.create_task(engine.beat(store)) for engine in engines]
    tasks.append(asyncio.create_task(store.expire()))
    daemons = [Daemon(f"edge-{n}", store.address, folder) for n in range(DAEMONS)]
    ends = {daemon.name: 0 for daemon in daemons}
    cut: list[str] = []
    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.until_ready()
            tasks.append(asyncio.create_task(restart_ended(daemon, ends, record)))
        for number in range(ROUNDS):
            cut += await play_rounds(daemons, number, record)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for daemon in daemons:
            await daemon.end()
        for each in [store, *engines]:
            await each.stop()
    runs = {call for engine in engines for call in engine.runs}
    lost = [call for call in cut if call in runs]
    record.note(f"ended by themselves: {ends}; streams that ran and were cut: {lost}")
    print(f"ended by themselves: {ends}; {len(lost)} streams of another tenant cut")
    if not runs:
        return 2
    is_fault = sum(count >= 3 for count in ends.values()) >= 2
    return 1 if is_fault or len(lost) > MOST_CLOSED else 0


if __name__ == "__main__":
    main(play, FOLDER)
