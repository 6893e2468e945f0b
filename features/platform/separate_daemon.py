"""A daemon in a process of its own, with stand-ins in the process of the test."""

import os
import resource
import subprocess
import sys
import tempfile
from pathlib import Path

import anyio
from standins import Endpoint, Engine, Store
from whole_path import TEMPLATE, WholePath, configuration, fill, free_port
from whole_path import settings_fields as fields_of

ROOT = Path(__file__).parents[2]
GRACE_S = 6


class SeparateDaemon(WholePath):
    """A store, two endpoints and one daemon in a process of its own.

    Attributes
    ----------
    machine : dict
        Limits of the daemon's machine that differ from the usual ones.
    request_limits : dict
        Limits of requests that differ from the usual ones.
    log : Path
        What the daemon writes.
    """

    def __init__(self, tasks, folder, grace_s=GRACE_S):
        super().__init__(None, tasks)
        self.store = Store()
        self.engine = Engine("engine-1", "llm")
        self.engine.held = {"a1": (1, 0.0)}
        self.desk = Endpoint("desk-1", "desk")
        self.grace_s = grace_s
        self.machine = {}
        self.request_limits = {}
        self.log = Path(folder) / "daemon.log"
        self._folder = folder
        self.process = None

    async def start(self):
        for server in (self.store, self.engine, self.desk):
            await self.tasks.start(server.run)
        accepted = configuration()
        accepted["limits"].update(self.request_limits)
        self.store.put("op/config", accepted)
        for endpoint in (self.engine, self.desk):
            self.store.put(f"servers/{endpoint.name}", endpoint.entry())
        ports = [free_port() for _ in range(3)]
        self.ports.append(ports)
        fields = fields_of("host-0", self.store.address, ports)
        fields["bounds"]["grace_s"] = self.grace_s
        fields["limits"].update(self.machine)
        text = fill(TEMPLATE.read_text(), fields)
        file = Path(self._folder) / "settings.ini"
        self.metrics_ports.append(free_port())
        address = f"127.0.0.1:{self.metrics_ports[0]}"
        file.write_text(text.replace("127.0.0.1:9464", address))
        descriptors = fields["limits"]["max_fds"]
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform/start.py")],
                env={**os.environ, "KNAPWEEDBRIDGE_NODE_FILE": str(file)},
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=lambda: limit_descriptors(descriptors),
            )
        await self.until_ready()

    def secret(self):
        """Return the secret that daemons share; empty until there is one."""
        found = [item[0] for key, item in self.store.items.items() if "secret" in key]
        return found[0] if found else b""

    async def ended(self):
        with anyio.fail_after(self.grace_s + 3):
            while self.process.poll() is None:
                await anyio.sleep(0.05)
        return self.process.returncode


def limit_descriptors(most):
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def play_separately(story, grace_s=GRACE_S, prepare=lambda path: None):
    """Run a story with a daemon in a process of its own, which ends with it."""

    async def play(folder):
        async with anyio.create_task_group() as tasks:
            path = SeparateDaemon(tasks, folder, grace_s)
            prepare(path)
            try:
                await path.start()
                await story(path)
            finally:
                if path.process and path.process.poll() is None:
                    path.process.kill()
                    path.process.wait()
                tasks.cancel_scope.cancel()

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(play, folder)
