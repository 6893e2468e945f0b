import os
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path

import anyio
import httpx
from behave import given, then, when
from path_steps import ROOT
from standins import Endpoint, Engine, Store, header
from whole_path import WholePath, configuration, fill, free_port
from whole_path import settings_fields as fields_of

from knapweedbridge_core.serving import (
    PROTOCOL,
    ClusterState,
    DaemonRecord,
    understands,
)
from knapweedbridge_core.serving.cluster_state import DaemonNamed, ProtocolNamed
from knapweedbridge_core.serving.permit_messages import CapacityRequest, PermitRequest

GRACE_S = 3
CALL_EVERY_S = 0.05
SETTLE_S = 1.5
KINDS = ("look", "order", "draft", "note")
MODELS = ("base/a1", "base/a2", "base/a3")


def earlier_version(version):
    """Return a landed version, or the present one where the history is not there."""
    found = subprocess.run(["git", "cat-file", "-e", version], cwd=ROOT)
    if found.returncode == 0:
        return version
    print(f"{version} is not in the history: HEAD is replaced by itself")
    return "HEAD"


class UpgradedPool(WholePath):
    """Stand-ins, and daemons of an earlier version in processes of their own."""

    def __init__(self, tasks, folder, version):
        super().__init__(None, tasks)
        self.version = version
        self.store = Store()
        self.desks = [Endpoint(f"desk-{n}", "desk") for n in (1, 2)]
        self.engines = [Engine(f"engine-{n}", "llm") for n in (1, 2)]
        self.folder = Path(folder)
        self.processes = []
        self.ready = set()

    async def start_all(self, daemons):
        self._unpack_before()
        for server in (self.store, *self.endpoints):
            await self.tasks.start(server.run)
        self.store.put("op/config", configuration())
        for endpoint in self.endpoints:
            self.store.put(f"servers/{endpoint.name}", endpoint.entry())
        for number in range(daemons):
            self.ports.append([free_port() for _ in range(3)])
            self.processes.append(None)
            self._start(number, self.folder / "before")
        for number in range(daemons):
            await self.until_ready(number)
            self.ready.add(number)

    def _unpack_before(self):
        packed = subprocess.run(
            ["git", "archive", earlier_version(self.version), "packages", "platform"],
            cwd=ROOT,
            check=True,
            capture_output=True,
        )
        (self.folder / "before").mkdir()
        unpack = ["tar", "-x", "-C", str(self.folder / "before")]
        subprocess.run(unpack, check=True, input=packed.stdout)

    def _start(self, number, root):
        name = f"host-{number}"
        fields = fields_of(name, self.store.address, self.ports[number])
        fields["bounds"]["grace_s"] = GRACE_S
        text = fill((root / "platform/settings.ini").read_text(), fields)
        file = self.folder / f"{name}.ini"
        file.write_text(text.replace("127.0.0.1:9464", f"127.0.0.1:{free_port()}"))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, str(root / "platform/start.py")],
                env={**os.environ, "KNAPWEEDBRIDGE_NODE_FILE": str(file)},
                stdout=log,
            )

    async def upgrade(self, number):
        """Replace one daemon as the platform does: callers are led elsewhere first."""
        self.ready.discard(number)
        process = self.processes[number]
        process.send_signal(signal.SIGTERM)
        with anyio.fail_after(GRACE_S + 5):
            while process.poll() is None:
                await anyio.sleep(0.05)
        self._start(number, ROOT)
        await self.until_ready(number)
        self.ready.add(number)

    def end(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()


@given("a pool of {daemons:d} daemons of version {version}, in processes of their own")
def pool_before(context, daemons, version):
    context.daemons, context.version = daemons, version


async def one_call(pool, number, answers):
    """Call a host that is ready, and come back as often as that is asked for."""
    kind = KINDS[number % len(KINDS)]
    call = f"{kind}-{os.urandom(4).hex()}"
    for attempt in range(4):
        host = sorted(pool.ready)[(number + attempt) % len(pool.ready)]
        headers = {"Request-Id": f"{call}-{attempt}"}
        try:
            if kind in ("look", "order"):
                answer = await pool.call("POST", f"/{kind}/1", host, headers)
            else:
                model = MODELS[number // len(KINDS) % len(MODELS)]
                answer = await pool.draft(model, host, f"/{kind}/1", **headers)
        except httpx.HTTPError as error:
            answers.append((call, repr(error)))
            return
        if answer.status_code != 503:
            break
        await anyio.sleep(float(answer.headers.get("Retry-After", "0.2")))
    answers.append((call, answer.status_code))


async def call_on(pool, answers):
    number = 0
    async with anyio.create_task_group() as tasks:
        while True:
            tasks.start_soon(one_call, pool, number, answers)
            number += 1
            await anyio.sleep(CALL_EVERY_S)


@when("they are replaced one by one while calls come, and endpoints turn brittle")
def replaced(context):
    async def story(folder):
        context.answers = []
        async with anyio.create_task_group() as tasks:
            pool = context.pool = UpgradedPool(tasks, folder, context.version)
            try:
                await pool.start_all(context.daemons)
                await anyio.sleep(SETTLE_S)
                async with anyio.create_task_group() as calls:
                    calls.start_soon(call_on, pool, context.answers)
                    await anyio.sleep(SETTLE_S)
                    for number in range(context.daemons):
                        await pool.upgrade(number)
                        for endpoint in pool.endpoints:
                            endpoint.brittle_per_s = 2
                        await anyio.sleep(SETTLE_S)
                    await anyio.sleep(SETTLE_S)
                    # Those that are under way end.
                    ended = len(context.answers)
                    calls.cancel_scope.cancel()
                context.answers = context.answers[:ended]
            finally:
                pool.end()
                tasks.cancel_scope.cancel()

    with tempfile.TemporaryDirectory() as folder:
        anyio.run(story, folder)


@then("all calls are answered, the refused ones once they come back")
def all_answered(context):
    found = Counter(status for _, status in context.answers)
    assert set(found) == {200}, found


@then("no call that may run once runs twice")
def none_twice(context):
    runs = Counter(
        header(request, "Request-Id")
        for endpoint in context.pool.endpoints
        for request in endpoint.requests
    )
    twice = [
        call for call, n in runs.items() if n > 1 and call[:5] in ("order", "note-")
    ]
    assert not twice, twice


SAID = {
    "says nothing of its protocol": None,
    "speaks the present protocol": (5, PROTOCOL),
    "spoke it before it was set back": (4, PROTOCOL),
    "speaks a later protocol": (5, PROTOCOL + 1),
}
"""The start and the protocol that a daemon's record in the store tells."""


@given("a daemon that {says}")
def daemon_that(context, says):
    context.cluster = ClusterState()
    context.cluster.take(DaemonNamed(DaemonRecord("h1", 5, "a", "d")), 0.0)
    if SAID[says] is not None:
        context.cluster.take(ProtocolNamed("h1", *SAID[says]), 0.0)


@when("it is sent a question for room and one for a permit")
def is_sent(context):
    sent = [CapacityRequest("e", 0, 2.0, 1), PermitRequest("e", 0, 2.0, 0.0, 2)]
    protocol = context.cluster.protocol_of("h1")
    context.got = [each for each in sent if understands(protocol, each)]


@then("it gets {what}")
def gets(context, what):
    kinds = [type(each) for each in context.got]
    expected = [CapacityRequest, PermitRequest] if what == "both" else [PermitRequest]
    assert kinds == expected, kinds
