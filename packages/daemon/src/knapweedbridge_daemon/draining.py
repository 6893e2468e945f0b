"""How a daemon ends: it says so, finishes what it took, hands over, and ends.

1. A first signal, or an operator's order: `/health` answers 503 and each answer
   closes its connection, while requests are still served for the grace, so that
   the balancer learns of it.
2. After the grace the listeners and the idle connections are closed, and what is
   in flight is finished.
3. The endpoints that it owns are handed over, and it ends.

A second signal, or the end of the drain timeout, cuts what is left and says what.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from starlette.types import Message, Receive, Scope, Send

from knapweedbridge_core import events
from knapweedbridge_core.outcomes import NotRun, Reason, Unknown
from knapweedbridge_daemon.answers import send_error, send_json
from knapweedbridge_daemon.driver import Driver
from knapweedbridge_daemon.open_calls import OpenCalls

HEALTH_PATH = "/health"
CLOSE_HEADER = (b"connection", b"close")
HAND_OVER_S = 8.0
POLL_S = 0.1
NAMED_REQUESTS = 20
STARTING_S = 1.0


@dataclass(slots=True, frozen=True)
class DrainBounds:
    """Bounds of a drain; each is a setting of ``[requests]``.

    Parameters
    ----------
    grace_s : float
        How long new requests are still served after the first signal.
    timeout_s : float
        Longest wait for the streams in flight, after the grace.
    """

    grace_s: float = 5.0
    timeout_s: float = 600.0


class Drain:
    """One daemon's way to its end.

    Parameters
    ----------
    driver : Driver
        The task that owns the core.
    bounds : DrainBounds
        Its bounds.
    """

    def __init__(self, driver: Driver, bounds: DrainBounds) -> None:
        self._driver = driver
        self._bounds = bounds
        self._grace_s = bounds.grace_s
        self._began = anyio.Event()
        self._cut = anyio.Event()
        self._calls: list[OpenCalls] = []
        self.closed = anyio.Event()
        self.cut_requests = 0

    @property
    def draining(self) -> bool:
        """Whether the daemon is about to end."""
        return self._began.is_set()

    @property
    def is_cut(self) -> bool:
        """Whether what was in flight was cut."""
        return self._cut.is_set()

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force."""
        return self._driver.bridge.configuration.generation > 0

    def face(self, app: Callable) -> "DrainingFace":
        """Wrap the callers' face."""
        face = DrainingFace(app, self)
        self._calls.append(face.calls)
        return face

    def end(self) -> None:
        """Begin to drain, without the grace that a balancer needs."""
        self._grace_s = 0.0
        self._began.set()

    def signal(self) -> None:
        """Begin to drain; the second time, end at once."""
        if self._began.is_set():
            self._cut.set()
        self._began.set()

    async def run(self) -> None:
        """Wait for the first signal and close the faces in order."""
        await self._began.wait()
        await self._driver.submit(events.DrainStarted())
        with anyio.move_on_after(self._grace_s):
            await self._cut.wait()
        await self._driver.submit(events.DrainGraceEnded())
        self.closed.set()
        with anyio.move_on_after(self._bounds.timeout_s):
            await self._cut.wait()
        self._cut.set()
        self._cut_calls()

    def _cut_calls(self) -> None:
        named = self._driver.following_names(NAMED_REQUESTS)
        self.cut_requests = sum(calls.cut() for calls in self._calls)
        self._driver.record(
            "daemon.cut", cut=self.cut_requests, requests=" ".join(named)
        )

    async def hand_over(self) -> None:
        """Wait until other daemons own what this one owned, within a bound."""
        # Without the key-value service nothing can be handed over: the lease
        # then lapses by itself, so waiting longer would help nobody.
        with anyio.move_on_after(HAND_OVER_S):
            while self._driver.bridge.ledgers and not self.is_cut:
                await anyio.sleep(POLL_S)


class DrainingFace:
    """ASGI wrapper: answers `/health`, and closes connections while draining."""

    def __init__(self, app: Callable, drain: Drain) -> None:
        self.calls = OpenCalls(app)
        self._drain = drain

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        if scope["type"] != "http":
            await self.calls(scope, receive, send)
            return
        answer = _ClosingAnswer(send, self._drain)
        if scope["path"] == HEALTH_PATH:
            await self._health(answer)
            return
        if not self._drain.configured:
            # No key is known yet: a caller of good standing would be told that
            # its key is not.
            await send_error(answer, NotRun(Reason.NO_ENDPOINT, STARTING_S))
            return
        await self.calls(scope, receive, answer)
        if self._drain.is_cut and not answer.started:
            await send_error(answer, Unknown(Reason.DRAINING))

    async def _health(self, answer: "_ClosingAnswer") -> None:
        if self._drain.draining:
            await send_json(answer, 503, {"state": "draining"})
        elif not self._drain.configured:
            await send_json(answer, 503, {"state": "starting"})
        else:
            await send_json(answer, 200, {"state": "serving"})


class _ClosingAnswer:
    """Adds ``Connection: close`` to answers that begin while draining."""

    def __init__(self, send: Send, drain: Drain) -> None:
        self._send = send
        self._drain = drain
        self.started = False

    async def __call__(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self.started = True
            if self._drain.draining:
                headers = [*message["headers"], CLOSE_HEADER]
                message = {**message, "headers": headers}
        await self._send(message)
