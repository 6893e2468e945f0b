"""Stand-ins of the platform's list of hosts and of the weight store."""

import json
from dataclasses import dataclass, field
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

WEIGHT_BYTES = 1024


@dataclass(slots=True)
class HostListStandIn:
    """The list of hosts, which shows each change only after a lag."""

    lag_s: float = 0.0
    hosts: dict[str, dict[str, Any]] = field(default_factory=dict)

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/hosts", self._list, methods=["GET"]),
                Route("/hosts", self._put, methods=["POST"]),
            ]
        )

    async def _list(self, request: Request) -> Response:
        return JSONResponse(list(self.hosts.values()))

    async def _put(self, request: Request) -> Response:
        line = json.loads(await request.body())
        await anyio.sleep(self.lag_s)
        if line.pop("gone", False):
            self.hosts.pop(line["name"], None)
        else:
            self.hosts[line["name"]] = line
        return JSONResponse({})


@dataclass(slots=True)
class WeightStoreStandIn:
    """The store of weights: one load at a time goes at full speed."""

    load_s: float = 0.3
    fail_next: int = 0
    loads: int = 0
    under_way: int = 0

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/weights/{name:path}", self._weights),
                Route("/faults", self._faults, methods=["POST"]),
                Route("/calls", self._calls),
            ]
        )

    async def _weights(self, request: Request) -> Response:
        self.loads += 1
        self.under_way += 1
        try:
            left_s = self.load_s
            while left_s > 0:
                slice_s = min(0.02, left_s * self.under_way)
                await anyio.sleep(slice_s)
                left_s -= slice_s / self.under_way
        finally:
            self.under_way -= 1
        if self.fail_next > 0:
            self.fail_next -= 1
            return Response(b"\0" * 100, status_code=500)
        return Response(b"\0" * WEIGHT_BYTES)

    async def _faults(self, request: Request) -> Response:
        for name, value in json.loads(await request.body()).items():
            setattr(self, name, value)
        return JSONResponse({})

    async def _calls(self, request: Request) -> Response:
        return JSONResponse({"loads": self.loads, "under_way": self.under_way})
