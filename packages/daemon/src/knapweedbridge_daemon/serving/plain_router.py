"""Routes plain requests to endpoints by the load of all daemons.

In a large pool one daemon of an endpoint's data centre, its coordinator, counts the
requests there. It is determined as for the permits of rate-limited endpoints. Each
daemon sends it a load request before it sends a plain request, which counts from then
on.
"""

import random
from collections import Counter

import anyio

from knapweedbridge_core.serving import (
    AttemptEnd,
    Endpoint,
    EndpointStart,
    PlainAsk,
    PlainState,
    choose_counted,
    choose_plain,
    is_clearly_best,
)
from knapweedbridge_core.serving.plain_messages import PlainLoadReport
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.plain_load_client import PlainLoadClient
from knapweedbridge_daemon.serving.plain_load_server import (
    PlainLoadServer,
    load_coordinator,
)
from knapweedbridge_daemon.serving.plain_version_probe import PlainMessage

LOAD_TIMEOUT_S = 0.03
"""Total time that a plain request waits for load responses: they take 2 to 4 ms, and
the lowest objectives of plain requests are 0.15 s."""

MAX_CANDIDATES = 4
"""Most endpoints whose load is requested for one plain request: a load request and its
response take 0.6 ms of processor time, and a plain request about 31 ms."""


class PlainRouter:
    """Chooses endpoints for plain requests, and reports this daemon's load there.

    Parameters
    ----------
    hub : Hub
        The state of the cluster, which determines the coordinators.
    send : callable
        Sends a message to a daemon, which may be this one.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._calls: Counter[EndpointStart] = Counter()
        self._client = PlainLoadClient(hub, send, self._calls)
        self._server = PlainLoadServer(hub, send)

    async def choose(
        self, ask: PlainAsk, endpoints: list[Endpoint], call_id: str = ""
    ) -> Endpoint | None:
        """Return the endpoint of a request, which counts there until `ended`.

        The counts of this daemon are used in a small pool and if nobody responds.

        Parameters
        ----------
        call_id : str
            Id of the request, for the log.
        """
        first = choose_plain(ask, endpoints, anyio.current_time())
        if first is None or self._hub.cluster.is_small_pool:
            return first
        self._calls[first.start] += 1
        chosen = None
        try:
            chosen = await self._choose(ask, first, endpoints, call_id)
        finally:
            if chosen is not first:
                await self._remove(first)
        if chosen is not first:
            self._calls[chosen.start] += 1
            await self._report(chosen)
        return chosen

    async def _choose(
        self,
        ask: PlainAsk,
        first: Endpoint,
        endpoints: list[Endpoint],
        call_id: str,
    ) -> Endpoint:
        now_s = anyio.current_time()
        until_s = now_s + LOAD_TIMEOUT_S
        found = await self._client.request_states([first], until_s)
        if not found:
            self._hub.metrics.count("plain_choices", "own_counts")
            return first
        found[first.name] = self._exclude_own_request(found[first.name])
        states = {**self._client.known(), **found}
        if is_clearly_best(ask, first, endpoints, states, anyio.current_time()):
            self._hub.metrics.count("plain_choices", "first")
            return first
        others = self._other_candidates(ask, first, endpoints)
        found |= await self._client.request_states(others, until_s)
        now_s = anyio.current_time()
        chosen = choose_counted(ask, [first, *others], found, now_s) or first
        self._hub.metrics.count(
            "plain_choices", "first" if chosen is first else "another"
        )
        if chosen is not first:
            self._log_rerouting(call_id, first, chosen, found)
        return chosen

    @staticmethod
    def _exclude_own_request(state: PlainState) -> PlainState:
        """Exclude the request that is being placed from an endpoint's count."""
        return PlainState(state.running - 1, state.work_s, state.typical_s)

    @staticmethod
    def _other_candidates(
        ask: PlainAsk, first: Endpoint, endpoints: list[Endpoint]
    ) -> list[Endpoint]:
        """Return the endpoints whose load is requested besides the first one."""
        others = [
            each
            for each in endpoints
            if each is not first and each.name not in ask.tried
        ]
        # Only some endpoints of a large service are candidates. If those with equal
        # counts were always in the same order, a few would be full and the others idle.
        random.shuffle(others)
        others.sort(key=lambda each: each.own_calls)
        return others[: MAX_CANDIDATES - 1]

    def _log_rerouting(
        self,
        call_id: str,
        first: Endpoint,
        chosen: Endpoint,
        found: dict[str, PlainState],
    ) -> None:
        self._hub.log.info(
            "plain.moved",
            request=call_id,
            endpoint=chosen.name,
            instead_of=first.name,
            known={
                name: [each.running, round(each.work_s, 4), round(each.typical_s, 4)]
                for name, each in found.items()
            },
        )

    async def ended(self, endpoint: Endpoint, end: AttemptEnd) -> None:
        """Record that an attempt at a plain endpoint has ended."""
        if self._calls[endpoint.start] <= 0:
            # The attempt began while the pool was small.
            del self._calls[endpoint.start]
            return
        answered = int(end is AttemptEnd.ANSWERED)
        refused = int(end is AttemptEnd.NOT_RUN)
        await self._remove(endpoint, answered, refused)

    async def _remove(
        self, endpoint: Endpoint, ended: int = 0, refused: int = 0
    ) -> None:
        self._calls[endpoint.start] -= 1
        await self._report(endpoint, ended, refused)
        if not self._calls[endpoint.start]:
            del self._calls[endpoint.start]

    async def _report(
        self, endpoint: Endpoint, ended: int = 0, refused: int = 0
    ) -> None:
        """Report all requests of this daemon at an endpoint to its coordinator."""
        coordinator = load_coordinator(self._hub, endpoint)
        if coordinator is None or not self._client.is_counting(coordinator):
            return
        start, calls = endpoint.start, self._calls[endpoint.start]
        report = PlainLoadReport(endpoint.name, start.started_ms, calls, ended, refused)
        await self._send(coordinator, report)

    async def handle(self, daemon: str, message: PlainMessage) -> None:
        """Handle a message about plain requests."""
        if self._client.handle_response(daemon, message):
            return
        await self._server.handle(daemon, message)
