"""Stand-in of a plain service: counts what it ran, and says so in its answer."""

from dataclasses import dataclass, field

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from knapweedbridge_standins.faults import set_faults
from knapweedbridge_standins.journal import Journal

METHODS = ["GET", "POST", "PUT", "DELETE"]


@dataclass(slots=True)
class PlainFaults:
    """Faults a test may switch on.

    Parameters
    ----------
    work_s : float
        Duration of a call.
    refuse : bool
        Calls are refused without being run (429).
    leaving : bool
        New calls are refused with a mark; what runs is finished.
    fail_after : bool
        Calls are run, then answered as failed (500).
    """

    work_s: float = 0.005
    refuse: bool = False
    leaving: bool = False
    fail_after: bool = False


@dataclass(slots=True)
class PlainStandIn:
    """One instance of a plain service.

    Parameters
    ----------
    name : str
        Its name in the answers.
    work_s : float
        Duration of a call.
    journal : Journal
        Where runs are written.
    """

    name: str = "plain"
    work_s: float = 0.005
    journal: Journal = field(default_factory=Journal)
    runs: dict[str, int] = field(default_factory=dict)
    keys: dict[str, int] = field(default_factory=dict)
    faults: PlainFaults = field(init=False)

    def __post_init__(self) -> None:
        self.faults = PlainFaults(self.work_s)

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/runs", self._show_runs),
                Route("/keys", self._show_keys),
                Route("/faults", self._set_faults, methods=["POST"]),
                Route("/{path:path}", self._serve, methods=METHODS),
            ]
        )

    async def _serve(self, request: Request) -> Response:
        body = (await request.body()).decode()
        if self.faults.leaving:
            headers = {"x-leaving": "true", "retry-after": "1"}
            return JSONResponse({"error": {"code": "leaving"}}, 503, headers)
        if self.faults.refuse:
            return JSONResponse({"error": {"code": "full"}}, 429, {"retry-after": "1"})
        key = request.headers.get("idempotency-key", "")
        request_id = request.headers.get("x-request-id", "")
        self.journal.write("run", request=request_id, prompt=body, key=key)
        self.runs[body] = self.runs.get(body, 0) + 1
        if key:
            self.keys[key] = self.keys.get(key, 0) + 1
        await anyio.sleep(self.faults.work_s)
        if self.faults.fail_after:
            return JSONResponse({"error": {"code": "failed"}}, 500)
        return JSONResponse(
            {"path": request.url.path, "body": body, "method": request.method}
        )

    async def _show_runs(self, request: Request) -> Response:
        return JSONResponse(self.runs)

    async def _show_keys(self, request: Request) -> Response:
        return JSONResponse(self.keys)

    async def _set_faults(self, request: Request) -> Response:
        return await set_faults(self.faults, request)
