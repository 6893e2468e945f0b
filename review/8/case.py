"""Answers that are being gathered fill the memory of daemons: see claim.txt."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from platform_standins import (  # noqa: E402
    HOST,
    LIMITS,
    Daemon,
    Record,
    Store,
    main,
    now_s,
    route,
    trouble,
)

DAEMONS = 2
SERVERS = 15
SERVER_PROCESSES = 5
CLIENTS = 450
"""Clients of one daemon. The servers have 15 x 64 slots."""

LONG_PATH = "/look/long/1"
SHORT_PATH = "/look/short/1"
"""The servers answer the first with a megabyte, the second with 800 bytes."""

MEMORY_MB = 300
ENDS_S = 108.0
MOST_ENDS = 2
"""Three ends of a process on two machines break the rule."""


def resident_mb(process: int) -> float:
    """Return the resident memory of a process."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{process}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def start_process(*words: str) -> asyncio.subprocess.Process:
    """Start a program of this folder."""
    return await asyncio.create_subprocess_exec(
        "python3", *words, cwd=FOLDER, stdout=asyncio.subprocess.PIPE
    )


async def note_lines(
    process: asyncio.subprocess.Process, name: str, record: Record
) -> None:
    """Write what a program prints into the record."""
    while line := await process.stdout.readline():
        record.note(f"{name}: {line.decode().strip()}")


async def list_server(store: Store, name: str, port: int) -> None:
    """Write a server's entry as it does itself, each 1.2 s."""
    born = int(time.time() * 1000)
    number = 0
    while True:
        number += 1
        entry = {
            "service": "desk",
            "address": f"{HOST}:{port}",
            "zone": "hall-a",
            "version": "1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": number,
            "born": born,
        }
        store.put(f"servers/{name}", entry)
        await asyncio.sleep(1.2)


async def keep_running(daemon: Daemon, ends: dict[str, int], record: Record) -> None:
    """End the process whenever it exceeds its memory, and start it again."""
    noted_s = 0.0
    while True:
        await asyncio.sleep(0.1)
        now_mb = resident_mb(daemon.process.pid)
        if now_s() - noted_s > 2.0:
            noted_s = now_s()
            record.note(f"{daemon.name} resident {now_mb:.0f} MB")
        if now_mb > MEMORY_MB:
            await daemon.end()
            ends[daemon.name] += 1
            record.note(f"{daemon.name} ended: {now_mb:.0f} MB, {MEMORY_MB} allowed")
            await asyncio.sleep(0.3)
            await daemon.start()


async def play(record: Record, folder: Path) -> int:
    """Play the case."""
    store = Store()
    await store.start()
    store.put(
        "op/config",
        {
            "version": 1,
            "routes": [route("look", "desk", "idempotent")],
            "services": [{"name": "desk", "health_path": "/health", "max_conns": 370}],
            "limits": LIMITS,
        },
    )
    tasks = [asyncio.create_task(store.expire())]
    processes: list[asyncio.subprocess.Process] = []
    daemons = [Daemon(f"edge-{n}", store.address, folder) for n in range(DAEMONS)]
    ends = {daemon.name: 0 for daemon in daemons}
    try:
        names = [f"desk-{n}" for n in range(SERVERS)]
        for first in range(SERVER_PROCESSES):
            own = names[first::SERVER_PROCESSES]
            process = await start_process("server_process.py", *own)
            processes.append(process)
            for name in own:
                port = int(await process.stdout.readline())
                tasks.append(asyncio.create_task(list_server(store, name, port)))
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.until_ready()
        await asyncio.sleep(4.0)
        for daemon in daemons:
            tasks.append(asyncio.create_task(keep_running(daemon, ends, record)))
            path = LONG_PATH if trouble() else SHORT_PATH
            process = await start_process(
                "client_process.py", str(daemon.callers), str(CLIENTS), path
            )
            processes.append(process)
            tasks.append(asyncio.create_task(note_lines(process, daemon.name, record)))
        while now_s() < ENDS_S and min(ends.values()) <= MOST_ENDS:
            await asyncio.sleep(0.2)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        for daemon in daemons:
            await daemon.end()
        await store.stop()
    record.note(f"ends by memory: {ends}")
    print(f"processes that ended by themselves, by memory: {ends}")
    return 1 if min(ends.values()) > MOST_ENDS else 0


if __name__ == "__main__":
    main(play, FOLDER)
