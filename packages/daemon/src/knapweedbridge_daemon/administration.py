"""The administration API: routes, and what each answers.

Every answer is JSON. An error is ``{"error": {"code", "message"}}`` with a
stable code, see `api_errors.ErrorCode`.
"""

from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Any

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from knapweedbridge_core import events
from knapweedbridge_core.errors import CheckError
from knapweedbridge_daemon import inventory
from knapweedbridge_daemon.access import Caller, identify, require_administrator
from knapweedbridge_daemon.api_bodies import (
    check_query,
    read_folder_body,
    read_host_body,
    read_number,
    read_rollback_body,
)
from knapweedbridge_daemon.api_errors import ApiError, ErrorCode, faults_error
from knapweedbridge_daemon.body_reading import BodyReader
from knapweedbridge_daemon.driver import Driver
from knapweedbridge_daemon.errors import GenerationGoneError, StoreError
from knapweedbridge_daemon.history import list_generations
from knapweedbridge_daemon.off_loop import run_off_loop
from knapweedbridge_daemon.proposals import Collision, Proposals, Written, visible
from knapweedbridge_daemon.store import KeyValueStore

MAX_GENERATION = 1 << 62
MAX_PAGE = 1000
DEFAULT_PAGE = 100
MAX_EVENTS = 100_000
DEFAULT_EVENTS = 1000
MAX_WALL_US = 1 << 62

ENDPOINT_DRAIN = "/v1/endpoints/{name}/drain"

Drain = Callable[[], Awaitable[None]]
Answer = Callable[[Request, Caller], Awaitable[Any]]


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
    drain : callable
        Starts the graceful end of this daemon.
    bodies : BodyReader, optional
        Receives bodies within the memory for them; by default there is no limit.
    """

    def __init__(
        self,
        driver: Driver,
        store: KeyValueStore,
        first_key_hash: str,
        drain: Drain | None = None,
        bodies: BodyReader | None = None,
    ) -> None:
        self._bodies = BodyReader() if bodies is None else bodies
        self._driver = driver
        self._store = store
        self._proposals = Proposals(store, driver.bridge)
        self._first_key_hash = first_key_hash
        self._drain = drain

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            self._route("/v1/configuration", self._show_configuration),
            self._route("/v1/configuration", self._apply, "POST"),
            self._route("/v1/check", self._check, "POST"),
            self._route("/v1/diff", self._diff, "POST"),
            self._route("/v1/rollback", self._rollback, "POST"),
            self._route("/v1/generations", self._generations),
            self._route("/v1/status", self._status),
            self._route("/v1/adapters", self._adapters),
            self._route("/v1/endpoints", self._endpoints),
            self._route(ENDPOINT_DRAIN, self._drain_endpoint, "POST"),
            self._route(ENDPOINT_DRAIN, self._undrain_endpoint, "DELETE"),
            self._route("/v1/timeline", self._timeline),
            self._route("/v1/drain", self._start_drain, "POST"),
        ]
        handlers: Any = {HTTPException: _http_error}
        return Starlette(routes=routes, exception_handlers=handlers)

    def _route(self, path: str, answer: Answer, method: str = "GET") -> Route:
        async def serve(request: Request) -> Response:
            try:
                configuration = self._driver.bridge.configuration
                caller = identify(request.headers, configuration, self._first_key_hash)
                return JSONResponse(await answer(request, caller))
            except ApiError as error:
                return error.response()
            except CheckError as error:
                return faults_error(error.faults).response()
            except GenerationGoneError as error:
                return ApiError(ErrorCode.NOT_FOUND, str(error)).response()
            except StoreError as error:
                return ApiError(ErrorCode.STORE_DOWN, str(error)).response()
            except ClientDisconnect:
                return Response(status_code=499)

        return Route(path, serve, methods=[method])

    async def _show_configuration(self, request: Request, caller: Caller) -> Any:
        check_query(request.query_params, ("generation",))
        in_force = self._driver.bridge.configuration
        generation = read_number(
            request.query_params, "generation", in_force.generation, MAX_GENERATION
        )
        sections = await self._proposals.sections_at(generation)
        return {"generation": generation, "sections": visible(caller, sections)}

    async def _check(self, request: Request, caller: Caller) -> Any:
        body = await read_folder_body(self._bodies, request)
        checked = await self._proposals.check(caller, body.files)
        return {"sections": len(visible(caller, checked.wanted))}

    async def _diff(self, request: Request, caller: Caller) -> Any:
        body = await read_folder_body(self._bodies, request)
        checked = await self._proposals.check(caller, body.files)
        found = await run_off_loop(checked.changes)
        changes = [asdict(change) for change in found]
        return {"generation": checked.generation, "changes": changes}

    async def _apply(self, request: Request, caller: Caller) -> Any:
        body = await read_folder_body(self._bodies, request)
        based_on = self._base(body.based_on)
        ended = await self._proposals.apply(caller, based_on, body.files)
        return self._end_write(caller, based_on, ended)

    async def _rollback(self, request: Request, caller: Caller) -> Any:
        body = await read_rollback_body(self._bodies, request)
        based_on = self._base(body.based_on)
        ended = await self._proposals.rollback(caller, based_on, body.generation)
        return self._end_write(caller, based_on, ended)

    def _base(self, named: int | None) -> int:
        return self._driver.bridge.configuration.generation if named is None else named

    def _end_write(
        self, caller: Caller, based_on: int, ended: Written | Collision
    ) -> Any:
        if isinstance(ended, Collision):
            raise _conflict(based_on, ended)
        self._driver.record(
            "configuration.accepted",
            key=caller.name,
            team=caller.team,
            generation=ended.generation,
            changes=len(ended.changes),
        )
        self._driver.count("configuration.accepted")
        changes = [asdict(change) for change in ended.changes]
        return {"generation": ended.generation, "changes": changes}

    async def _generations(self, request: Request, caller: Caller) -> Any:
        kept = await list_generations(self._store)
        found = [
            {
                "generation": generation.number,
                "key": generation.key,
                "team": generation.team,
                "accepted_us": generation.accepted_us,
            }
            for generation in kept
        ]
        return {"generations": found}

    async def _status(self, request: Request, caller: Caller) -> Any:
        await self._driver.submit(events.GenerationsRequested())
        return inventory.status(self._driver)

    async def _adapters(self, request: Request, caller: Caller) -> Any:
        query = request.query_params
        check_query(query, ("prefix", "after", "limit", "loaded", "team"))
        loaded = query.get("loaded", "")
        if loaded not in ("", "yes", "no"):
            message = f"loaded: {loaded!r}: one of yes, no"
            raise ApiError(ErrorCode.BAD_REQUEST, message)
        wanted = inventory.AdapterFilter(
            prefix=query.get("prefix", ""),
            after=query.get("after", ""),
            team=query.get("team", "") if caller.administrator else caller.team,
            loaded=loaded,
            limit=read_number(query, "limit", DEFAULT_PAGE, MAX_PAGE),
        )
        return inventory.adapters(self._driver.bridge, wanted)

    async def _endpoints(self, request: Request, caller: Caller) -> Any:
        check_query(request.query_params, ())
        return inventory.endpoints(self._driver.bridge, caller)

    async def _drain_endpoint(self, request: Request, caller: Caller) -> Any:
        return await self._order_endpoint(request, caller, leaving=True)

    async def _undrain_endpoint(self, request: Request, caller: Caller) -> Any:
        return await self._order_endpoint(request, caller, leaving=False)

    async def _order_endpoint(
        self, request: Request, caller: Caller, leaving: bool
    ) -> Any:
        check_query(request.query_params, ())
        require_administrator(caller)
        name = request.path_params["name"]
        if name not in self._driver.bridge.configuration.endpoints:
            message = f"no endpoint {name} in the configuration in force"
            raise ApiError(ErrorCode.NOT_FOUND, message)
        self._driver.record(
            "endpoint.ordered",
            key=caller.name,
            team=caller.team,
            endpoint=name,
            leaving=leaving,
        )
        await self._driver.submit(events.EndpointDrainRequested(name, leaving))
        return {"endpoint": name, "ordered_to_leave": leaving}

    async def _timeline(self, request: Request, caller: Caller) -> Any:
        query = request.query_params
        allowed = ("request", "adapter", "endpoint", "since_us", "until_us", "limit")
        check_query(query, allowed)
        require_administrator(caller)
        wanted = inventory.EventFilter(
            request=query.get("request", ""),
            adapter=query.get("adapter", ""),
            endpoint=query.get("endpoint", ""),
            since_us=read_number(query, "since_us", 0, MAX_WALL_US),
            until_us=read_number(query, "until_us", MAX_WALL_US, MAX_WALL_US),
            limit=read_number(query, "limit", DEFAULT_EVENTS, MAX_EVENTS),
        )
        return inventory.timeline(self._driver, wanted)

    async def _start_drain(self, request: Request, caller: Caller) -> Any:
        require_administrator(caller)
        named, host = (
            await read_host_body(self._bodies, request),
            self._driver.bridge.host,
        )
        if named != host:
            message = f"this is {host}, not {named}: ask that host's own daemon"
            raise ApiError(ErrorCode.NOT_FOUND, message)
        if self._drain is not None:
            self._driver.record("drain.asked", key=caller.name)
            await self._drain()
        return {"host": host, "draining": True}


def _conflict(based_on: int, collision: Collision) -> ApiError:
    message = f"generation {collision.generation} came after {based_on}"
    return ApiError(
        ErrorCode.CONFLICT,
        message,
        generation=collision.generation,
        based_on=based_on,
        base_kept=collision.base_kept,
        mine=[asdict(change) for change in collision.mine],
        theirs=[asdict(change) for change in collision.theirs],
    )


async def _http_error(request: Request, error: HTTPException) -> Response:
    code = {404: ErrorCode.NOT_FOUND}.get(error.status_code, ErrorCode.BAD_REQUEST)
    body = {"error": {"code": str(code), "message": str(error.detail)}}
    return JSONResponse(body, status_code=error.status_code)
