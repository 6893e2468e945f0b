"""Takes units of client accounts' quotas for calls.

The coordinators of the parts of a quota grant units in advance of calls.
"""

import random
from collections import defaultdict, deque
from dataclasses import dataclass, field

import anyio

from knapweedbridge_core.serving import (
    ClientAccount,
    QuotaBalance,
    QuotaGrant,
    QuotaPart,
)
from knapweedbridge_core.serving.messages import QuotaRequest, QuotaResponse
from knapweedbridge_daemon.serving.dialects import Refusal
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.quota_parts import QuotaParts

RESPONSE_TIMEOUT_S = 0.05
"""Timeout for the response of a coordinator, after which another one gets the request;
a message takes milliseconds."""

MAX_WAIT_S = 0.5
"""Longest wait of a call for its units while a coordinator does not respond. After a
restart of all daemons the first ones know no coordinator yet."""

NO_RESPONSE_RETRY_AFTER_S = 0.3
"""Retry-After of a call refused after that wait; another daemon may reach a
coordinator."""

RETRY_JITTER_S = (0.3, 1.2)
"""Bounds of the random delay added to the time until units may be available. Without it
callers would retry together, and only the first would get units."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A call that waits for units."""

    units: int
    done: anyio.Event = field(default_factory=anyio.Event)
    has_units: bool = False


@dataclass(slots=True)
class LocalQuota:
    """An account's units in this daemon, its waiting calls and its pending request."""

    balance: QuotaBalance = field(default_factory=QuotaBalance)
    waiting: deque[Waiter] = field(default_factory=deque)
    requested_from: str = ""
    requested_s: float = 0.0


class AccountQuotas:
    """Takes units for calls, and grants those of the parts assigned to this daemon.

    Parameters
    ----------
    hub : Hub
        The state of this daemon.
    send : callable
        Sends a message to a daemon, which may be this one.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._local_quotas: dict[str, LocalQuota] = defaultdict(LocalQuota)
        self.parts = QuotaParts(hub)

    async def take(
        self, account: ClientAccount | None, tokens: int | None
    ) -> Refusal | None:
        """Take a call's units; return a refusal if its account has too few."""
        if account is None or account.quota is None:
            return None
        units, now_s = account.quota.cost(tokens), anyio.current_time()
        local = self._local_quotas[account.name]
        part = self.parts.part(account.name)
        if part is not None and units - local.balance.held(now_s) > part.total_capacity:
            # No coordinator ever has as much, and waiting would delay other calls.
            return self._refuse_oversized(account.name, units, part)
        local.balance.record_use(units, now_s)
        if local.waiting or not local.balance.spend(units, now_s):
            return await self._wait_for(account.name, local, units)
        if local.balance.held(now_s) < local.balance.ahead(now_s) / 2:
            await self._request_units(account.name, local)
        return None

    def give_back(self, account: ClientAccount | None, tokens: int | None) -> None:
        """Return the units of a call that was not run."""
        if account is None or account.quota is None:
            return
        local = self._local_quotas.get(account.name)
        if local is not None:
            local.balance.put(account.quota.cost(tokens), anyio.current_time())
            self._release_waiting(local)

    async def _wait_for(
        self, account: str, local: LocalQuota, units: int
    ) -> Refusal | None:
        waiter = Waiter(units)
        local.waiting.append(waiter)
        until_s = anyio.current_time() + MAX_WAIT_S
        try:
            while not waiter.done.is_set() and anyio.current_time() < until_s:
                await self._request_units(account, local)
                with anyio.move_on_after(RESPONSE_TIMEOUT_S):
                    await waiter.done.wait()
        finally:
            if waiter in local.waiting:
                local.waiting.remove(waiter)
        return None if waiter.has_units else self._refusal(account, local, units)

    def _refuse_oversized(self, account: str, units: int, part: QuotaPart) -> Refusal:
        wait_s = part.total_capacity / part.rate_per_s / part.parts
        self._hub.metrics.count("quota", "oversized")
        self._hub.log.info(
            "quota.oversized",
            account=account,
            units=units,
            most=round(part.total_capacity),
        )
        return Refusal(429, "over_quota", wait_s + random.uniform(*RETRY_JITTER_S))

    def _refusal(self, account: str, local: LocalQuota, units: int) -> Refusal:
        has_silent_coordinator = local.balance.has_silent_coordinator(
            self.parts.coordinators(account)
        )
        wait_s = local.balance.wait_s(anyio.current_time())
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
            return Refusal(503, "quota_unknown", NO_RESPONSE_RETRY_AFTER_S)
        return Refusal(429, "over_quota", wait_s + random.uniform(*RETRY_JITTER_S))

    async def _request_units(self, account: str, local: LocalQuota) -> None:
        """Request units for the waiting calls; refuse them if nobody has any."""
        now_s = anyio.current_time()
        if local.requested_from:
            if now_s - local.requested_s < RESPONSE_TIMEOUT_S:
                return
            local.balance.unanswered(local.requested_from, now_s)
            self._hub.metrics.count("quota", "unanswered")
        candidates = self.parts.coordinators(account)
        coordinator = local.balance.next_coordinator(candidates, now_s)
        local.requested_from = coordinator or ""
        if coordinator is None:
            if not local.balance.has_silent_coordinator(candidates):
                self._refuse_waiting(local)
            return
        local.requested_s = now_s
        self._hub.metrics.count("quota", "asked")
        await self._send(coordinator, self._make_request(account, local, now_s))

    @staticmethod
    def _make_request(account: str, local: LocalQuota, now_s: float) -> QuotaRequest:
        held = local.balance.held(now_s)
        units = [waiter.units for waiter in local.waiting]
        needed = max(0, units[0] - held) if units else 0
        ahead = local.balance.ahead(now_s) - (0 if units else held)
        return QuotaRequest(account, needed, sum(units[1:]), max(0, ahead))

    @staticmethod
    def _refuse_waiting(local: LocalQuota) -> None:
        for waiter in local.waiting:
            waiter.done.set()
        local.waiting.clear()

    def _release_waiting(self, local: LocalQuota) -> None:
        now_s = anyio.current_time()
        while local.waiting and local.balance.spend(local.waiting[0].units, now_s):
            waiter = local.waiting.popleft()
            waiter.has_units = True
            waiter.done.set()

    async def handle(self, daemon: str, message: QuotaRequest | QuotaResponse) -> None:
        """Handle a request for units, or a coordinator's response."""
        if isinstance(message, QuotaRequest):
            await self._handle_request(daemon, message)
        else:
            await self._handle_response(daemon, message)

    async def _handle_request(self, daemon: str, message: QuotaRequest) -> None:
        grant = self.parts.grant(message)
        self._hub.metrics.count("quota", "given" if grant.units else "not_given")
        response = QuotaResponse(
            message.account, grant.units, grant.wait_s, grant.is_known
        )
        await self._send(daemon, response)

    async def _handle_response(self, coordinator: str, message: QuotaResponse) -> None:
        local = self._local_quotas.get(message.account)
        if local is None:
            return
        now_s = anyio.current_time()
        if message.is_known:
            local.balance.answered(
                coordinator, QuotaGrant(message.units, message.wait_s), now_s
            )
        else:
            local.balance.unanswered(coordinator, now_s)
            self._hub.metrics.count("quota", "unknown")
        self._release_waiting(local)
        if local.requested_from == coordinator:
            local.requested_from = ""
            if local.waiting:
                await self._request_units(message.account, local)
