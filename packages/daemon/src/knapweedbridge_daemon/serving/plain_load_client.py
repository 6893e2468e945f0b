"""Requests the load of plain endpoints from the daemons that count it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import anyio

from knapweedbridge_core.serving import (
    Endpoint,
    EndpointStart,
    PlainState,
    make_tickets,
)
from knapweedbridge_core.serving.plain_messages import (
    PlainLoadRequest,
    PlainLoadResponse,
)
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.plain_load_server import load_coordinator
from knapweedbridge_daemon.serving.plain_version_probe import (
    NO_TICKET,
    VERSION_PROBE,
    PlainMessage,
)

NO_RESPONSE_PAUSE_S = 1.0
"""How long a coordinator that did not respond gets no requests. Within that time a
daemon that is gone is removed from the list, and another becomes the coordinator."""

STATE_MAX_AGE_S = 10.0
"""Age above which a known state of an endpoint is discarded."""


@dataclass(slots=True, eq=False)
class LoadQuery:
    """The load requests that one plain request awaits, by ticket, and the responses."""

    pending: dict[int, tuple[Endpoint, str]] = field(default_factory=dict)
    states: dict[str, PlainState] = field(default_factory=dict)
    done: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True, frozen=True)
class KnownState:
    """The last known state of an endpoint, and when it was received."""

    received_s: float
    state: PlainState


class PlainLoadClient:
    """Sends load requests to coordinators, and caches their responses.

    Parameters
    ----------
    hub : Hub
        The state of the cluster, which determines the coordinators.
    send : callable
        Sends a message to a daemon, which may be this one.
    calls : mapping of EndpointStart to int
        Requests of this daemon at each endpoint.
    """

    def __init__(
        self, hub: Hub, send: Send, calls: Mapping[EndpointStart, int]
    ) -> None:
        self._hub = hub
        self._send = send
        self._calls = calls
        self._tickets = make_tickets()
        self._queries: dict[int, LoadQuery] = {}
        self._known: dict[str, KnownState] = {}
        self._counting_incarnations: dict[str, int] = {}
        self._paused_until_s: dict[str, float] = {}

    def is_counting(self, daemon: str) -> bool:
        """Return whether a daemon is known to have a version that counts requests."""
        record = self._hub.cluster.daemons.get(daemon)
        known = self._counting_incarnations.get(daemon)
        return record is not None and known == record.incarnation

    def known(self) -> dict[str, PlainState]:
        """Return the recently received states, by endpoint."""
        oldest_s = anyio.current_time() - STATE_MAX_AGE_S
        for name, each in list(self._known.items()):
            if each.received_s < oldest_s:
                del self._known[name]
        return {name: each.state for name, each in self._known.items()}

    async def request_states(
        self, endpoints: list[Endpoint], until_s: float
    ) -> dict[str, PlainState]:
        """Request the states of endpoints; return those received until a moment."""
        query = LoadQuery()
        for endpoint in endpoints:
            coordinator = load_coordinator(self._hub, endpoint)
            if coordinator is not None and await self._may_request(coordinator):
                ticket = next(self._tickets)
                query.pending[ticket] = endpoint, coordinator
                self._queries[ticket] = query
        try:
            await self._request_and_wait(query, until_s)
        finally:
            for ticket in query.pending:
                self._queries.pop(ticket, None)
        return query.states

    async def _request_and_wait(self, query: LoadQuery, until_s: float) -> None:
        for ticket, (endpoint, coordinator) in list(query.pending.items()):
            start = endpoint.start
            calls = self._calls.get(start, 0)
            request = PlainLoadRequest(endpoint.name, start.started_ms, ticket, calls)
            await self._send(coordinator, request)
        if query.pending:
            with anyio.move_on_at(until_s):
                await query.done.wait()
        for endpoint, coordinator in query.pending.values():
            self._record_no_response(endpoint, coordinator)

    def _record_no_response(self, endpoint: Endpoint, coordinator: str) -> None:
        now_s = anyio.current_time()
        self._paused_until_s[coordinator] = now_s + NO_RESPONSE_PAUSE_S
        self._hub.metrics.count("plain_questions", "unanswered")
        self._hub.log.info(
            "plain.unanswered", endpoint=endpoint.name, daemon=coordinator
        )

    async def _may_request(self, coordinator: str) -> bool:
        now_s = anyio.current_time()
        if self._paused_until_s.get(coordinator, now_s) > now_s:
            return False
        if self.is_counting(coordinator):
            return True
        self._paused_until_s[coordinator] = now_s + NO_RESPONSE_PAUSE_S
        await self._send(coordinator, VERSION_PROBE)
        # If it is this daemon, it has responded already.
        return self.is_counting(coordinator)

    def handle_response(self, daemon: str, message: PlainMessage) -> bool:
        """Handle a response; return False if the message is none."""
        if not isinstance(message, PlainLoadResponse):
            return False
        record = self._hub.cluster.daemons.get(daemon)
        if message.ticket == NO_TICKET:
            if record is not None:
                self._remove_missing()
                self._counting_incarnations[daemon] = record.incarnation
                self._paused_until_s.pop(daemon, None)
            return True
        query = self._queries.pop(message.ticket, None)
        if query is not None:
            self._record_response(query, message)
        return True

    def _remove_missing(self) -> None:
        for known in (self._counting_incarnations, self._paused_until_s):
            for name in known.keys() - self._hub.cluster.daemons.keys():
                del known[name]

    def _record_response(self, query: LoadQuery, message: PlainLoadResponse) -> None:
        endpoint, _ = query.pending.pop(message.ticket)
        calls = self._calls.get(endpoint.start, 0)
        running = message.others_calls + calls
        state = PlainState(running, message.work_s, message.typical_s)
        query.states[endpoint.name] = state
        self._known[endpoint.name] = KnownState(anyio.current_time(), state)
        self._hub.metrics.count("plain_questions", "answered")
        if not query.pending:
            query.done.set()
