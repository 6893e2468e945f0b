"""Routes the requests of this daemon's callers, requests grants and retries."""

from knapweedbridge_core import events, messages, rendezvous
from knapweedbridge_core.actions import Count, Dispatch, Finish, Resume
from knapweedbridge_core.admission_gate import AdmissionGate
from knapweedbridge_core.claimant_side import ClaimantSide
from knapweedbridge_core.claims import lacks_key, needs_claim
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.grant_returns import GrantReturns
from knapweedbridge_core.outcomes import (
    FinalOutcome,
    NotRun,
    Outcome,
    Reason,
    Recorded,
    Unknown,
)
from knapweedbridge_core.placement import Holder, make_placement
from knapweedbridge_core.requests import LiveRequest
from knapweedbridge_core.retries import (
    RETRY_AFTER_S,
    ResumeAttempt,
    Retry,
    RetryBudget,
    decide,
)
from knapweedbridge_core.suspects import Verdict
from knapweedbridge_core.times import GRANT_USE_TIMEOUT_S


class RequestSide(Side):
    """Handles the requests that callers sent to this daemon, until their outcomes."""

    def __init__(self, context: Context, claimant: ClaimantSide) -> None:
        super().__init__(context)
        self._claimant = claimant
        claimant.on_claimed = self._claim_granted
        claimant.on_refused = self._finish
        self.live: dict[str, LiveRequest] = {}
        self.budget = RetryBudget()
        self._returns = GrantReturns(context)
        self._gate = AdmissionGate(context)

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.RequestArrived: self._request_arrived,
            events.AttemptEnded: self._attempt_ended,
            events.AttemptCancelled: self._returns.handle_cancel_result,
            events.CallerDisconnected: self._caller_disconnected,
            events.EndpointProbed: self._endpoint_probed,
            messages.GrantGiven: self._grant_given,
            messages.GrantRefused: self._grant_refused,
            messages.EndpointUpdate: self._endpoint_updated,
        }

    def _tick(self, event: events.Tick) -> None:
        self._expire_requests()
        self._returns.retry_cancels()
        self._retry_waiting()
        self._start_waiting()

    def _endpoint_probed(self, event: events.EndpointProbed) -> None:
        self._retry_waiting()

    def _request_arrived(self, event: events.RequestArrived) -> None:
        request = event.request
        self.live[request.request_id] = LiveRequest(request)
        self.budget.earn(self._context.now_s)
        self._context.record(
            "request.arrived",
            request=request.request_id,
            caller=request.caller,
            model=str(request.model or ""),
            service=request.service,
        )
        if self._context.members.refusing:
            outcome = NotRun(Reason.DRAINING, RETRY_AFTER_S)
            self._finish(request.request_id, outcome)
            return
        if lacks_key(request):
            self._finish(request.request_id, NotRun(Reason.KEY_REQUIRED))
            return
        refusal = self._gate.admit(request)
        if refusal is not None:
            self._finish(request.request_id, refusal)
            # The waiting requests are checked as well. Under overload most arrivals are
            # refused, and an infeasible request would wait until one is admitted.
            self._start_waiting()
            return
        if request.model is None:
            self._claim_or_route(self.live[request.request_id])
            return
        self.live[request.request_id].queued = True
        self._start_waiting()

    def _running(self) -> int:
        return sum(bool(live.endpoint) for live in self.live.values())

    def _start_waiting(self) -> None:
        self._refuse_waiting()
        if self._fill_capacity():
            # The requests that started change the predictions for the others. Without a
            # second check, one that became infeasible would wait for the next event.
            self._refuse_waiting()

    def _refuse_waiting(self) -> None:
        for request, outcome in self._gate.refused_waiting():
            if request.request_id in self.live:
                self._finish(request.request_id, outcome)

    def _fill_capacity(self) -> bool:
        started = False
        while True:
            request = self._gate.pop(self._running())
            if request is None:
                return started
            started = True
            live = self.live.get(request.request_id)
            if live is not None:
                live.queued = False
                live.started_s = self._context.now_s
                self._claim_or_route(live)

    def _claim_or_route(self, live: LiveRequest) -> None:
        if needs_claim(live.request):
            live.claiming = True
            self._claimant.begin(live.request)
        else:
            self._route(live)

    def _claim_granted(self, request_id: str) -> None:
        live = self.live.get(request_id)
        if live is not None and live.claiming:
            live.claiming = False
            self._route(live)

    def _route(self, live: LiveRequest) -> None:
        verdict = self._context.suspects.judge(
            live.request.fingerprint, self._context.now_s
        )
        if verdict is Verdict.REFUSE:
            self._refuse_suspect(live)
            return
        if verdict is Verdict.HOLD:
            live.endpoint = ""
            return
        live.suspect = verdict is Verdict.ALONE
        if live.request.service:
            self._route_service(live)
        else:
            self._route_model(live)

    def _refuse_suspect(self, live: LiveRequest) -> None:
        wait_s = self._context.suspects.refused_for_s(
            live.request.fingerprint, self._context.now_s
        )
        outcome = NotRun(Reason.BLAMED, wait_s)
        self._finish(live.request.request_id, outcome)

    def _route_service(self, live: LiveRequest) -> None:
        names = [
            entry.name
            for entry in self._context.configuration.endpoints.values()
            if entry.service == live.request.service
            and entry.name not in self._context.leaving
        ]
        candidates = [name for name in names if name not in live.tried] or names
        candidates = self._context.leaving.prefer_reachable(candidates)
        name = rendezvous.choose(live.request.request_id, candidates)
        if name is None:
            outcome = NotRun(Reason.NO_ENDPOINT, RETRY_AFTER_S)
            self._finish(live.request.request_id, outcome)
            return
        live.start_attempt(name)
        self._dispatch(live)

    def _route_model(self, live: LiveRequest) -> None:
        model = live.request.model
        assert model is not None
        holders = self._context.holders(model)
        candidates = [name for name in holders if name not in live.tried] or holders
        candidates = self._context.leaving.prefer_reachable(candidates)
        if not candidates:
            live.endpoint = ""
            self._context.dispatch(events.AdapterMissed(live.request))
            return
        name = (
            self._choose_spread(live, candidates)
            if live.suspect
            else self._choose(candidates)
        )
        owner = self._context.view.endpoints[name].owner
        attempt_id = live.start_attempt(name, owner)
        live.asked_s = self._context.now_s
        self._context.record(
            "grant.asked", attempt=attempt_id, endpoint=name, model=str(model), to=owner
        )
        message = messages.GrantRequest(
            attempt_id, name, model, live.request.priority, live.suspect
        )
        self._context.send(owner, message)

    @staticmethod
    def _choose_spread(live: LiveRequest, candidates: list[str]) -> str:
        # An endpoint runs one suspect at a time, so spreading them over all endpoints
        # shortens their wait.
        key = f"{live.request.request_id}.{live.attempts}"
        return rendezvous.choose(key, candidates) or candidates[0]

    def _choose(self, holders: list[str]) -> str:
        endpoints = self._context.configuration.endpoints
        view = self._context.view.endpoints
        placement = make_placement(self._context.configuration.placement.weigh)
        chosen = placement.choose(
            [
                Holder(name, view[name].running, endpoints[name].batch)
                for name in holders
            ]
        )
        # The owner's next update replaces this local correction.
        self._context.view.sent(chosen.endpoint)
        return chosen.endpoint

    def give_up(self, request_id: str, outcome: NotRun) -> None:
        """Finish a request that waits for its adapter with an outcome."""
        live = self.live.get(request_id)
        if live is not None and not live.endpoint:
            self._finish(request_id, outcome)

    def _retry_waiting(self) -> None:
        self._returns.expire_unanswered()
        for live in list(self.live.values()):
            self._drop_overdue_grant(live)
            if self._is_routable(live):
                self._route(live)

    def _drop_overdue_grant(self, live: LiveRequest) -> None:
        # The owner may have died before it responded. The grant is requested again
        # under a new attempt id, so that a late grant of the old one cannot be used.
        overdue = self._context.now_s - live.asked_s > GRANT_USE_TIMEOUT_S
        if live.endpoint and not live.dispatched and overdue:
            self._drop_grant(live)

    def _drop_grant(self, live: LiveRequest) -> None:
        self._returns.release_grant(live, False)
        live.endpoint = ""
        live.attempts_unused += 1

    def _dispatch(self, live: LiveRequest) -> None:
        entry = self._context.configuration.endpoints.get(live.endpoint)
        if entry is None:
            self._drop_grant(live)
            return
        live.dispatched = True
        request_id = live.request.request_id
        self._context.emit(
            Dispatch(request_id, live.attempt_id, entry.name, entry.address)
        )
        self._context.record(
            "attempt.dispatched",
            request=request_id,
            attempt=live.attempt_id,
            endpoint=entry.name,
            model=str(live.request.model or ""),
        )

    def _grant_given(self, message: messages.GrantGiven) -> None:
        live = self._awaiting_grant(message.attempt_id)
        late = self._returns.pop_unanswered(message.attempt_id)
        if live is not None and not self._is_usable(live, message):
            self._drop_grant(live)
        elif live is not None:
            self._dispatch(live)
        elif late is not None:
            late.give_back(self._context)

    def _is_usable(self, live: LiveRequest, message: messages.GrantGiven) -> bool:
        # If this daemon was suspended, or the owner was succeeded, the new owner may
        # not know of the grant, and the request would start on a slot about to be
        # evicted.
        in_time = self._context.now_s - live.asked_s <= GRANT_USE_TIMEOUT_S
        return in_time and self._context.fencing_numbers.is_current(
            message.endpoint, message.number
        )

    def _grant_refused(self, message: messages.GrantRefused) -> None:
        live = self._awaiting_grant(message.attempt_id)
        if live is not None:
            self._context.view.ended(live.endpoint)
            live.endpoint = ""
            live.attempts_unused += 1

    def _awaiting_grant(self, attempt_id: str) -> LiveRequest | None:
        live = self.live.get(attempt_id.rpartition(".")[0])
        if live is None or live.attempt_id != attempt_id or live.dispatched:
            return None
        # An attempt without an endpoint was abandoned. It keeps its id until the next
        # one starts, so a response to it is a late one.
        return live if live.endpoint else None

    def _attempt_ended(self, event: events.AttemptEnded) -> None:
        live = self.live.get(event.request_id)
        if live is None or live.attempt_id != event.attempt_id:
            return
        if not live.dispatched or not live.endpoint:
            return
        live.record_outcome(event.outcome)
        self._context.record(
            "attempt.ended",
            request=event.request_id,
            attempt=event.attempt_id,
            endpoint=live.endpoint,
            outcome=type(event.outcome).__name__,
        )
        result = events.AttemptResult(
            live.request, event.attempt_id, live.endpoint, event.outcome
        )
        self._context.dispatch(result)
        decision = decide(live, event.outcome, self.budget, self._context.now_s)
        if isinstance(decision, ResumeAttempt):
            self._resume(live)
            return
        self._returns.release_grant(live, isinstance(event.outcome, Unknown))
        if isinstance(decision, Retry):
            self._retry(live, decision.at_s)
        else:
            self._finish(event.request_id, decision.outcome)
        self._start_waiting()

    def _resume(self, live: LiveRequest) -> None:
        entry = self._context.configuration.endpoints.get(live.endpoint)
        if entry is None:
            self._returns.release_grant(live, True)
            outcome = Unknown(Reason.RESUME_FAILED, live.delivered)
            self._finish(live.request.request_id, outcome)
            return
        live.count_resume()
        request_id = live.request.request_id
        self._context.emit(Count("attempt.resumed"))
        self._context.record(
            "attempt.resumed",
            request=request_id,
            attempt=live.attempt_id,
            offset=live.delivered,
        )
        self._context.emit(
            Resume(
                request_id, live.attempt_id, entry.name, entry.address, live.delivered
            )
        )

    def _retry(self, live: LiveRequest, at_s: float) -> None:
        live.endpoint = ""
        live.retry_at_s = at_s
        self._context.emit(Count("request.retried"))
        if at_s <= self._context.now_s:
            self._route(live)

    def _caller_disconnected(self, event: events.CallerDisconnected) -> None:
        live = self.live.get(event.request_id)
        if live is not None:
            self._returns.release_grant(live, True)
            self._finish(event.request_id, Unknown(Reason.CANCELLED, live.delivered))

    def _expire_requests(self) -> None:
        for request_id, live in list(self.live.items()):
            if self._context.now_s < live.request.deadline_s:
                continue
            self._returns.release_grant(live, True)
            if live.dispatched and live.endpoint:
                outcome: Outcome = Unknown(Reason.DEADLINE, live.delivered)
            else:
                outcome = NotRun(Reason.DEADLINE, RETRY_AFTER_S)
            self._finish(request_id, outcome)

    def _finish(self, request_id: str, outcome: FinalOutcome) -> None:
        live = self.live.pop(request_id)
        self._gate.record_end(live.request, outcome, live.started_s)
        if not isinstance(outcome, Recorded):
            outcome = live.reconcile(outcome)
        self._claimant.end(request_id, outcome)
        self._context.emit(Finish(request_id, outcome))
        result = "complete"
        if isinstance(outcome, (NotRun, Unknown)):
            result = str(outcome.reason)
        self._context.emit(Count(f"request.{result}"))
        self._context.record(
            "request.finished",
            request=request_id,
            outcome=type(outcome).__name__,
            reason=result,
        )

    def _endpoint_updated(self, message: messages.EndpointUpdate) -> None:
        self._context.view.apply_update(message)
        loaded = set(message.loaded)
        for live in list(self.live.values()):
            if self._is_routable(live) and live.request.model in loaded:
                self._route(live)

    def _is_routable(self, live: LiveRequest) -> bool:
        is_due = self._context.now_s >= live.retry_at_s
        waits = live.claiming or live.queued
        return not live.endpoint and not waits and is_due
