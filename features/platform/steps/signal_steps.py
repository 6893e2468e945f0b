import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import anyio
from behave import given, then, when
from path_steps import ROOT
from standins import Engine, Store
from whole_path import TEMPLATE, WholePath, configuration, fill, free_port
from whole_path import settings_fields as fields_of

GRACE_S = 6
EVENTS = 10


class SeparateDaemon(WholePath):
    """A store, an engine and one daemon in a process of its own."""

    def __init__(self, tasks, folder):
        super().__init__(None, tasks)
        self.store = Store()
        self.engine = Engine("engine-1", "llm")
        self.engine.held = {"a1": (1, 0.0)}
        self._folder = folder
        self.process = None

    async def start(self):
        for server in (self.store, self.engine):
            await self.tasks.start(server.run)
        self.store.put("op/config", configuration())
        self.store.put(f"servers/{self.engine.name}", self.engine.entry())
        ports = [free_port() for _ in range(3)]
        self.ports.append(ports)
        fields = fields_of("host-0", self.store.address, ports)
        fields["bounds"]["grace_s"] = GRACE_S
        text = fill(TEMPLATE.read_text(), fields)
        file = Path(self._folder) / "settings.ini"
        file.write_text(text.replace("127.0.0.1:9464", f"127.0.0.1:{free_port()}"))
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform/start.py")],
            env={**os.environ, "KNAPWEEDBRIDGE_NODE_FILE": str(file)},
            stdout=subprocess.DEVNULL,
        )
        await self.until_ready()

    async def ended(self):
        with anyio.fail_after(GRACE_S + 3):
            while self.process.poll() is None:
                await anyio.sleep(0.05)
        return self.process.returncode


@given("a daemon in a process of its own, and a draft of {seconds:d} s")
def separate_daemon(context, seconds):
    context.pause_s = seconds / EVENTS


@when("it is asked to stop in the middle of the draft, and then gets {name}")
def stopped_and_signalled(context, name):
    async def story(folder):
        async with anyio.create_task_group() as tasks:
            path = SeparateDaemon(tasks, folder)
            try:
                await path.start()
                path.engine.pause_s = context.pause_s
                async with anyio.create_task_group() as calls:
                    calls.start_soon(call, path)
                    await anyio.sleep(3 * context.pause_s)
                    path.process.send_signal(signal.SIGTERM)
                    await anyio.sleep(0.3)
                    if name != "nothing":
                        path.process.send_signal(signal.Signals[name])
                context.code = await path.ended()
            finally:
                if path.process and path.process.poll() is None:
                    path.process.kill()
                    path.process.wait()
                tasks.cancel_scope.cancel()

    async def call(path):
        context.response = None
        context.response = await path.draft("base/a1")

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(story, folder)


@then("the caller has all ten events")
def all_events(context):
    lines = context.response.text.splitlines()
    ids = [line for line in lines if line.startswith("id: ")]
    assert ids == [f"id: {number + 1}" for number in range(EVENTS)], ids


@then("the daemon ends by itself, without an error")
def ends_well(context):
    assert context.code == 0, context.code
