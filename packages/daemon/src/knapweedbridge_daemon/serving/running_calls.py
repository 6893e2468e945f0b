"""Which calls of this daemon run where; owners are told, to spare what is in use."""

import math
from collections import Counter, defaultdict, deque

import anyio

from knapweedbridge_core.serving import Endpoint, EndpointStart, ModelRef
from knapweedbridge_core.serving.messages import CallsReport
from knapweedbridge_daemon.serving.engine_observations import EngineObservations
from knapweedbridge_daemon.serving.hub import Hub, Send

BATCH_WINDOW_S = 0.003
"""Pause in which changes share one message; an adapter is not unloaded within 50 ms
of its last use, so that word of a new call is in time."""

LINGER_S = 1.5
"""How long a call that was broken off still counts: such calls run 1 to 2 s, and an
engine that unloads an adapter in use takes no other order until the last has ended."""

LARGE_POOL_BATCH_WINDOW_S = 0.05
"""The same in a large pool for what is less urgent, that a prompt was read or a call
ended: a prompt takes as long, so most of what an owner counts as unread still is."""

LOOK_S = 0.25
"""Longest pause between looks at what is due by time alone."""

LONG_PAUSE_S = 0.1
"""Pause of a stream that an engine's owner is told of at once: users accept 0.25 s."""

REPEAT_S = 1.0
"""Pause after which what was told is told again: an owner forgets what it has not
heard of for 2.5 s."""


class RunningCalls:
    """Counts this daemon's calls by endpoint and model.

    Parameters
    ----------
    hub : Hub
        Beliefs.
    send : callable
        Sends a message to a daemon.

    Attributes
    ----------
    observed : EngineObservations
        What responses showed of the speed of engines; owners are told with the calls.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._calls: dict[EndpointStart, Counter[str]] = defaultdict(Counter)
        self._lingering: deque[tuple[float, EndpointStart, ModelRef]] = deque()
        self._due_s: dict[EndpointStart, float] = {}
        self._told_s: dict[EndpointStart, float] = {}
        self._pauses_s: dict[EndpointStart, float] = {}
        self._sent_tokens: dict[EndpointStart, list[int]] = defaultdict(list)
        self.observed = EngineObservations()
        self._wake = anyio.Event()

    def begin(
        self, endpoint: Endpoint, model: ModelRef | None, prompt_tokens: int
    ) -> None:
        """Count a call that is about to be sent."""
        endpoint.own_calls += 1
        endpoint.own_unread_tokens += prompt_tokens
        if model is not None:
            self._calls[endpoint.start][str(model)] += 1
            self.tell(endpoint.start)

    def record_prompt_sent(self, start: EndpointStart, tokens: int) -> None:
        """Take that a prompt is sent without a turn: its owner paces by all of them."""
        self._sent_tokens[start].append(tokens)
        self.tell(start)

    def prompt_read(self, endpoint: Endpoint, prompt_tokens: int) -> None:
        """Take that a call's first event came, or will not come there."""
        endpoint.own_unread_tokens -= prompt_tokens
        self.tell(endpoint.start, soon=False)

    def record_pause(self, endpoint: Endpoint, pause_s: float) -> None:
        """Take the time between two events of a stream that runs there."""
        self.observed.record_gap(endpoint.start, pause_s)
        longest_s = self._pauses_s.get(endpoint.start, 0.0)
        if pause_s > longest_s:
            self._pauses_s[endpoint.start] = pause_s
            if pause_s > LONG_PAUSE_S:
                self.tell(endpoint.start, soon=False)

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
            self._forget(endpoint.start, model)
        else:
            due_s = anyio.current_time() + LINGER_S
            self._lingering.append((due_s, endpoint.start, model))

    def _forget(self, start: EndpointStart, model: ModelRef) -> None:
        self._calls[start][str(model)] -= 1
        self.tell(start, soon=False)

    def _forget_lingering(self) -> None:
        now_s = anyio.current_time()
        while self._lingering and self._lingering[0][0] <= now_s:
            _, start, model = self._lingering.popleft()
            self._forget(start, model)

    def tell(self, start: EndpointStart, soon: bool = True) -> None:
        """Have the owner of an endpoint told of all calls there.

        Parameters
        ----------
        soon : bool
            Whether it is told at once in a large pool too.
        """
        urgent = soon or self._hub.cluster.is_small_pool
        due_s = anyio.current_time() + (
            BATCH_WINDOW_S if urgent else LARGE_POOL_BATCH_WINDOW_S
        )
        if due_s < self._due_s.get(start, math.inf):
            self._due_s[start] = due_s
            self._wake.set()

    async def run(self) -> None:
        """Tell the owners of changes until cancelled."""
        while True:
            self._wake = anyio.Event()
            now_s = anyio.current_time()
            next_s = min([now_s + LOOK_S, *self._due_s.values()])
            with anyio.move_on_at(next_s):
                await self._wake.wait()
            self._forget_lingering()
            for start in self._due(anyio.current_time()):
                self._due_s.pop(start, None)
                await self._tell_owner(start)

    def _due(self, now_s: float) -> set[EndpointStart]:
        due = {start for start, due_s in self._due_s.items() if due_s <= now_s}
        return due | self._silent(now_s)

    def _silent(self, now_s: float) -> set[EndpointStart]:
        """Return where calls run that were not told of for long."""
        return {
            start
            for start, calls in self._calls.items()
            if calls and now_s - self._told_s.get(start, 0.0) >= REPEAT_S
        }

    async def _tell_owner(self, start: EndpointStart) -> None:
        calls = +self._calls[start]
        endpoint = self._hub.cluster.fleet.endpoints.get(start.endpoint)
        if endpoint is None or endpoint.start != start:
            # It is gone, or has started again: the calls of before ended with it.
            if not calls:
                del self._calls[start]
                self._told_s.pop(start, None)
                self._pauses_s.pop(start, None)
            self._sent_tokens.pop(start, None)
            self.observed.forget(start)
            return
        self._calls[start] = calls
        self._told_s[start] = anyio.current_time()
        if endpoint.owner:
            told = CallsReport(
                endpoint.name,
                dict(calls),
                endpoint.own_unread_tokens,
                start.started_ms,
                self._pauses_s.pop(start, 0.0),
                self._sent_tokens.pop(start, []),
                *self.observed.take(start),
            )
            await self._send(endpoint.owner, told)
            endpoint.record_reported_load(self._told_s[start])
