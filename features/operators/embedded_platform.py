"""Real daemons and stand-ins in one event loop, beside commands in threads."""

import asyncio
import contextlib
import io
import json
import os
import tempfile
from functools import partial
from pathlib import Path

import httpx

from knapweedbridge_cli.main import run as run_command
from knapweedbridge_core.folder import merge_folder
from knapweedbridge_core.settings import read_settings
from knapweedbridge_daemon import Daemon
from knapweedbridge_daemon.web import make_config, serve_until
from knapweedbridge_standins.engine import EngineStandIn
from knapweedbridge_standins.example import ADMINISTRATOR_KEY, Example
from knapweedbridge_standins.key_value import KeyValueStandIn
from knapweedbridge_standins.plain import PlainStandIn
from knapweedbridge_standins.platform import HostListStandIn, WeightStoreStandIn
from knapweedbridge_standins.port_blocks import claim_block

BASE_PORTS = range(28000, 32000, 100)
PORTS_A_RUN = 99
START_S = 20.0
STOP_S = 10.0


class EmbeddedPlatform:
    """Three daemons, two engines and the platform; started when first used.

    The event loop turns only while a step waits in it; a step that runs a
    command runs it in a thread meanwhile.
    """

    def __init__(self):
        self._block = claim_block(BASE_PORTS, PORTS_A_RUN)
        self.example = Example(self._block.first)
        self._runner = None
        self._tasks = []
        self._daemons = {}

    def start(self):
        if self._runner is not None:
            return
        self._folder = tempfile.TemporaryDirectory()
        self._runner = asyncio.Runner()
        self._client = httpx.AsyncClient(timeout=20, verify=False)
        self.wait(self._start())

    def wait(self, coroutine):
        return self._runner.run(coroutine)

    async def _start(self):
        example = self.example
        hosts = HostListStandIn()
        hosts.hosts = {str(line["name"]): line for line in example.listed_hosts()}
        served = {
            example.key_value: KeyValueStandIn().app(),
            example.host_list: hosts.app(),
            example.weight_store: WeightStoreStandIn(load_s=0.05).app(),
            example.plain: PlainStandIn().app(),
        }
        for place in range(example.engines):
            engine = EngineStandIn(slots=example.slots)
            self._spawn(engine.run())
            served[example.engine(place)] = engine.app()
        self._stop_platform = asyncio.Event()
        for address, app in served.items():
            config = make_config(address, 0.1)
            self._spawn(serve_until(app, config, self._stop_platform))
        secret = Path(self._folder.name) / "secret"
        secret.write_text("peer-secret")
        for place in range(example.daemons):
            self._start_daemon(place)
        await self._await_generation(0)

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.append(task)
        return task

    def _start_daemon(self, place):
        secret = Path(self._folder.name) / "secret"
        text = self.example.settings(place, str(secret))
        text = text.replace("poll_s = 0.5", "poll_s = 0.1")
        daemon = Daemon(read_settings("daemon.ini", text))
        task = asyncio.get_running_loop().create_task(daemon.run())
        self._daemons[f"host-{place}"] = daemon, task

    def restart(self, host):
        async def start_and_wait():
            self._start_daemon(int(host.rpartition("-")[2]))

        self.wait(start_and_wait())
        self.await_newest()

    def await_end(self, host):
        async def end():
            task = self._daemons[host][1]
            await asyncio.wait_for(asyncio.shield(task), START_S)

        self.wait(end())

    def is_running(self, host):
        return not self._daemons[host][1].done()

    async def _await_generation(self, generation):
        client = self._client
        async with asyncio.timeout(START_S):
            for place in range(self.example.daemons):
                while True:
                    status = await self._status(client, place)
                    if status is not None and status["generation"] >= generation:
                        break
                    await asyncio.sleep(0.01)

    async def _status(self, client, place):
        url = f"http://{self.example.administration(place)}/v1/status"
        headers = {"authorization": f"Bearer {ADMINISTRATOR_KEY}"}
        try:
            answer = await client.get(url, headers=headers)
        except httpx.HTTPError:
            return None
        return answer.json() if answer.status_code == 200 else None

    def await_generation(self, generation):
        self.wait(self._await_generation(generation))

    def call(self, method, url, **arguments):
        return self.wait(self._client.request(method, url, **arguments))

    def administration(self, method, path, key=ADMINISTRATOR_KEY, host=0, **arguments):
        url = f"http://{self.example.administration(host)}{path}"
        headers = {"authorization": f"Bearer {key}"}
        return self.call(method, url, headers=headers, **arguments)

    def command(self, arguments, key=ADMINISTRATOR_KEY, host=0):
        """Run the operators' command; return exit code, output and errors."""
        environment = {
            "KNAPWEEDBRIDGE_URL": f"http://{self.example.administration(host)}",
            "KNAPWEEDBRIDGE_KEY": key,
            "NO_COLOR": "1",
            "COLUMNS": "200",
        }
        out, err = io.StringIO(), io.StringIO()
        saved = dict(os.environ)
        os.environ.update(environment)
        try:
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
                code = self.wait(asyncio.to_thread(partial(run_command, arguments)))
        finally:
            os.environ.clear()
            os.environ.update(saved)
        return int(code), out.getvalue(), err.getvalue()

    def put_in_force(self, files):
        self.await_newest()
        held = self.administration("GET", "/v1/configuration")
        if held.json().get("sections") == merge_folder(files.items()):
            return
        answer = self.administration("POST", "/v1/configuration", json={"files": files})
        if answer.status_code == 409:
            self.await_generation(answer.json()["generation"])
            self.put_in_force(files)
            return
        assert answer.status_code == 200, answer.text
        self.await_generation(answer.json()["generation"])

    def await_newest(self):
        """Wait until what the service holds is in force on every host."""
        kept = self.administration("GET", "/v1/generations").json().get("generations")
        if kept:
            self.await_generation(kept[0]["generation"])

    def generation(self):
        answer = self.administration("GET", "/v1/status")
        return answer.json()["generation"]

    def json_of(self, arguments, **options):
        code, out, err = self.command([*arguments, "--json"], **options)
        assert code == 0, (code, out, err)
        return json.loads(out)

    def close(self):
        if self._runner is not None:
            self.wait(self._stop())
            self._runner.close()
            self._folder.cleanup()
        self._block.close()

    async def _stop(self):
        await self._client.aclose()
        for daemon, _ in self._daemons.values():
            daemon.stop()
        daemons = [task for _, task in self._daemons.values()]
        await asyncio.wait(daemons, timeout=STOP_S)
        self._stop_platform.set()
        await asyncio.sleep(0.3)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
