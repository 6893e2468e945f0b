"""Which calls of this daemon run where; owners are told, to spare what is in use."""

from collections import Counter, defaultdict

import anyio

from knapweedbridge_core.serving import Endpoint, ModelRef
from knapweedbridge_core.serving.messages import CallsRunning
from knapweedbridge_daemon.serving.hub import Hub, Send

JOIN_S = 0.003
"""Pause in which changes share one message; an adapter is not unloaded within 50 ms
of its last use, so that word of a new call is in time."""

REPEAT_S = 1.0
"""Pause between repeats: an owner forgets what it has not heard of for 2.5 s."""


class RunningCalls:
    """Counts this daemon's calls by endpoint and model.

    Parameters
    ----------
    hub : Hub
        Beliefs.
    send : callable
        Sends a message to a daemon.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._calls: dict[str, Counter[str]] = defaultdict(Counter)
        self._changed: set[str] = set()
        self._wake = anyio.Event()

    def begin(self, endpoint: Endpoint, model: ModelRef | None) -> None:
        """Count a call that is about to be sent."""
        endpoint.own_calls += 1
        if model is not None:
            self._calls[endpoint.name][str(model)] += 1
            self.tell(endpoint.name)

    def end(self, endpoint: Endpoint, model: ModelRef | None) -> None:
        """Count a call that has ended there."""
        endpoint.own_calls -= 1
        if model is not None:
            self._calls[endpoint.name][str(model)] -= 1
            self.tell(endpoint.name)

    def tell(self, endpoint: str) -> None:
        """Have the owner of an endpoint told of all calls there."""
        self._changed.add(endpoint)
        self._wake.set()

    async def run(self) -> None:
        """Tell the owners of changes until cancelled."""
        repeated_s = anyio.current_time()
        while True:
            with anyio.move_on_after(REPEAT_S):
                await self._wake.wait()
            await anyio.sleep(JOIN_S)
            self._wake = anyio.Event()
            if anyio.current_time() - repeated_s >= REPEAT_S:
                repeated_s = anyio.current_time()
                self._changed.update(
                    name for name, calls in self._calls.items() if calls
                )
            changed, self._changed = self._changed, set()
            for name in changed:
                await self._tell_owner(name)

    async def _tell_owner(self, name: str) -> None:
        calls = +self._calls[name]
        if name not in self._hub.beliefs.fleet.endpoints:
            if not calls:
                del self._calls[name]
            return
        self._calls[name] = calls
        owner = self._hub.beliefs.fleet.endpoints[name].owner
        if owner:
            await self._send(owner, CallsRunning(name, dict(calls)))
