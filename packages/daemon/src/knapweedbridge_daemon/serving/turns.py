"""Waits for the turns of this daemon's prompts, which the engines' owners give."""

import itertools
import math
from collections.abc import Callable, Iterable

import anyio

from knapweedbridge_core.serving import (
    Endpoint,
    EndpointStart,
    PromptTurn,
    WindowPacing,
)
from knapweedbridge_core.serving.messages import TurnGrant, TurnRequest
from knapweedbridge_core.serving.prompt_pacing import LONGEST_WAIT_S, passes_at_once
from knapweedbridge_daemon.serving.hub import Hub, Send

ANSWER_S = 0.03
"""How long an owner has to answer; it takes milliseconds, and one that is gone or
frozen must not keep prompts from its engine."""

OWN_MOST = 200
"""Engines without an owner whose prompts this daemon paces itself."""

TURN_S = LONGEST_WAIT_S + ANSWER_S
"""Longest wait for a turn, after which a prompt is sent without one."""


class Turns:
    """The turns that this daemon's prompts wait for.

    A turn steers load and protects nothing else: where no owner gives one, the prompt
    is sent all the same.

    Parameters
    ----------
    hub : Hub
        Beliefs.
    send : callable
        Sends a message to a daemon, this one too.
    record_prompt_sent : callable
        Has the engine's owner told of a prompt that is sent without a turn.
    """

    def __init__(
        self,
        hub: Hub,
        send: Send,
        record_prompt_sent: Callable[[EndpointStart, int], None],
    ) -> None:
        self._note_sent = record_prompt_sent
        self._hub = hub
        self._send = send
        self._tickets = itertools.count(1)
        self._waiting: dict[int, anyio.Event] = {}
        self._own: dict[str, WindowPacing] = {}

    async def take(self, endpoint: Endpoint, tokens: int, urgency: int) -> None:
        """Wait until a prompt may be sent, which counts as unread there already."""
        now_s = anyio.current_time()
        if not endpoint.owner or endpoint.has_silent_owner(now_s):
            await self._take_own(endpoint, tokens, urgency)
            return
        if passes_at_once(
            endpoint.unread_tokens - tokens, tokens, endpoint.pace_tokens
        ):
            self._note_sent(endpoint.start, tokens)
            return
        ticket = next(self._tickets)
        given = self._waiting[ticket] = anyio.Event()
        try:
            endpoint.record_owner_request(now_s)
            asked = TurnRequest(endpoint.name, ticket, tokens, urgency)
            await self._send(endpoint.owner, asked)
            with anyio.move_on_after(ANSWER_S):
                await given.wait()
            # An owner that has answered, if only that the turn comes later, is there.
            if not given.is_set() and endpoint.asked_s is None:
                with anyio.move_on_at(now_s + TURN_S):
                    await given.wait()
        finally:
            del self._waiting[ticket]

    async def _take_own(self, endpoint: Endpoint, tokens: int, urgency: int) -> None:
        """Wait for a turn that no owner gives, within this daemon's part of them all.

        After a restart of all daemons their callers come at once, before any engine
        has an owner: 19,000 tokens went to each within 0.25 s, and paused its streams.
        """
        pacer = self._own_pacer(endpoint)
        if pacer is None:
            return
        turn = PromptTurn(
            "", next(self._tickets), tokens, urgency, anyio.current_time()
        )
        pacer.ask(turn)
        given = self._waiting[turn.ticket] = anyio.Event()
        try:
            while not given.is_set():
                self._give(each.ticket for each in pacer.due(anyio.current_time()))
                next_s = pacer.next_s(anyio.current_time())
                with anyio.move_on_at(math.inf if next_s is None else next_s):
                    await given.wait()
        finally:
            del self._waiting[turn.ticket]

    def _own_pacer(self, endpoint: Endpoint) -> WindowPacing | None:
        service = endpoint.record.service
        gap_s = self._hub.longest_pause_s(service)
        if gap_s is None:
            return None
        token_s = self._hub.rates.token_s(service) * self._hub.daemons
        pacer = self._own.get(endpoint.name)
        if pacer is None:
            if len(self._own) >= OWN_MOST:
                self._own.clear()
            pacer = self._own[endpoint.name] = WindowPacing(gap_s, token_s)
        pacer.token_s = token_s
        return pacer

    def given(self, message: TurnGrant) -> None:
        """Take the turns that an owner gave."""
        endpoint = self._hub.cluster.fleet.endpoints.get(message.endpoint)
        if endpoint is not None:
            endpoint.asked_s = None
        self._give(message.tickets)

    def _give(self, tickets: Iterable[int]) -> None:
        for ticket in tickets:
            if ticket in self._waiting:
                self._waiting[ticket].set()
