"""Which calls of this daemon run where; owners are told, to spare what is in use."""

from collections import Counter, defaultdict, deque

import anyio

from knapweedbridge_core.serving import Endpoint, ModelRef
from knapweedbridge_core.serving.messages import CallsRunning
from knapweedbridge_daemon.serving.hub import Hub, Send

JOIN_S = 0.003
"""Pause in which changes share one message; an adapter is not unloaded within 50 ms
of its last use, so that word of a new call is in time."""

LINGER_S = 1.5
"""How long a call that was broken off still counts: such calls run 1 to 2 s, and an
engine that unloads an adapter in use takes no other order until the last has ended."""

LOOK_S = 0.25
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
        self._lingering: deque[tuple[float, str, ModelRef]] = deque()
        self._changed: set[str] = set()
        self._wake = anyio.Event()

    def begin(
        self, endpoint: Endpoint, model: ModelRef | None, prompt_tokens: int
    ) -> None:
        """Count a call that is about to be sent."""
        endpoint.own_calls += 1
        endpoint.own_unread_tokens += prompt_tokens
        if model is not None:
            self._calls[endpoint.name][str(model)] += 1
            self.tell(endpoint.name)

    def prompt_read(self, endpoint: Endpoint, prompt_tokens: int) -> None:
        """Take that a call's first event came, or will not come there."""
        endpoint.own_unread_tokens -= prompt_tokens
        self.tell(endpoint.name)

    def end(self, endpoint: Endpoint, model: ModelRef | None, whole: bool) -> None:
        """Count a call that has ended there.

        Parameters
        ----------
        whole : bool
            Whether the endpoint ended it. Some go on with a call whose connection was
            closed: until it is surely over its adapter must not be unloaded.
        """
        endpoint.own_calls -= 1
        if model is None:
            return
        if whole:
            self._forget(endpoint.name, model)
        else:
            due_s = anyio.current_time() + LINGER_S
            self._lingering.append((due_s, endpoint.name, model))

    def _forget(self, endpoint: str, model: ModelRef) -> None:
        self._calls[endpoint][str(model)] -= 1
        self.tell(endpoint)

    def _forget_lingering(self) -> None:
        now_s = anyio.current_time()
        while self._lingering and self._lingering[0][0] <= now_s:
            _, endpoint, model = self._lingering.popleft()
            self._forget(endpoint, model)

    def tell(self, endpoint: str) -> None:
        """Have the owner of an endpoint told of all calls there."""
        self._changed.add(endpoint)
        self._wake.set()

    async def run(self) -> None:
        """Tell the owners of changes until cancelled."""
        repeated_s = anyio.current_time()
        while True:
            with anyio.move_on_after(LOOK_S):
                await self._wake.wait()
            await anyio.sleep(JOIN_S)
            self._wake = anyio.Event()
            self._forget_lingering()
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
        endpoint = self._hub.beliefs.fleet.endpoints[name]
        if endpoint.owner:
            told = CallsRunning(name, dict(calls), endpoint.own_unread_tokens)
            await self._send(endpoint.owner, told)
