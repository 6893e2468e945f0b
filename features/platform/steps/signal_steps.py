import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import anyio
import httpx
from behave import given, then, when
from path_steps import ROOT
from standins import Endpoint, Engine, Store, header
from whole_path import TEMPLATE, WholePath, configuration, fill, free_port
from whole_path import settings_fields as fields_of

GRACE_S = 6
EVENTS = 10


class SeparateDaemon(WholePath):
    """A store, two endpoints and one daemon in a process of its own."""

    def __init__(self, tasks, folder, grace_s=GRACE_S):
        super().__init__(None, tasks)
        self.store = Store()
        self.engine = Engine("engine-1", "llm")
        self.engine.held = {"a1": (1, 0.0)}
        self.desk = Endpoint("desk-1", "desk")
        self.grace_s = grace_s
        self._folder = folder
        self.process = None

    async def start(self):
        for server in (self.store, self.engine, self.desk):
            await self.tasks.start(server.run)
        self.store.put("op/config", configuration())
        for endpoint in (self.engine, self.desk):
            self.store.put(f"servers/{endpoint.name}", endpoint.entry())
        ports = [free_port() for _ in range(3)]
        self.ports.append(ports)
        fields = fields_of("host-0", self.store.address, ports)
        fields["bounds"]["grace_s"] = self.grace_s
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
        with anyio.fail_after(self.grace_s + 3):
            while self.process.poll() is None:
                await anyio.sleep(0.05)
        return self.process.returncode


def play_separately(story, grace_s=GRACE_S):
    """Run a story with a daemon in a process of its own, which ends with it."""

    async def play(folder):
        async with anyio.create_task_group() as tasks:
            path = SeparateDaemon(tasks, folder, grace_s)
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


@given("a daemon in a process of its own, and a draft of {seconds:d} s")
def separate_daemon(context, seconds):
    context.pause_s = seconds / EVENTS


@when("it is asked to stop in the middle of the draft, and then gets {name}")
def stopped_and_signalled(context, name):
    async def story(path):
        path.engine.pause_s = context.pause_s
        async with anyio.create_task_group() as calls:
            calls.start_soon(call, path)
            await anyio.sleep(3 * context.pause_s)
            path.process.send_signal(signal.SIGTERM)
            await anyio.sleep(0.3)
            if name != "nothing":
                path.process.send_signal(signal.Signals[name])
        context.code = await path.ended()

    async def call(path):
        context.response = None
        context.response = await path.draft("base/a1")

    play_separately(story)


@then("the caller has all ten events")
def all_events(context):
    lines = context.response.text.splitlines()
    ids = [line for line in lines if line.startswith("id: ")]
    assert ids == [f"id: {number + 1}" for number in range(EVENTS)], ids


@then("the daemon ends by itself, without an error")
def ends_well(context):
    assert context.code == 0, context.code


@given("a daemon in a process of its own that has {seconds:d} s to stop")
def separate_daemon_with_grace(context, seconds):
    context.grace_s = seconds


@when(
    'it is asked to stop while a "{kind}" call on a kept connection waits for its '
    "endpoint"
)
def stopped_while_waiting(context, kind):
    async def story(path):
        async with path.kept_connection(deadline_ms=9000) as client:
            opened = await client.get("/look/1", headers={"Request-Id": "first"})
            assert opened.status_code == 200, opened
            path.desk.behaviour = ["silent"] * 2
            path.engine.queue_s = 30.0
            async with anyio.create_task_group() as calls:
                calls.start_soon(call, client)
                await anyio.sleep(0.3)
                path.process.send_signal(signal.SIGTERM)
            context.code = await path.ended()
        waiting = path.desk if kind in ("look", "order") else path.engine
        context.arrived = [header(each, "Request-Id") for each in waiting.requests]

    async def call(client):
        named = {"Request-Id": "second"}
        if kind in ("draft", "note"):
            named |= {"Model": "base/a1", "Token-Counts": "100,30"}
        method = "GET" if kind == "look" else "POST"
        try:
            context.response = await client.request(
                method, f"/{kind}/1", headers=named, content=b""
            )
        except httpx.HTTPError as error:
            context.response = error

    play_separately(story, context.grace_s)


@then("the call is answered with {status:d} before the daemon ends")
def answered_before_the_end(context, status):
    assert "second" in context.arrived, context.arrived
    assert isinstance(context.response, httpx.Response), repr(context.response)
    assert context.response.status_code == status, context.response
