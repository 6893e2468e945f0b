"""A real daemon on a platform of stand-ins, all in one event loop, for tests."""

import ssl
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, Self, TypeVar

import anyio
import httpx
import uvloop
from anyio.abc import TaskGroup

from knapweedbridge_core.settings import read_settings
from knapweedbridge_daemon import Daemon
from knapweedbridge_daemon.web import make_config, serve_until
from knapweedbridge_standins.engine import EngineStandIn
from knapweedbridge_standins.example import ADMINISTRATOR_KEY, PEER_SECRET, Example
from knapweedbridge_standins.key_value import KeyValueStandIn
from knapweedbridge_standins.plain import PlainStandIn
from knapweedbridge_standins.platform import HostListStandIn, WeightStoreStandIn

START_S = 20.0
POLL_S = 0.02

Result = TypeVar("Result")


class EmbeddedPlatform:
    """Context manager of one daemon, its endpoints and the platform.

    Parameters
    ----------
    example : Example
        Addresses, sizes and the folder.
    extra_files : mapping of str to str, optional
        Further files of the folder.
    extra_settings : str
        INI text appended to the daemon's settings.
    plain : ASGI application, optional
        Stands in for the plain service.
    certificate_file : str
        Certificate that both faces show by ``extra_settings``; empty: no TLS.
    wrap_engine : callable, optional
        Wraps the ASGI application of each engine.
    """

    def __init__(
        self,
        example: Example,
        extra_files: Mapping[str, str] | None = None,
        extra_settings: str = "",
        plain: Any = None,
        certificate_file: str = "",
        wrap_engine: Callable[[Any], Any] = lambda app: app,
    ) -> None:
        self.example = example
        self.hosts = HostListStandIn()
        self.key_value = KeyValueStandIn()
        self.weight_store = WeightStoreStandIn(load_s=0.01)
        self.plain = plain or PlainStandIn().app()
        self.engines = [
            EngineStandIn(
                slots=example.slots, weight_store=f"http://{example.weight_store}"
            )
            for _ in range(example.engines)
        ]
        self._files = {**example.folder(), **(extra_files or {})}
        self._extra_settings = extra_settings
        self._certificate_file = certificate_file
        self._wrap_engine = wrap_engine
        self._stop = anyio.Event()
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def _start(self) -> None:
        stack = self._stack
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        steps = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(steps.cancel_scope.cancel)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(self._stop.set)
        for engine in self.engines:
            steps.start_soon(engine.run)
        self._start_stand_ins(tasks)
        secret = Path(folder) / "secret"
        secret.write_text(PEER_SECRET)
        text = self.example.settings(0, str(secret)) + self._extra_settings
        self.daemon = Daemon(read_settings("embedded.ini", text))
        stack.callback(self.daemon.stop)
        tasks.start_soon(self.daemon.run)
        await self._apply()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    def _start_stand_ins(self, tasks: TaskGroup) -> None:
        example = self.example
        self.hosts.hosts = {str(line["name"]): line for line in example.listed_hosts()}
        served = {
            example.key_value: self.key_value.app(),
            example.host_list: self.hosts.app(),
            example.weight_store: self.weight_store.app(),
            example.plain: self.plain,
        }
        for place, engine in enumerate(self.engines):
            served[example.engine(place)] = self._wrap_engine(engine.app())
        for address, app in served.items():
            tasks.start_soon(serve_until, app, make_config(address, 0.1), self._stop)

    async def _apply(self) -> None:
        verify: ssl.SSLContext | bool = False
        scheme = "http"
        if self._certificate_file:
            verify = ssl.create_default_context(cafile=self._certificate_file)
            scheme = "https"
        url = f"{scheme}://{self.example.administration(0)}"
        headers = {"authorization": f"Bearer {ADMINISTRATOR_KEY}"}
        body = {"based_on": 0, "files": self._files}
        async with httpx.AsyncClient(
            base_url=url,
            headers=headers,
            timeout=START_S,
            trust_env=False,
            verify=verify,
        ) as client:
            with anyio.fail_after(START_S):
                await _until(lambda: _answers(client))
                applied = await client.post("/v1/configuration", json=body)
                if applied.status_code != 200:
                    raise RuntimeError(applied.text)
                await _until(lambda: _in_force(client))


async def _until(holds: Callable[[], Awaitable[bool]]) -> None:
    while not await holds():
        await anyio.sleep(POLL_S)


async def _answers(client: httpx.AsyncClient) -> bool:
    try:
        await client.get("/v1/status")
    except httpx.TransportError:
        return False
    return True


async def _in_force(client: httpx.AsyncClient) -> bool:
    status = await client.get("/v1/status")
    return status.status_code == 200 and status.json()["generation"] >= 1


class EmbeddedRunner:
    """Runs coroutines beside an embedded platform, from code that is not async.

    The platform's tasks go on only while a coroutine runs.

    Parameters
    ----------
    platform : callable
        Makes the platform, within the event loop.
    """

    def __init__(self, platform: Callable[[], EmbeddedPlatform]) -> None:
        self._make = platform
        self._loop = uvloop.new_event_loop()
        self.platform: EmbeddedPlatform | None = None

    def __enter__(self) -> Self:
        self.run(self._start())
        return self

    def __exit__(self, *error: object) -> None:
        self._ended.set()
        self._loop.run_until_complete(self._task)
        self._loop.close()

    def run(self, work: Awaitable[Result]) -> Result:
        """Run one coroutine to its end and return its result."""
        return self._loop.run_until_complete(work)

    async def _start(self) -> None:
        started = anyio.Event()
        self._ended = anyio.Event()
        self._task = self._loop.create_task(self._hold(started))
        self._task.add_done_callback(lambda task: started.set())
        await started.wait()
        if self._task.done():
            self._task.result()

    async def _hold(self, started: anyio.Event) -> None:
        async with self._make() as self.platform:
            started.set()
            await self._ended.wait()
