"""The life of one call: placed, sent, sent again where that is allowed, ended once."""

import anyio

from knapweedbridge_core.serving import AttemptEnd, may_retry
from knapweedbridge_daemon.serving.attempt_records import MARK_DIGITS
from knapweedbridge_daemon.serving.attempting import AttemptRunner
from knapweedbridge_daemon.serving.call import Call, Target
from knapweedbridge_daemon.serving.dialects import Refusal
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.peer_link import PeerLink
from knapweedbridge_daemon.serving.placing import BUSY_AFTER_S, CallPlacer
from knapweedbridge_daemon.serving.suspect_calls import SuspectCalls


class CallRunner:
    """Runs calls to their end.

    Parameters
    ----------
    hub : Hub
        Beliefs, dialects and measures.
    link : PeerLink
        To the owners of engines.
    """

    def __init__(self, hub: Hub, link: PeerLink) -> None:
        self._hub = hub
        self._link = link
        self._placing = CallPlacer(hub, link)
        self._attempting = AttemptRunner(hub, link)
        self._suspects = SuspectCalls(hub)

    async def run(self, call: Call) -> str:
        """Run a call, and answer it; return a word for how it ended."""
        try:
            return await self._run(call)
        finally:
            if call.holds_repeat:
                self._hub.budget.give_back(call.service)

    async def _run(self, call: Call) -> str:
        if call.is_resumed:
            refusal = await self._link.resuming.resume(call)
            if refusal is not None:
                return await self._give_up(call, refusal)
        while True:
            blamed_s = await self._suspects.admit(call)
            try:
                end = await self._try_once(call, blamed_s)
            finally:
                self._suspects.release(call)
            if isinstance(end, Refusal):
                return await self._unplaced(call, end)
            if end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED):
                self._link.crashes.answered(call)
            if end is AttemptEnd.ANSWERED:
                self._link.resuming.ended(call)
                return "answered"
            if end is AttemptEnd.WITHHELD:
                continue
            if not self._send_again(call, end):
                return await self._fail(call, end)

    async def _try_once(self, call: Call, blamed_s: float) -> AttemptEnd | Refusal:
        """Make one attempt of a call, or return why it is not sent."""
        if blamed_s:
            return self._refuse_blamed(call, blamed_s)
        target = await self._placing.place(call)
        if isinstance(target, Refusal):
            return target
        blamed_s = self._blamed_for_s(call)
        if blamed_s:
            return self._refuse_blamed(call, blamed_s)
        return await self._attempt(call, target)

    def _refuse_blamed(self, call: Call, blamed_s: float) -> Refusal:
        self._hub.log.info(
            "call.blamed",
            request=call.details.call_id,
            mark=call.mark[:MARK_DIGITS],
            parts=[part[:MARK_DIGITS] for part in call.parts],
            refused_for_s=round(blamed_s, 1),
        )
        return Refusal(503, "blamed", blamed_s)

    def _blamed_for_s(self, call: Call) -> float:
        return self._hub.crashes.refused_for_s(
            call.mark, anyio.current_time(), call.parts
        )

    async def _attempt(self, call: Call, target: Target) -> AttemptEnd:
        end = AttemptEnd.ABANDONED
        try:
            end = await self._attempting.attempt(call, target)
        finally:
            if call.details.model is None:
                await self._link.plain.ended(target.endpoint, end)
        return end

    def _send_again(self, call: Call, end: AttemptEnd) -> bool:
        if not may_retry(call.route, call.progress, end):
            return False
        now_s = anyio.current_time()
        if self._blamed_for_s(call):
            return False
        return self._spend_repeat(call, end, now_s)

    def _spend_repeat(self, call: Call, end: AttemptEnd, now_s: float) -> bool:
        """Return whether the retry budget has room for a call to be sent again."""
        hub = self._hub
        before = hub.budget.allowance(call.service, now_s)
        is_granted = hub.budget.spend(call.service, now_s)
        call.holds_repeat = is_granted
        hub.metrics.count("repeats", "granted" if is_granted else "denied")
        hub.log.info(
            "repeat.granted" if is_granted else "repeat.denied",
            request=call.details.call_id,
            service=call.service,
            after=end.value,
            requests=before.requests,
            repeats=before.repeats,
            allowed=round(before.allowed, 1),
            daemons=hub.budget.daemons,
        )
        return is_granted

    async def _fail(self, call: Call, end: AttemptEnd) -> str:
        if call.responder.begun:
            # The answer must not look complete: its connection is cut.
            return "cut"
        if call.failure is not None:
            await call.pass_on(call.failure)
            return "failed_by_endpoint"
        if not call.progress.may_have_run:
            return await self._give_up(call, Refusal(503, "not_run", BUSY_AFTER_S))
        return await self._give_up(call, Refusal(502, "broken"))

    async def _unplaced(self, call: Call, refusal: Refusal) -> str:
        if call.failure is not None and not call.responder.begun:
            # The endpoint's own answer tells the caller more than ours would.
            await call.pass_on(call.failure)
            return "failed_by_endpoint"
        return await self._give_up(call, refusal)

    async def _give_up(self, call: Call, refusal: Refusal) -> str:
        if call.responder.begun:
            return "cut"
        if call.progress.may_have_run and refusal.status == 503:
            refusal = Refusal(502, refusal.reason)
        headers, body = self._hub.dialects.callers.refusal(refusal)
        await call.responder.answer(refusal.status, headers, body)
        return refusal.reason
