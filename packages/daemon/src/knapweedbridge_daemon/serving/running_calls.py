"""Counts the running calls, and reports them to the owners of engines.

Owners don't unload adapters that are in use.
"""

import math
from collections import Counter, defaultdict, deque

import anyio

from knapweedbridge_core.serving import Endpoint, EndpointStart, ModelRef
from knapweedbridge_core.serving.messages import CallsReport
from knapweedbridge_daemon.serving.engine_observations import EngineObservations
from knapweedbridge_daemon.serving.hub import Hub, Send

BATCH_WINDOW_S = 0.003
"""Time in which changes are batched into one report. An adapter is not unloaded within
50 ms of its last use, so that a new call is reported in time."""

LINGER_S = 1.5
"""How long a cancelled call still counts: such calls run on for 1 to 2 s, and an engine
that unloads an adapter in use takes no other order until the last call has ended."""

LARGE_POOL_BATCH_WINDOW_S = 0.05
"""The batch window in a large pool for what is less urgent: that a prompt was processed
or a call ended. A prompt takes about as long, so most tokens that an owner counts as
unread still are."""

POLL_INTERVAL_S = 0.25
"""Longest pause between checks for reports that are due by time alone."""

LONG_PAUSE_S = 0.1
"""Pause of a stream that is reported at once: users accept 0.25 s."""

REPORT_INTERVAL_S = 1.0
"""Pause after which a report is repeated: an owner drops calls that were not reported
for 2.5 s."""


class RunningCalls:
    """Counts this daemon's calls by endpoint and model.

    Parameters
    ----------
    hub : Hub
        The daemon's cluster state.
    send : callable
        Sends a message to a daemon.

    Attributes
    ----------
    observed : EngineObservations
        Observed speeds of engines, reported to their owners with the calls.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._calls: dict[EndpointStart, Counter[str]] = defaultdict(Counter)
        self._cancelled: deque[tuple[float, EndpointStart, ModelRef]] = deque()
        self._due_s: dict[EndpointStart, float] = {}
        self._reported_s: dict[EndpointStart, float] = {}
        self._longest_pauses_s: dict[EndpointStart, float] = {}
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
        """Record a prompt that is sent without a turn, for the pacing of the owner."""
        self._sent_tokens[start].append(tokens)
        self.tell(start)

    def record_prompt_read(self, endpoint: Endpoint, prompt_tokens: int) -> None:
        """Record that an engine has processed a prompt, or will not do so any more."""
        endpoint.own_unread_tokens -= prompt_tokens
        self.tell(endpoint.start, soon=False)

    def record_pause(self, endpoint: Endpoint, pause_s: float) -> None:
        """Record the time between two events of a stream at an endpoint."""
        self.observed.record_gap(endpoint.start, pause_s)
        longest_s = self._longest_pauses_s.get(endpoint.start, 0.0)
        if pause_s > longest_s:
            self._longest_pauses_s[endpoint.start] = pause_s
            if pause_s > LONG_PAUSE_S:
                self.tell(endpoint.start, soon=False)

    def end(
        self, endpoint: Endpoint, model: ModelRef | None, is_complete: bool
    ) -> None:
        """Count a call that has ended at an endpoint.

        Parameters
        ----------
        is_complete : bool
            Whether the endpoint ended the call. Some go on with a call whose connection
            was closed, and its adapter must not be unloaded until it is surely over.
        """
        endpoint.own_calls -= 1
        if model is None:
            return
        if is_complete:
            self._remove(endpoint.start, model)
        else:
            due_s = anyio.current_time() + LINGER_S
            self._cancelled.append((due_s, endpoint.start, model))

    def _remove(self, start: EndpointStart, model: ModelRef) -> None:
        self._calls[start][str(model)] -= 1
        self.tell(start, soon=False)

    def _remove_expired(self) -> None:
        now_s = anyio.current_time()
        while self._cancelled and self._cancelled[0][0] <= now_s:
            _, start, model = self._cancelled.popleft()
            self._remove(start, model)

    def tell(self, start: EndpointStart, soon: bool = True) -> None:
        """Schedule a report of all calls at an endpoint to its owner.

        Parameters
        ----------
        soon : bool
            Whether the report is urgent in a large pool too.
        """
        urgent = soon or self._hub.cluster.is_small_pool
        due_s = anyio.current_time() + (
            BATCH_WINDOW_S if urgent else LARGE_POOL_BATCH_WINDOW_S
        )
        if due_s < self._due_s.get(start, math.inf):
            self._due_s[start] = due_s
            self._wake.set()

    async def run(self) -> None:
        """Send reports to owners until cancelled."""
        while True:
            self._wake = anyio.Event()
            now_s = anyio.current_time()
            next_s = min([now_s + POLL_INTERVAL_S, *self._due_s.values()])
            with anyio.move_on_at(next_s):
                await self._wake.wait()
            self._remove_expired()
            for start in self._due(anyio.current_time()):
                self._due_s.pop(start, None)
                await self._report_to_owner(start)

    def _due(self, now_s: float) -> set[EndpointStart]:
        due = {start for start, due_s in self._due_s.items() if due_s <= now_s}
        return due | self._overdue(now_s)

    def _overdue(self, now_s: float) -> set[EndpointStart]:
        """Return the endpoints with calls whose last report is too old."""
        return {
            start
            for start, calls in self._calls.items()
            if calls and now_s - self._reported_s.get(start, 0.0) >= REPORT_INTERVAL_S
        }

    async def _report_to_owner(self, start: EndpointStart) -> None:
        calls = +self._calls[start]
        endpoint = self._hub.cluster.fleet.endpoints.get(start.endpoint)
        if endpoint is None or endpoint.start != start:
            # The endpoint is gone or was restarted, and its calls ended with it.
            if not calls:
                del self._calls[start]
                self._reported_s.pop(start, None)
                self._longest_pauses_s.pop(start, None)
            self._sent_tokens.pop(start, None)
            self.observed.forget(start)
            return
        self._calls[start] = calls
        self._reported_s[start] = anyio.current_time()
        if endpoint.owner:
            report = CallsReport(
                endpoint.name,
                dict(calls),
                endpoint.own_unread_tokens,
                start.started_ms,
                self._longest_pauses_s.pop(start, 0.0),
                self._sent_tokens.pop(start, []),
                *self.observed.take(start),
            )
            await self._send(endpoint.owner, report)
            endpoint.record_reported_load(self._reported_s[start])
