"""Machines with real daemons, their clients, and the frame of a case."""

import asyncio
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

from servers import HOST
from store import Store
from wire import Record, read_head

__all__ = ["ZONES", "CannotRunError", "Deployment", "Machine", "play_case"]

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "platform/start.py"]
"""The `run` line of the deploy file."""

ZONES = ("hall-a", "hall-b", "hall-c")
GRACE_S = 8.0
READY_WITHIN_S = 20.0
READY_POLL_S = 0.05
CLIENT_TIMEOUT_S = 8.0

BOUNDS = {
    "contact_ms": 3_000,
    "retry_budget_ratio": 0.2,
    "budget_slack": 54,
    "budget_window_s": 10,
    "grace_s": GRACE_S,
    "version_ms": 5_000,
}


class CannotRunError(Exception):
    """Raised if a case cannot be played."""


class Machine:
    """A machine that runs a real daemon, on loopback addresses of its own.

    Parameters
    ----------
    folder : Path
        Folder for its settings and its log.
    record : Record
        Record of the case.
    number : int
        Its number, from 0.
    """

    def __init__(self, folder: Path, record: Record, number: int) -> None:
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"edge-{self.zone}-{number}"
        self.ip = f"127.0.{10 + number}.1"
        self.port = free_port(self.ip)
        self.is_ready = False
        self._ready_port = free_port(self.ip)
        self._folder, self._record = folder, record
        self._settings = folder / f"{self.name}.ini"
        self._process: subprocess.Popen[bytes] | None = None

    def write_settings(self, store_address: str) -> None:
        """Fill in the settings file as the platform does."""
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "limits": {"memory_mb": 300, "max_fds": 4_100},
            "listen": {
                "frontend": f"{self.ip}:{self.port}",
                "readiness": f"{self.ip}:{self._ready_port}",
            },
            "internal_ports": [free_port(self.ip)],
            "platform": {"address": store_address},
            "bounds": BOUNDS,
        }
        template = ROOT / "platform" / "settings.ini"
        self._settings.write_text(fill_in(template.read_text(), fields))

    def start(self) -> None:
        """Start the daemon."""
        self._record.write(f"{self.name}: started")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "KNAPWEEDBRIDGE_NODE_FILE": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Kill the daemon, if it runs."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def restart(self) -> None:
        """Stop the daemon by SIGTERM and start it again, as planned work does."""
        assert self._process is not None
        self.is_ready = False
        self._record.write(f"{self.name}: SIGTERM")
        self._process.send_signal(signal.SIGTERM)
        try:
            await asyncio.to_thread(self._process.wait, GRACE_S)
        except subprocess.TimeoutExpired:
            self.kill()
        self._record.write(f"{self.name}: has ended")
        self.start()
        await self.await_ready()

    async def await_ready(self) -> None:
        """Wait until the daemon says that it is ready.

        Raises
        ------
        CannotRunError
            If it does not within `READY_WITHIN_S`.
        """
        until_s = time.monotonic() + READY_WITHIN_S
        while not await self._says_ready():
            if time.monotonic() > until_s:
                raise CannotRunError(f"{self.name} does not get ready")
            await asyncio.sleep(READY_POLL_S)
        self.is_ready = True
        self._record.write(f"{self.name}: ready")

    async def _says_ready(self) -> bool:
        found = None
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    self.ip, self._ready_port
                )
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                found = await read_head(reader)
                writer.close()
        return found is not None and found[0].split(" ")[1] == "200"

    async def call(self, name: str, path: str, headers: dict[str, str]) -> int:
        """Send a client's request; return the status, or 0 without a whole answer."""
        self._record.write(f"client: sends {name} to {self.name}")
        status = 0
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                status = await self._call(name, path, headers)
        self._record.write(f"client: {name} is answered {status}")
        return status

    async def _call(self, name: str, path: str, headers: dict[str, str]) -> int:
        reader, writer = await asyncio.open_connection(self.ip, self.port)
        try:
            lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {name}"]
            lines += [f"{key}: {value}" for key, value in headers.items()]
            lines += ["Content-Length: 5", "", "hello"]
            writer.write("\r\n".join(lines).encode())
            head = await read_head(reader)
            if head is None:
                return 0
            if "content-length" in head[1]:
                await reader.readexactly(int(head[1]["content-length"]))
            else:
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    await reader.readexactly(size + 2)
            return int(head[0].split(" ")[1])
        finally:
            writer.close()


class Deployment:
    """Machines, their store, and the tasks of the stand-ins; ends all of them.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    record : Record
        Record of the case.
    machines : int
        Number of machines.
    """

    def __init__(self, folder: Path, record: Record, machines: int) -> None:
        self.store = Store(record)
        self.machines = [Machine(folder, record, each) for each in range(machines)]
        self._tasks: set[asyncio.Task[Any]] = set()

    async def __aenter__(self) -> "Deployment":
        self.run(self.store.run())
        for number, machine in enumerate(self.machines):
            address = await self.store.listen(machine.name, f"127.0.{30 + number}.1")
            machine.write_settings(address)
        return self

    async def __aexit__(self, *error: object) -> None:
        for machine in self.machines:
            machine.kill()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def run(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run a task until it ends, or until the end of the case."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        return task

    async def start(self) -> None:
        """Start all machines, and wait until they are ready."""
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.await_ready()


def free_port(ip: str) -> int:
    """Return a free port of an address."""
    with socket.socket() as found:
        found.bind((ip, 0))
        return int(found.getsockname()[1])


def fill_in(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings: values, and sections of values that exist."""

    def value_of(path: str) -> Any:
        found: Any = fields
        for part in path.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = (found or {}).get(part)
        return found

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m[2] if value_of(m[1]) else "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value_of(m[1])), text)


def play_case(
    play: Callable[[Record, Path, bool], Awaitable[str]], folder: Path
) -> None:
    """Play a case, and exit: 1 if a rule was broken, 0 if it held, 2 if it cannot run.

    Parameters
    ----------
    play : callable
        Plays the case with or without its trouble; returns what was broken.
    folder : Path
        Folder of the case, for ``record.txt``. ``KEEP`` in the environment names a
        folder in which the settings and logs of the daemons stay.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as made:
        scratch = Path(os.environ.get("KEEP", made))
        scratch.mkdir(parents=True, exist_ok=True)
        try:
            broken = asyncio.run(play(record, scratch, has_trouble))
        except (CannotRunError, OSError) as error:
            record.write(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            sys.exit(2)
    record.write(f"broken: {broken}" if broken else "the rule held")
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
