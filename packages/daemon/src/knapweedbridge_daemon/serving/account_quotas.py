"""Takes units of client accounts' quotas for calls."""

import random
from collections import defaultdict, deque
from dataclasses import dataclass, field

import anyio

from knapweedbridge_core.serving import ClientAccount, QuotaBalance, QuotaGrant
from knapweedbridge_core.serving.messages import QuotaRequest, QuotaResponse
from knapweedbridge_daemon.serving.dialects import Refusal
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.quota_parts import QuotaParts

ANSWER_S = 0.05
"""How long a keeper's answer is awaited, before another one is asked: ways take
milliseconds."""

TAKE_S = 0.5
"""How long a call waits for its units while a keeper is silent: after a restart of all
daemons those that are back first know nobody who could give them any."""

SILENT_AFTER_S = 0.3
"""When to come back after that: another daemon may reach a keeper."""

OVER_QUOTA_AFTER_S = (0.3, 1.2)
"""Added to the time after which units may be there: callers who return together would
find them used by the first."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A call that waits for units."""

    units: int
    done: anyio.Event = field(default_factory=anyio.Event)
    has_units: bool = False


@dataclass(slots=True)
class Purse:
    """One account's units here, the calls that wait, and the keeper that was asked."""

    held: QuotaBalance = field(default_factory=QuotaBalance)
    waiting: deque[Waiter] = field(default_factory=deque)
    asked: str = ""
    asked_s: float = 0.0


class AccountQuotas:
    """The quotas of client accounts, as far as this daemon has to do with them.

    Parameters
    ----------
    hub : Hub
        Beliefs.
    send : callable
        Sends a message to a daemon, this one too.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._purses: dict[str, Purse] = defaultdict(Purse)
        self.parts = QuotaParts(hub)

    async def take(
        self, account: ClientAccount | None, tokens: int | None
    ) -> Refusal | None:
        """Take a call's units; return its refusal where its account has too few."""
        if account is None or account.quota is None:
            return None
        units, now_s = account.quota.cost(tokens), anyio.current_time()
        purse = self._purses[account.name]
        purse.held.record_use(units, now_s)
        if purse.waiting or not purse.held.spend(units, now_s):
            return await self._wait_for(account.name, purse, units)
        if purse.held.held(now_s) < purse.held.ahead(now_s) / 2:
            await self._ask(account.name, purse)
        return None

    def give_back(self, account: ClientAccount | None, tokens: int | None) -> None:
        """Take back the units of a call that was not run."""
        if account is None or account.quota is None:
            return
        purse = self._purses.get(account.name)
        if purse is not None:
            purse.held.put(account.quota.cost(tokens), anyio.current_time())
            self._serve(purse)

    async def _wait_for(self, account: str, purse: Purse, units: int) -> Refusal | None:
        waiter = Waiter(units)
        purse.waiting.append(waiter)
        until_s = anyio.current_time() + TAKE_S
        try:
            while not waiter.done.is_set() and anyio.current_time() < until_s:
                await self._ask(account, purse)
                with anyio.move_on_after(ANSWER_S):
                    await waiter.done.wait()
        finally:
            if waiter in purse.waiting:
                purse.waiting.remove(waiter)
        return None if waiter.has_units else self._refusal(account, purse, units)

    def _refusal(self, account: str, purse: Purse, units: int) -> Refusal:
        has_silent_coordinator = purse.held.has_silent_coordinator(
            self.parts.coordinators(account)
        )
        wait_s = purse.held.wait_s(anyio.current_time())
        self._hub.metrics.count(
            "quota", "silent" if has_silent_coordinator else "refused"
        )
        self._hub.log.info(
            "quota.refused",
            account=account,
            units=units,
            unsure=has_silent_coordinator,
            wait_s=round(wait_s, 3),
        )
        if has_silent_coordinator:
            return Refusal(503, "quota_unknown", SILENT_AFTER_S)
        return Refusal(429, "over_quota", wait_s + random.uniform(*OVER_QUOTA_AFTER_S))

    async def _ask(self, account: str, purse: Purse) -> None:
        """Ask a keeper for what waits; refuse what waits where none has anything."""
        now_s = anyio.current_time()
        if purse.asked:
            if now_s - purse.asked_s < ANSWER_S:
                return
            purse.held.unanswered(purse.asked, now_s)
            self._hub.metrics.count("quota", "unanswered")
        able = self.parts.coordinators(account)
        keeper = purse.held.next_coordinator(able, now_s)
        purse.asked = keeper or ""
        if keeper is None:
            if not purse.held.has_silent_coordinator(able):
                self._refuse_waiting(purse)
            return
        purse.asked_s = now_s
        self._hub.metrics.count("quota", "asked")
        await self._send(keeper, self._question(account, purse, now_s))

    @staticmethod
    def _question(account: str, purse: Purse, now_s: float) -> QuotaRequest:
        held = purse.held.held(now_s)
        units = [waiter.units for waiter in purse.waiting]
        needed = max(0, units[0] - held) if units else 0
        ahead = purse.held.ahead(now_s) - (0 if units else held)
        return QuotaRequest(account, needed, sum(units[1:]), max(0, ahead))

    @staticmethod
    def _refuse_waiting(purse: Purse) -> None:
        for waiter in purse.waiting:
            waiter.done.set()
        purse.waiting.clear()

    def _serve(self, purse: Purse) -> None:
        now_s = anyio.current_time()
        while purse.waiting and purse.held.spend(purse.waiting[0].units, now_s):
            waiter = purse.waiting.popleft()
            waiter.has_units = True
            waiter.done.set()

    async def handle(self, daemon: str, message: QuotaRequest | QuotaResponse) -> None:
        """Take a daemon's question to a keeper, or a keeper's answer."""
        if isinstance(message, QuotaRequest):
            await self._asked(daemon, message)
        else:
            await self._given(daemon, message)

    async def _asked(self, daemon: str, message: QuotaRequest) -> None:
        given = self.parts.give(message)
        self._hub.metrics.count("quota", "given" if given.units else "not_given")
        answer = QuotaResponse(
            message.account, given.units, given.wait_s, given.is_known
        )
        await self._send(daemon, answer)

    async def _given(self, keeper: str, message: QuotaResponse) -> None:
        purse = self._purses.get(message.account)
        if purse is None:
            return
        now_s = anyio.current_time()
        if message.is_known:
            purse.held.answered(
                keeper, QuotaGrant(message.units, message.wait_s), now_s
            )
        else:
            purse.held.unanswered(keeper, now_s)
            self._hub.metrics.count("quota", "unknown")
        self._serve(purse)
        if purse.asked == keeper:
            purse.asked = ""
            if purse.waiting:
                await self._ask(message.account, purse)
