"""Schedules the prompts that daemons send to an engine owned by this daemon."""

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
    """Grants the turns of the prompts for one engine.

    Parameters
    ----------
    hub : Hub
        The configuration, and the measured speed of the engine.
    endpoint : Endpoint
        The engine.
    number : int
        The owner's fencing number.
    long_prompts : LongPrompts
        Counts the prompts that pause the engine's streams.
    send : callable
        Sends a message to a daemon.
    speed : EngineSpeed
        The engine's speed; in a slow period fewer tokens are granted.
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
        self._queued = anyio.Event()
        self._pacer = self._make_pacer()

    def _make_pacer(self) -> PromptPacer:
        service = self._endpoint.record.service
        gap_s = self._hub.longest_pause_s(service)
        if gap_s is None:
            return NoPacing()
        return WindowPacing(gap_s, self._hub.rates.token_s(service))

    async def enqueue(self, daemon: str, message: TurnRequest) -> None:
        """Queue a daemon's request, and respond at once."""
        now_s = anyio.current_time()
        self._pacer.ask(
            PromptTurn(daemon, message.ticket, message.tokens, message.urgency, now_s)
        )
        if not await self._grant_due(now_s, daemon):
            await self._send(daemon, OwnerAck(self._endpoint.name, self._number))
            self._queued.set()

    def sent(self, tokens: int) -> None:
        """Record a prompt sent without a turn; `record_pause` must be called next."""
        now_s = anyio.current_time()
        self._pacer.sent(tokens, now_s)
        self._long_prompts.note(tokens, now_s)

    def record_pause(self, pause_s: float) -> None:
        """Record the longest recent pause of the streams that run on the engine."""
        before = self._pacer.budget_tokens
        now_s = anyio.current_time()
        self._pacer.record_pause(pause_s, now_s)
        self._update_pace(now_s)
        after = self._pacer.budget_tokens
        if after != before:
            self._hub.log.info(
                "pacing.changed",
                engine=self._endpoint.name,
                pause_s=round(pause_s, 3),
                before_tokens=round(before),
                tokens=round(after),
            )

    async def run(self) -> None:
        """Until cancelled, grant the turns of waiting prompts."""
        while True:
            next_s = self._pacer.next_s(anyio.current_time())
            self._queued = anyio.Event()
            with anyio.move_on_at(math.inf if next_s is None else next_s):
                await self._queued.wait()
            await self._grant_due(anyio.current_time())

    def _update_pace(self, now_s: float) -> None:
        """Update the pace that is published to daemons."""
        if isinstance(self._pacer, WindowPacing):
            token_s = self._hub.rates.engine_token_s(self._endpoint)
            self._pacer.token_s = token_s * self._speed.slow_period_ratio(now_s)
            if not self._pacer.measured_scale:
                paced = self._hub.cluster.fleet.paced
                self._pacer.adopt_scales(paced.scales(self._endpoint, now_s))
            self._long_prompts.pace_scale = self._pacer.measured_scale
        self._long_prompts.pace_tokens = self._pacer.budget_tokens

    async def _grant_due(self, now_s: float, requester: str = "") -> bool:
        """Grant the turns that are due; return whether the requester got one."""
        self._update_pace(now_s)
        by_daemon: dict[str, list[int]] = {}
        for turn in self._pacer.due(now_s):
            self._long_prompts.note(turn.tokens, now_s)
            by_daemon.setdefault(turn.daemon, []).append(turn.ticket)
        for daemon, tickets in by_daemon.items():
            await self._send(daemon, TurnGrant(self._endpoint.name, tickets))
        return requester in by_daemon
