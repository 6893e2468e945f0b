"""The callers' side: routes requests, asks for grants, retries."""

from knapweedbridge_core import events, messages, rendezvous
from knapweedbridge_core.actions import Count, Dispatch, Finish
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.outcomes import Complete, NotRun, Outcome, Reason, Unknown
from knapweedbridge_core.requests import LiveRequest, may_retry

WANT_AGAIN_S = 1.0
GRANT_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0


class RequestSide(Side):
    """Owns the requests that callers sent to this daemon."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.live: dict[str, LiveRequest] = {}
        self._wanted_at_s: dict[AdapterVersion, float] = {}

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.RequestArrived: self._request_arrived,
            events.AttemptEnded: self._attempt_ended,
            events.CallerLeft: self._caller_left,
            messages.GrantGiven: self._grant_given,
            messages.GrantRefused: self._grant_refused,
            messages.SlotsChanged: self._slots_changed,
        }

    def _tick(self, event: events.Tick) -> None:
        self._expire_requests()
        self._retry_waiting()

    def _request_arrived(self, event: events.RequestArrived) -> None:
        request = event.request
        self.live[request.request_id] = LiveRequest(request)
        self._context.record("request.arrived", request=request.request_id)
        if self._context.members.draining:
            outcome = NotRun(Reason.DRAINING, RETRY_AFTER_S)
            self._finish(request.request_id, outcome)
            return
        self._route(self.live[request.request_id])

    def _route(self, live: LiveRequest) -> None:
        if live.request.service:
            self._route_service(live)
        else:
            self._route_model(live)

    def _route_service(self, live: LiveRequest) -> None:
        names = [
            entry.name
            for entry in self._context.configuration.endpoints.values()
            if entry.service == live.request.service
            and entry.name not in self._context.leaving
            and entry.name not in live.tried
        ]
        name = rendezvous.choose(live.request.request_id, names)
        if name is None:
            outcome = NotRun(Reason.NO_ENDPOINT, RETRY_AFTER_S)
            self._finish(live.request.request_id, outcome)
            return
        live.next_attempt(name)
        self._dispatch(live)

    def _route_model(self, live: LiveRequest) -> None:
        model = live.request.model
        assert model is not None
        holders = [
            name
            for name in self._context.view.holders(model)
            if name not in self._context.leaving
            and name in self._context.configuration.endpoints
        ]
        fresh = [name for name in holders if name not in live.tried] or holders
        if not fresh:
            live.endpoint = ""
            self._want(model)
            return
        name = min(
            fresh, key=lambda held: (self._context.view.endpoints[held].running, held)
        )
        attempt_id = live.next_attempt(name)
        live.asked_s = self._context.now_s
        owner = self._context.view.endpoints[name].owner
        self._context.send(owner, messages.GrantAsk(attempt_id, name, model))

    def _want(self, model: AdapterVersion) -> None:
        last_s = self._wanted_at_s.get(model, -WANT_AGAIN_S)
        if self._context.now_s - last_s < WANT_AGAIN_S:
            return
        self._wanted_at_s[model] = self._context.now_s
        self._context.record("load.wanted", model=str(model))
        orderer = rendezvous.choose("load-order", self._context.members.available())
        if orderer is not None:
            self._context.send(orderer, messages.LoadWanted(model, 1, 0.0))

    def _retry_waiting(self) -> None:
        self._wanted_at_s = {
            model: at_s
            for model, at_s in self._wanted_at_s.items()
            if self._context.now_s - at_s < WANT_AGAIN_S
        }
        for live in list(self.live.values()):
            self._forget_lost_grant(live)
            if not live.endpoint:
                self._route(live)

    def _forget_lost_grant(self, live: LiveRequest) -> None:
        # The owner may have died with the question: ask again, under a new
        # attempt id, so that a late grant of the old one cannot be used.
        overdue = self._context.now_s - live.asked_s > GRANT_TIMEOUT_S
        if live.endpoint and not live.dispatched and overdue:
            self._return_grant(live)
            live.endpoint = ""
            live.attempts_unused += 1

    def _dispatch(self, live: LiveRequest) -> None:
        live.dispatched = True
        entry = self._context.configuration.endpoints[live.endpoint]
        request_id = live.request.request_id
        self._context.do(
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
        live = self._of_attempt(message.attempt_id)
        if live is not None:
            self._dispatch(live)

    def _grant_refused(self, message: messages.GrantRefused) -> None:
        live = self._of_attempt(message.attempt_id)
        if live is not None:
            live.endpoint = ""
            live.attempts_unused += 1

    def _of_attempt(self, attempt_id: str) -> LiveRequest | None:
        live = self.live.get(attempt_id.rpartition(".")[0])
        if live is None or live.attempt_id != attempt_id or live.dispatched:
            return None
        return live

    def _attempt_ended(self, event: events.AttemptEnded) -> None:
        live = self.live.get(event.request_id)
        if live is None or live.attempt_id != event.attempt_id:
            return
        self._return_grant(live)
        self._context.record(
            "attempt.ended",
            request=event.request_id,
            attempt=event.attempt_id,
            outcome=type(event.outcome).__name__,
        )
        if may_retry(live, event.outcome, self._context.now_s):
            live.endpoint = ""
            self._context.do(Count("request.retried"))
            self._route(live)
        else:
            self._finish(event.request_id, event.outcome)

    def _return_grant(self, live: LiveRequest) -> None:
        model = live.request.model
        view = self._context.view.endpoints.get(live.endpoint)
        if model is not None and view is not None and live.attempt_id:
            returned = messages.GrantReturned(live.attempt_id, live.endpoint, model)
            self._context.send(view.owner, returned)

    def _caller_left(self, event: events.CallerLeft) -> None:
        live = self.live.get(event.request_id)
        if live is not None:
            self._return_grant(live)
            self._finish(event.request_id, Unknown(Reason.CANCELLED))

    def _expire_requests(self) -> None:
        for request_id, live in list(self.live.items()):
            waiting = not live.dispatched
            if waiting and self._context.now_s >= live.request.deadline_s:
                self._return_grant(live)
                self._finish(request_id, NotRun(Reason.DEADLINE, RETRY_AFTER_S))

    def _finish(self, request_id: str, outcome: Outcome) -> None:
        del self.live[request_id]
        self._context.do(Finish(request_id, outcome))
        word = "complete" if isinstance(outcome, Complete) else str(outcome.reason)
        self._context.do(Count(f"request.{word}"))
        self._context.record(
            "request.finished",
            request=request_id,
            outcome=type(outcome).__name__,
            reason=word,
        )

    def _slots_changed(self, message: messages.SlotsChanged) -> None:
        self._context.view.changed(message)
        loaded = set(message.loaded)
        for live in list(self.live.values()):
            if not live.endpoint and live.request.model in loaded:
                self._route(live)
