"""Chooses the endpoints of plain requests by what all daemons run there.

In a large pool one daemon of an endpoint's data centre counts what runs there. It is
chosen as those are that give the permits of limited endpoints, and each daemon asks it
before it sends a request, which counts from then on.
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

ANSWER_S = 0.03
"""How long a request waits in all for answers: they take 2 to 4 ms, and objectives of
plain requests begin at 0.15 s."""

MOST_ASKED = 4
"""Endpoints that are asked about for one request: a question and its answer take 0.6 ms
of processor time, and a request about 31 ms."""


class PlainRouter:
    """The requests at plain endpoints, as far as this daemon has to do with them.

    Parameters
    ----------
    hub : Hub
        Beliefs, which say who counts for which endpoint.
    send : callable
        Sends a message to a daemon, this one too.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._calls: Counter[EndpointStart] = Counter()
        self._asking = PlainLoadClient(hub, send, self._calls)
        self._counters = PlainLoadServer(hub, send)

    async def choose(
        self, ask: PlainAsk, endpoints: list[Endpoint], call_id: str = ""
    ) -> Endpoint | None:
        """Return the endpoint of a request, which counts there until `ended`.

        Own counts are used in a small pool, and where nobody answers.

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
                await self._leave(first)
        if chosen is not first:
            self._calls[chosen.start] += 1
            await self._tell(chosen)
        return chosen

    async def _choose(
        self,
        ask: PlainAsk,
        first: Endpoint,
        endpoints: list[Endpoint],
        call_id: str,
    ) -> Endpoint:
        now_s = anyio.current_time()
        until_s = now_s + ANSWER_S
        found = await self._asking.ask([first], until_s)
        if not found:
            self._hub.metrics.count("plain_choices", "own_counts")
            return first
        found[first.name] = self._without_new(found[first.name])
        states = {**self._asking.known(), **found}
        if is_clearly_best(ask, first, endpoints, states, anyio.current_time()):
            self._hub.metrics.count("plain_choices", "first")
            return first
        others = self._others(ask, first, endpoints)
        found |= await self._asking.ask(others, until_s)
        now_s = anyio.current_time()
        chosen = choose_counted(ask, [first, *others], found, now_s) or first
        self._hub.metrics.count(
            "plain_choices", "first" if chosen is first else "another"
        )
        if chosen is not first:
            self._note_moved(call_id, first, chosen, found)
        return chosen

    @staticmethod
    def _without_new(state: PlainState) -> PlainState:
        """Leave the request that is being placed out of an endpoint's count."""
        return PlainState(state.running - 1, state.work_s, state.typical_s)

    @staticmethod
    def _others(
        ask: PlainAsk, first: Endpoint, endpoints: list[Endpoint]
    ) -> list[Endpoint]:
        """Return the endpoints that are asked about besides the first one."""
        others = [
            each
            for each in endpoints
            if each is not first and each.name not in ask.tried
        ]
        # Not all of a large service. Always the same few of those that are alike would
        # be full while the rest is idle.
        random.shuffle(others)
        others.sort(key=lambda each: each.own_calls)
        return others[: MOST_ASKED - 1]

    def _note_moved(
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
        """Take that an attempt at a plain endpoint is over."""
        if self._calls[endpoint.start] <= 0:
            # It began while the pool was small.
            del self._calls[endpoint.start]
            return
        answered = int(end is AttemptEnd.ANSWERED)
        refused = int(end is AttemptEnd.NOT_RUN)
        await self._leave(endpoint, answered, refused)

    async def _leave(
        self, endpoint: Endpoint, ended: int = 0, refused: int = 0
    ) -> None:
        self._calls[endpoint.start] -= 1
        await self._tell(endpoint, ended, refused)
        if not self._calls[endpoint.start]:
            del self._calls[endpoint.start]

    async def _tell(self, endpoint: Endpoint, ended: int = 0, refused: int = 0) -> None:
        """Tell an endpoint's counting daemon of all requests of this daemon there."""
        keeper = load_coordinator(self._hub, endpoint)
        if keeper is None or not self._asking.understands(keeper):
            return
        start, calls = endpoint.start, self._calls[endpoint.start]
        told = PlainLoadReport(endpoint.name, start.started_ms, calls, ended, refused)
        await self._send(keeper, told)

    async def handle(self, daemon: str, message: PlainMessage) -> None:
        """Take a daemon's question or word, or an answer."""
        if self._asking.take(daemon, message):
            return
        await self._counters.handle(daemon, message)
