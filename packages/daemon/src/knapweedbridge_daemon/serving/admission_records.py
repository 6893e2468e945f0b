"""Logs and metrics of calls that engines cannot answer in time."""

from knapweedbridge_core.serving import (
    PendingRequest,
    Reject,
    TooLate,
    Verdict,
    Wait,
)
from knapweedbridge_daemon.serving.call import Call
from knapweedbridge_daemon.serving.hub import Hub

MAX_RANK = 9
"""Highest rank that has a counter of its own."""

MAX_LOGGED_AGE_S = 999.0


class AdmissionRecords:
    """Logs and counts the decisions on overdue calls.

    Parameters
    ----------
    hub : Hub
        The daemon's log and metrics.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub

    def record_verdict(
        self, call: Call, pending: PendingRequest, verdict: Verdict, now_s: float
    ) -> None:
        """Record a verdict by which a call waits or is refused.

        The refusals of `AdmitAll` are recorded by `record_too_late` alone.
        """
        if isinstance(verdict, Wait) and not call.waits_overdue:
            call.waits_overdue = True
            self._record(call, pending, "waits", now_s)
        elif isinstance(verdict, Reject) and verdict.is_overdue:
            self._record(call, pending, "refused", now_s, verdict.retry_after_s)

    def record_sent(self, call: Call, pending: PendingRequest, now_s: float) -> None:
        """Record that a call is sent that had waited or is overdue."""
        if call.overdue_rank is not None:
            self._record(call, pending, "sent_last", now_s)
        elif call.waits_overdue:
            self._record(call, pending, "sent_in_time", now_s)

    def _record(
        self,
        call: Call,
        pending: PendingRequest,
        decision: str,
        now_s: float,
        retry_after_s: float | None = None,
    ) -> None:
        rank = min(MAX_RANK, call.route.urgency)
        self._hub.metrics.count("overdue_calls", f"{decision}_{rank}")
        if retry_after_s is not None:
            retry_after_s = round(retry_after_s, 3)
        self._hub.log.info(
            "call.overdue",
            request=call.details.call_id,
            spent_s=round(pending.spent_s, 3),
            waited_s=round(pending.waited_s(now_s), 3),
            rank=call.route.urgency,
            queue=self._hub.overload.queued(),
            decision=decision,
            retry_after_s=retry_after_s,
        )

    def record_too_late(
        self,
        call: Call,
        choice: TooLate,
        patience_s: float,
        late_share: float,
        now_s: float,
    ) -> None:
        """Record that a call is refused because no engine would answer it in time."""
        best, model = choice.best, call.details.model
        held = best.held.get(model) if model else None
        self._hub.log.info(
            "call.too_late",
            request=call.details.call_id,
            model=str(model),
            over_s=round(choice.over_s, 3),
            load_s=round(choice.load_s, 3),
            prompt_tokens=call.details.prompt_tokens,
            patience_s=round(patience_s, 3),
            engine=best.name,
            held=held is not None,
            ready_in_s=round(max(0.0, held.ready_s - now_s), 3) if held else None,
            own_calls=best.own_calls,
            others_calls=best.others_calls,
            unread_tokens=best.unread_tokens,
            places_free=best.places_free,
            wants=best.wants,
            failing_share=round(best.failing_share(now_s), 3),
            heard_age_s=round(min(MAX_LOGGED_AGE_S, now_s - best.heard_s), 3),
            late_share=round(late_share, 3),
        )
