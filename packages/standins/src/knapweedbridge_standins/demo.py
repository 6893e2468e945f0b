"""The quick start: a real daemon on an embedded platform, in one process."""

import json
import tempfile
import time
from pathlib import Path

import anyio
import httpx
from anyio.abc import TaskGroup

from knapweedbridge_core.settings import read_settings
from knapweedbridge_daemon import Daemon
from knapweedbridge_daemon.web import make_config, serve_until
from knapweedbridge_standins.engine import EngineStandIn
from knapweedbridge_standins.example import (
    ADMINISTRATOR_KEY,
    CALLER_KEY,
    PEER_SECRET,
    Example,
    find_free_example,
)
from knapweedbridge_standins.key_value import KeyValueStandIn
from knapweedbridge_standins.oracle import answer
from knapweedbridge_standins.plain import PlainStandIn
from knapweedbridge_standins.platform import HostListStandIn, WeightStoreStandIn

BASE_PORT = 18800
TOKENS = 12
START_S = 20.0


class Demo:
    """One daemon, two engines, one plain service and the platform."""

    def __init__(self, example: Example) -> None:
        self._example = example
        self._stop = anyio.Event()

    async def run(self) -> bool:
        """Print what happens, and return whether every answer was right."""
        async with anyio.create_task_group() as platform:
            steps = self._start_platform(platform)
            right = await self._serve()
            self._stop.set()
            for step in steps:
                step.cancel()
        return right

    async def _serve(self) -> bool:
        with tempfile.TemporaryDirectory() as folder:
            secret = Path(folder) / "secret"
            secret.write_text(PEER_SECRET)
            text = self._example.settings(0, str(secret))
            daemon = Daemon(read_settings("demo.ini", text))
            async with anyio.create_task_group() as served:
                served.start_soon(daemon.run)
                right = await self._ask_all()
                daemon.stop()
        print("the daemon drained and ended")
        return right

    def _start_platform(self, tasks: TaskGroup) -> list[anyio.CancelScope]:
        """Start the platform; return what stops the steps of the engines."""
        steps = []
        example = self._example
        hosts = HostListStandIn()
        hosts.hosts = {str(line["name"]): line for line in example.listed_hosts()}
        served = {
            example.key_value: KeyValueStandIn().app(),
            example.host_list: hosts.app(),
            example.weight_store: WeightStoreStandIn().app(),
            example.plain: PlainStandIn().app(),
        }
        for place in range(example.engines):
            engine = EngineStandIn(
                slots=example.slots, weight_store=f"http://{example.weight_store}"
            )
            steps.append(anyio.CancelScope())
            tasks.start_soon(_run_within, steps[-1], engine)
            served[example.engine(place)] = engine.app()
        for address, app in served.items():
            tasks.start_soon(serve_until, app, make_config(address, 0.1), self._stop)
        return steps

    async def _ask_all(self) -> bool:
        async with httpx.AsyncClient(timeout=30, trust_env=False) as client:
            await self._apply(client)
            right = [
                await self._complete(client, self._example.model(3), False),
                await self._complete(client, self._example.model(3), True),
                await self._complete(client, "reminders", True),
                await self._order(client),
            ]
        return all(right)

    async def _apply(self, client: httpx.AsyncClient) -> None:
        url = f"http://{self._example.administration(0)}"
        headers = {"authorization": f"Bearer {ADMINISTRATOR_KEY}"}
        body = {"based_on": 0, "files": self._example.folder()}
        with anyio.fail_after(START_S):
            await _answered(client, f"{url}/v1/status")
            applied = await client.post(
                f"{url}/v1/configuration", json=body, headers=headers
            )
            print("applied the folder: generation", applied.json()["generation"])
            while True:
                status = await client.get(f"{url}/v1/status", headers=headers)
                if status.status_code == 200 and status.json()["generation"] == 1:
                    break
                await anyio.sleep(0.1)
        print("in force: generation 1")

    async def _complete(
        self, client: httpx.AsyncClient, name: str, streamed: bool
    ) -> bool:
        started_s = time.monotonic()
        body = {"model": name, "prompt": "hello", "max_tokens": TOKENS}
        body["stream"] = streamed
        response = await client.post(
            f"http://{self._example.callers(0)}/v1/completions",
            json=body,
            headers={"authorization": f"Bearer {CALLER_KEY}"},
        )
        text = _streamed_text(response) if streamed else _text(response)
        model = self._example.model(0) if name == "reminders" else name
        right = text == "".join(answer(model, "hello", TOKENS))
        took_s = time.monotonic() - started_s
        form = "streamed" if streamed else "whole"
        print(f"{name} ({form}, {took_s:.2f} s, right: {right}): {text}")
        return right

    async def _order(self, client: httpx.AsyncClient) -> bool:
        response = await client.post(
            f"http://{self._example.callers(0)}/orders/17",
            content="two boxes",
            headers={"authorization": f"Bearer {CALLER_KEY}"},
        )
        print("order by the plain service:", response.status_code, response.text)
        return response.status_code == 200


async def _run_within(scope: anyio.CancelScope, engine: EngineStandIn) -> None:
    with scope:
        await engine.run()


async def _answered(client: httpx.AsyncClient, url: str) -> None:
    while True:
        try:
            await client.get(url)
            return
        except httpx.HTTPError:
            await anyio.sleep(0.05)


def _text(response: httpx.Response) -> str:
    return response.json()["choices"][0]["text"]


def _streamed_text(response: httpx.Response) -> str:
    events = [line[6:] for line in response.text.split("\n") if line.startswith("data")]
    tokens = [json.loads(event)["choices"][0]["text"] for event in events[:-1]]
    return "".join(tokens) if events[-1] == "[DONE]" else "cut"


def main() -> None:
    """Run the quick start."""
    try:
        example = find_free_example(BASE_PORT, daemons=1)
    except OSError as error:
        print(error)
        raise SystemExit(2) from None
    right = anyio.run(Demo(example).run)
    print("every answer right" if right else "NOT every answer right")
    raise SystemExit(0 if right else 1)


if __name__ == "__main__":
    main()
