"""Waits for the turns of this daemon's prompts, which the engines' owners grant."""

import math
from collections.abc import Callable, Iterable

import anyio

from knapweedbridge_core.serving import (
    Endpoint,
    EndpointStart,
    PromptTurn,
    WindowPacing,
    make_tickets,
)
from knapweedbridge_core.serving.messages import TurnGrant, TurnRequest
from knapweedbridge_core.serving.prompt_pacing import LONGEST_WAIT_S, passes_at_once
from knapweedbridge_daemon.serving.hub import Hub, Send

RESPONSE_TIMEOUT_S = 0.03
"""Timeout for the response of an owner, which takes milliseconds. An owner that is gone
or frozen must not keep prompts from its engine."""

MAX_OWN_PACERS = 200
"""Most engines without an owner whose prompts this daemon paces itself."""

TURN_TIMEOUT_S = LONGEST_WAIT_S + RESPONSE_TIMEOUT_S
"""Longest wait for a turn, after which a prompt is sent without one."""


class Turns:
    """The turns that this daemon's prompts wait for.

    A turn only paces the load of an engine: if no owner grants one, the prompt is sent
    without it.

    Parameters
    ----------
    hub : Hub
        The state of this daemon.
    send : callable
        Sends a message to a daemon, which may be this one.
    record_prompt_sent : callable
        Reports a prompt that is sent without a turn to the engine's owner.
    """

    def __init__(
        self,
        hub: Hub,
        send: Send,
        record_prompt_sent: Callable[[EndpointStart, int], None],
    ) -> None:
        self._record_prompt_sent = record_prompt_sent
        self._hub = hub
        self._send = send
        self._tickets = make_tickets()
        self._waiting: dict[int, anyio.Event] = {}
        self._own_pacers: dict[str, WindowPacing] = {}

    async def take(self, endpoint: Endpoint, tokens: int, urgency: int) -> None:
        """Wait until a prompt may be sent; `endpoint.unread_tokens` includes it."""
        now_s = anyio.current_time()
        if not endpoint.owner or endpoint.has_silent_owner(now_s):
            await self._wait_own_pace(endpoint, tokens, urgency)
            return
        if passes_at_once(
            endpoint.unread_tokens - tokens, tokens, endpoint.pace_tokens
        ):
            self._record_prompt_sent(endpoint.start, tokens)
            return
        ticket = next(self._tickets)
        granted = self._waiting[ticket] = anyio.Event()
        try:
            endpoint.record_owner_request(now_s)
            request = TurnRequest(endpoint.name, ticket, tokens, urgency)
            await self._send(endpoint.owner, request)
            with anyio.move_on_after(RESPONSE_TIMEOUT_S):
                await granted.wait()
            # An owner that has responded is running, even if the turn comes later.
            if not granted.is_set() and endpoint.asked_s is None:
                with anyio.move_on_at(now_s + TURN_TIMEOUT_S):
                    await granted.wait()
        finally:
            del self._waiting[ticket]

    async def _wait_own_pace(
        self, endpoint: Endpoint, tokens: int, urgency: int
    ) -> None:
        """Wait for a turn at an engine without an owner, within this daemon's share.

        After a restart of all daemons their callers send requests at once, before any
        engine has an owner: 19,000 tokens went to each engine within 0.25 s, and paused
        its streams.
        """
        pacer = self._own_pacer(endpoint)
        if pacer is None:
            return
        turn = PromptTurn(
            "", next(self._tickets), tokens, urgency, anyio.current_time()
        )
        pacer.ask(turn)
        granted = self._waiting[turn.ticket] = anyio.Event()
        try:
            while not granted.is_set():
                self._grant(each.ticket for each in pacer.due(anyio.current_time()))
                next_s = pacer.next_s(anyio.current_time())
                with anyio.move_on_at(math.inf if next_s is None else next_s):
                    await granted.wait()
        finally:
            del self._waiting[turn.ticket]

    def _own_pacer(self, endpoint: Endpoint) -> WindowPacing | None:
        service = endpoint.record.service
        gap_s = self._hub.longest_pause_s(service)
        if gap_s is None:
            return None
        token_s = self._hub.rates.token_s(service) * self._hub.daemons
        pacer = self._own_pacers.get(endpoint.name)
        if pacer is None:
            if len(self._own_pacers) >= MAX_OWN_PACERS:
                self._own_pacers.clear()
            pacer = self._own_pacers[endpoint.name] = WindowPacing(gap_s, token_s)
        pacer.token_s = token_s
        return pacer

    def record_grant(self, message: TurnGrant) -> None:
        """Handle the turns that an owner granted."""
        endpoint = self._hub.cluster.fleet.endpoints.get(message.endpoint)
        if endpoint is not None:
            endpoint.asked_s = None
        self._grant(message.tickets)

    def _grant(self, tickets: Iterable[int]) -> None:
        for ticket in tickets:
            if ticket in self._waiting:
                self._waiting[ticket].set()
