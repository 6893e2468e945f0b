"""Stand-ins of the platform's list of hosts and of the weight store."""

import json
import time
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from knapweedbridge_standins.faults import set_faults

WEIGHT_BYTES = 1024
SIZE_HEADER = "x-weights-bytes"
SLICE_S = 0.02


@dataclass(slots=True)
class HostListFaults:
    """Faults a test may switch on.

    Parameters
    ----------
    lag_s : float
        Time until a change is shown.
    down : bool
        The list is not answered.
    """

    lag_s: float = 0.0
    down: bool = False


@dataclass(slots=True)
class HostListStandIn:
    """The list of hosts, which shows each change only after a lag."""

    lag_s: float = 0.0
    hosts: dict[str, dict[str, Any]] = field(default_factory=dict)
    faults: HostListFaults = field(init=False)
    _changes: deque[tuple[float, dict[str, Any]]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self.faults = HostListFaults(self.lag_s)

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/hosts", self._list, methods=["GET"]),
                Route("/hosts", self._put, methods=["POST"]),
                Route("/faults", self._set_faults, methods=["POST"]),
            ]
        )

    async def _list(self, request: Request) -> Response:
        if self.faults.down:
            return JSONResponse({"error": "down"}, status_code=503)
        now_s = time.monotonic()
        while self._changes and self._changes[0][0] <= now_s:
            self._show(self._changes.popleft()[1])
        return JSONResponse(list(self.hosts.values()))

    def _show(self, line: dict[str, Any]) -> None:
        if line.pop("gone", False):
            self.hosts.pop(line["name"], None)
        else:
            self.hosts[line["name"]] = line

    async def _put(self, request: Request) -> Response:
        shown_s = time.monotonic() + self.faults.lag_s
        if self._changes:
            shown_s = max(shown_s, self._changes[-1][0])
        self._changes.append((shown_s, json.loads(await request.body())))
        return JSONResponse({})

    async def _set_faults(self, request: Request) -> Response:
        return await set_faults(self.faults, request)


@dataclass(slots=True)
class WeightStoreFaults:
    """Faults a test may switch on.

    Parameters
    ----------
    fail_next : int
        This many next loads end partway.
    load_s : float
        Duration of a load that has the store for itself.
    loads_per_s : float
        Loads that may begin a second; 0: any number.
    """

    fail_next: int = 0
    load_s: float = 0.3
    loads_per_s: float = 0.0


@dataclass(slots=True)
class WeightStoreStandIn:
    """The store of weights: one load at a time goes at full speed."""

    load_s: float = 0.3
    loads_per_s: float = 0.0
    faults: WeightStoreFaults = field(init=False)
    loads: int = 0
    failed: int = 0
    under_way: int = 0
    most_under_way: int = 0
    _next_s: float = 0.0

    def __post_init__(self) -> None:
        self.faults = WeightStoreFaults(0, self.load_s, self.loads_per_s)

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/weights/{name:path}", self._weights),
                Route("/faults", self._set_faults, methods=["POST"]),
                Route("/calls", self._calls),
            ]
        )

    async def _weights(self, request: Request) -> Response:
        self.loads += 1
        await self._await_turn()
        fails = self.faults.fail_next > 0
        self.faults.fail_next -= fails
        self.failed += fails
        headers = {SIZE_HEADER: str(WEIGHT_BYTES)}
        return StreamingResponse(self._send(fails), headers=headers)

    async def _await_turn(self) -> None:
        if self.faults.loads_per_s <= 0:
            return
        now_s = time.monotonic()
        turn_s = max(self._next_s, now_s)
        self._next_s = turn_s + 1 / self.faults.loads_per_s
        await anyio.sleep(turn_s - now_s)

    async def _send(self, fails: bool) -> AsyncIterator[bytes]:
        self.under_way += 1
        self.most_under_way = max(self.most_under_way, self.under_way)
        try:
            await self._pass(self.faults.load_s / 2)
            yield b"\0" * (WEIGHT_BYTES // 2)
            if fails:
                return
            await self._pass(self.faults.load_s / 2)
            yield b"\0" * (WEIGHT_BYTES - WEIGHT_BYTES // 2)
        finally:
            self.under_way -= 1

    async def _pass(self, left_s: float) -> None:
        while left_s > 0:
            began_s = time.monotonic()
            share = 1 / self.under_way
            await anyio.sleep(min(SLICE_S, left_s / share))
            # A sleep oversleeps: what passed counts, or each load takes longer.
            left_s -= (time.monotonic() - began_s) * share

    async def _set_faults(self, request: Request) -> Response:
        return await set_faults(self.faults, request)

    async def _calls(self, request: Request) -> Response:
        return JSONResponse(
            {
                "loads": self.loads,
                "failed": self.failed,
                "under_way": self.under_way,
                "most_under_way": self.most_under_way,
            }
        )
