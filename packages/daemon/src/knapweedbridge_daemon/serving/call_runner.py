"""Runs one call to its end: places it, sends it and retries it where allowed."""

import math

import anyio

from knapweedbridge_core.serving import AttemptEnd, may_retry
from knapweedbridge_daemon.serving.attempt_records import MARK_DIGITS
from knapweedbridge_daemon.serving.attempting import AttemptRunner
from knapweedbridge_daemon.serving.call import Call, Target
from knapweedbridge_daemon.serving.dialects import Refusal
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.peer_link import PeerLink
from knapweedbridge_daemon.serving.placing import BUSY_AFTER_S, CallPlacer
from knapweedbridge_daemon.serving.retry_reserver import RetryReserver
from knapweedbridge_daemon.serving.suspect_calls import SuspectCalls


class CallRunner:
    """Runs calls to their end.

    Parameters
    ----------
    hub : Hub
        The daemon's cluster state, dialects and metrics.
    link : PeerLink
        Connects to the other daemons.
    reserver : RetryReserver
        Grants retries.
    """

    def __init__(self, hub: Hub, link: PeerLink, reserver: RetryReserver) -> None:
        self._hub = hub
        self._link = link
        self._placer = CallPlacer(hub, link)
        self._attempts = AttemptRunner(hub, link)
        self._suspects = SuspectCalls(hub)
        self._reserver = reserver

    async def run(self, call: Call) -> str:
        """Run and answer a call; return its outcome for metrics and logs."""
        try:
            return await self._run(call)
        finally:
            self._drop_retry(call)

    async def _run(self, call: Call) -> str:
        if call.is_resumed:
            refusal = await self._link.resuming.resume(call)
            if refusal is not None:
                return await self._refuse(call, refusal)
        while True:
            refused_for_s = await self._suspects.admit(call)
            try:
                end = await self._attempt_once(call, refused_for_s)
            finally:
                self._suspects.release(call)
            if isinstance(end, Refusal):
                return await self._end_unplaced(call, end)
            if end is AttemptEnd.ANSWERED:
                # An endpoint may fail a request that it has not begun to run.
                self._link.crashes.record_answer(call)
                self._link.origins.record_end(call)
                return "answered"
            if end is AttemptEnd.WITHHELD:
                if not await self._renew_retry(call):
                    return await self._fail(call)
                continue
            if not await self._may_retry(call, end):
                return await self._fail(call)

    async def _attempt_once(
        self, call: Call, refused_for_s: float
    ) -> AttemptEnd | Refusal:
        """Make one attempt at a call, or return why it is not sent."""
        if refused_for_s:
            return self._make_blamed_refusal(call, refused_for_s)
        target = await self._placer.place(call)
        if isinstance(target, Refusal):
            return target
        refused_for_s = self._refused_for_s(call)
        if refused_for_s:
            return self._make_blamed_refusal(call, refused_for_s)
        return await self._attempt(call, target)

    def _make_blamed_refusal(self, call: Call, refused_for_s: float) -> Refusal:
        self._hub.log.info(
            "call.blamed",
            request=call.details.call_id,
            mark=call.mark[:MARK_DIGITS],
            parts=[part[:MARK_DIGITS] for part in call.parts],
            refused_for_s=round(refused_for_s, 1),
        )
        return Refusal(503, "blamed", refused_for_s)

    def _refused_for_s(self, call: Call) -> float:
        return self._hub.crashes.refused_for_s(
            call.mark, anyio.current_time(), call.parts
        )

    async def _attempt(self, call: Call, target: Target) -> AttemptEnd:
        end = AttemptEnd.ABANDONED
        try:
            end = await self._attempts.attempt(call, target)
        finally:
            if call.details.model is None:
                await self._link.plain.ended(target.endpoint, end)
        return end

    async def _may_retry(self, call: Call, end: AttemptEnd) -> bool:
        if not may_retry(call.route, call.progress, end):
            return False
        if self._refused_for_s(call):
            return False
        call.retried_after = end.value
        return await self._grant_retry(call)

    async def _renew_retry(self, call: Call) -> bool:
        """Return whether a call that was not sent may still be sent.

        The grant of a retry lapses while the call waits for an endpoint.
        """
        if call.retry is None or call.retry.is_valid(self._hub.steady_s()):
            return True
        self._drop_retry(call)
        return await self._grant_retry(call)

    def _drop_retry(self, call: Call) -> None:
        if call.retry is not None:
            self._hub.budget.give_back(call.retry, self._hub.steady_s())
            call.retry = None

    async def _grant_retry(self, call: Call) -> bool:
        """Return whether the retry budget allows a retry of the call."""
        hub = self._hub
        before = hub.budget.allowance(call.service, hub.steady_s())
        call.retry = await self._reserver.grant(call.service)
        is_granted = call.retry is not None
        hub.metrics.count("repeats", "granted" if is_granted else "denied")
        hub.log.info(
            "repeat.granted" if is_granted else "repeat.denied",
            request=call.details.call_id,
            service=call.service,
            after=call.retried_after,
            requests=before.requests,
            repeats=before.repeats,
            previous=before.previous if math.isfinite(before.previous) else None,
            reserved=call.retry.is_reserved if call.retry else None,
            allowed=round(before.allowed, 1),
            daemons=hub.budget.daemons,
            sent=hub.budget.total_sent(call.service),
            since_start_s=round(hub.steady_s() - (hub.budget.started_s or 0.0), 2),
        )
        return is_granted

    async def _fail(self, call: Call) -> str:
        if call.responder.begun:
            # The response must not look complete, so the connection is closed.
            return "cut"
        if call.failure is not None:
            await call.forward_response(call.failure)
            return "failed_by_endpoint"
        if not call.progress.may_have_run:
            return await self._refuse(call, Refusal(503, "not_run", BUSY_AFTER_S))
        return await self._refuse(call, Refusal(502, "broken"))

    async def _end_unplaced(self, call: Call, refusal: Refusal) -> str:
        if call.failure is not None and not call.responder.begun:
            # The endpoint's own response tells the caller more than a refusal would.
            await call.forward_response(call.failure)
            return "failed_by_endpoint"
        return await self._refuse(call, refusal)

    async def _refuse(self, call: Call, refusal: Refusal) -> str:
        if call.responder.begun:
            return "cut"
        if call.progress.may_have_run and refusal.status == 503:
            refusal = Refusal(502, refusal.reason)
        headers, body = self._hub.dialects.callers.refusal(refusal)
        await call.responder.answer(refusal.status, headers, body)
        return refusal.reason
