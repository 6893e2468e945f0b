"""Lets daemons send prompts to one engine that this daemon owns."""

import math

import anyio

from knapweedbridge_core.serving import (
    Endpoint,
    EngineSpeed,
    NoPacing,
    PromptPacer,
    PromptTurn,
    WindowPacing,
)
from knapweedbridge_core.serving.messages import (
    OwnerAck,
    TurnGrant,
    TurnRequest,
)
from knapweedbridge_core.serving.prompt_pacing import LongPrompts
from knapweedbridge_daemon.serving.hub import Hub, Send


class TurnScheduler:
    """The task that gives the prompts for one engine their turns.

    Parameters
    ----------
    hub : Hub
        Configuration, and what is known of the engine's speed.
    endpoint : Endpoint
        The engine.
    number : int
        The owner's fencing number.
    long_prompts : LongPrompts
        Counts the prompts that pause the engine's streams.
    send : callable
        Sends a message to a daemon.
    speed : EngineSpeed
        The engine's speed: in a slow period fewer tokens pass.
    """

    def __init__(
        self,
        hub: Hub,
        endpoint: Endpoint,
        number: int,
        long_prompts: LongPrompts,
        send: Send,
        speed: EngineSpeed,
    ) -> None:
        self._speed = speed
        self._long_prompts = long_prompts
        self._hub = hub
        self._endpoint = endpoint
        self._number = number
        self._send = send
        self._asked = anyio.Event()
        self._pacer = self._make_pacer()

    def _make_pacer(self) -> PromptPacer:
        service = self._endpoint.record.service
        gap_s = self._hub.longest_pause_s(service)
        if gap_s is None:
            return NoPacing()
        return WindowPacing(gap_s, self._hub.rates.token_s(service))

    async def enqueue(self, daemon: str, message: TurnRequest) -> None:
        """Take a daemon's question, and answer it at once."""
        now_s = anyio.current_time()
        self._pacer.ask(
            PromptTurn(daemon, message.ticket, message.tokens, message.urgency, now_s)
        )
        if not await self._give(now_s, daemon):
            await self._send(daemon, OwnerAck(self._endpoint.name, self._number))
            self._asked.set()

    def sent(self, tokens: int) -> None:
        """Take a prompt that was sent without a turn; `record_pause` must follow."""
        now_s = anyio.current_time()
        self._pacer.sent(tokens, now_s)
        self._long_prompts.note(tokens, now_s)

    def record_pause(self, pause_s: float) -> None:
        """Take the longest pause of streams that ran on the engine just now."""
        before = self._pacer.budget_tokens
        now_s = anyio.current_time()
        self._pacer.record_pause(pause_s, now_s)
        self._show_pace(now_s)
        now = self._pacer.budget_tokens
        if now != before:
            self._hub.log.info(
                "pacing.changed",
                engine=self._endpoint.name,
                pause_s=round(pause_s, 3),
                before_tokens=round(before),
                tokens=round(now),
            )

    async def run(self) -> None:
        """Give the turns of those that wait until cancelled."""
        while True:
            next_s = self._pacer.next_s(anyio.current_time())
            self._asked = anyio.Event()
            with anyio.move_on_at(math.inf if next_s is None else next_s):
                await self._asked.wait()
            await self._give(anyio.current_time())

    def _show_pace(self, now_s: float) -> None:
        """Put what daemons are told of the pace up to date."""
        if isinstance(self._pacer, WindowPacing):
            token_s = self._hub.rates.engine_token_s(self._endpoint)
            self._pacer.token_s = token_s * self._speed.slow_period_ratio(now_s)
            if not self._pacer.measured_scale:
                paced = self._hub.cluster.fleet.paced
                self._pacer.heard(paced.scales(self._endpoint, now_s))
            self._long_prompts.pace_scale = self._pacer.measured_scale
        self._long_prompts.pace_tokens = self._pacer.budget_tokens

    async def _give(self, now_s: float, asker: str = "") -> bool:
        """Give the turns that are due; tell whether the asker got one."""
        self._show_pace(now_s)
        by_daemon: dict[str, list[int]] = {}
        for turn in self._pacer.due(now_s):
            self._long_prompts.note(turn.tokens, now_s)
            by_daemon.setdefault(turn.daemon, []).append(turn.ticket)
        for daemon, tickets in by_daemon.items():
            await self._send(daemon, TurnGrant(self._endpoint.name, tickets))
        return asker in by_daemon
