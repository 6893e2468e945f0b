"""The administration API."""

import json
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from knapweedbridge_core import events
from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.folder import merge_folder
from knapweedbridge_daemon.configurations import Accepted, write_configuration
from knapweedbridge_daemon.driver import Driver
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.keys import bearer_key, hash_key
from knapweedbridge_daemon.store import KeyValueStore


class Administration:
    """Handlers of the administration API.

    Parameters
    ----------
    driver : Driver
        Gives sight of the core.
    store : KeyValueStore
        Where configurations are written.
    first_key_hash : str
        Hash of a key that works while no configuration is in force.
    """

    def __init__(
        self, driver: Driver, store: KeyValueStore, first_key_hash: str
    ) -> None:
        self._driver = driver
        self._store = store
        self._first_key_hash = first_key_hash

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/v1/configuration", self._configuration, methods=["GET"]),
            Route("/v1/configuration", self._apply, methods=["POST"]),
            Route("/v1/status", self._status),
            Route("/v1/endpoints", self._endpoints),
            Route("/v1/timeline", self._timeline),
        ]
        return Starlette(routes=routes)

    def _allowed(self, request: Request) -> bool:
        configuration = self._driver.bridge.configuration
        key = bearer_key(request.headers, configuration)
        if key is not None:
            return key.role in ("operator", "administrator")
        shown = request.headers.get("authorization", "").removeprefix("Bearer ")
        first = bool(self._first_key_hash) and configuration.generation == 0
        return first and hash_key(shown) == self._first_key_hash

    async def _configuration(self, request: Request) -> Response:
        if not self._allowed(request):
            return _refused()
        configuration = self._driver.bridge.configuration
        return JSONResponse(
            {"generation": configuration.generation, "sections": configuration.sections}
        )

    async def _apply(self, request: Request) -> Response:
        if not self._allowed(request):
            return _refused()
        body = json.loads(await request.body())
        try:
            sections = merge_folder(body["files"].items())
            ended = await write_configuration(
                self._store,
                body["based_on"],
                sections,
                self._driver.bridge.distribution.highest_known,
            )
        except CheckError as error:
            faults = [str(fault) for fault in error.faults]
            return JSONResponse({"faults": faults}, status_code=422)
        except StoreError as error:
            return JSONResponse({"message": str(error)}, status_code=503)
        status = 200 if isinstance(ended, Accepted) else 409
        return JSONResponse({"generation": ended.generation}, status_code=status)

    async def _status(self, request: Request) -> Response:
        if not self._allowed(request):
            return _refused()
        await self._driver.submit(events.GenerationsAsked())
        bridge = self._driver.bridge
        peers = {
            member.name: {"linked": member.linked, "generation": member.generation}
            for member in bridge.members.known()
        }
        return JSONResponse(
            {
                "host": bridge.host,
                "generation": bridge.configuration.generation,
                "configuration": bridge.distribution.status(),
                "isolated": bridge.members.unsure,
                "owned": sorted(bridge.ledgers),
                "requests": self._driver.following,
                "peers": peers,
            }
        )

    async def _endpoints(self, request: Request) -> Response:
        if not self._allowed(request):
            return _refused()
        view = self._driver.bridge.view
        found = {
            name: {
                "owner": state.owner,
                "number": state.number,
                "loaded": sorted(map(str, state.loaded)),
                "running": state.running,
            }
            for name, state in view.endpoints.items()
        }
        return JSONResponse(found)

    async def _timeline(self, request: Request) -> Response:
        if not self._allowed(request):
            return _refused()
        wanted = dict(request.query_params)
        found: list[dict[str, Any]] = [
            {
                "wall_us": event.stamp.wall_us,
                "count": event.stamp.count,
                "host": event.host,
                "kind": event.kind,
                "fields": event.fields,
            }
            for event in self._driver.select_timeline(wanted)
        ]
        return JSONResponse(found)


def _refused() -> Response:
    return JSONResponse({"message": "this key may not do that"}, status_code=403)
