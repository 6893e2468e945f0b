"""Stand-in of a plain service: counts what it ran, and says so in its answer."""

from dataclasses import dataclass, field

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

METHODS = ["GET", "POST", "PUT", "DELETE"]


@dataclass(slots=True)
class PlainStandIn:
    """One instance of a plain service.

    Parameters
    ----------
    work_s : float
        Duration of a call.
    """

    name: str = "plain"
    work_s: float = 0.005
    runs: dict[str, int] = field(default_factory=dict)

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/runs", self._show_runs),
                Route("/{path:path}", self._serve, methods=METHODS),
            ]
        )

    async def _serve(self, request: Request) -> Response:
        body = (await request.body()).decode()
        await anyio.sleep(self.work_s)
        self.runs[body] = self.runs.get(body, 0) + 1
        return JSONResponse(
            {"path": request.url.path, "body": body, "method": request.method}
        )

    async def _show_runs(self, request: Request) -> Response:
        return JSONResponse(self.runs)
