"""Reports the demand of this daemon's callers to the load order coordinator."""

from collections.abc import Iterable
from dataclasses import dataclass

from knapweedbridge_core import events, messages
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.forecast import ChangeAware
from knapweedbridge_core.load_side import load_order_coordinator
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.outcomes import NotRun, Reason
from knapweedbridge_core.request_side import RequestSide
from knapweedbridge_core.requests import LiveRequest

REQUEST_INTERVAL_S = 1.0
USE_REPORT_INTERVAL_S = 1.0
MAX_REPORTED_USES = 64
MAX_REPORTED_COUNTS = 256
MIN_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class _LoadRequest:
    """The last request for a load: when it was sent and for how many waiters."""

    at_s: float
    waiters: int


class DemandSide(Side):
    """Reports adapter uses and waiting requests to the load order coordinator.

    Parameters
    ----------
    context : Context
        State shared with the other sides.
    requests : RequestSide
        Holds the waiting requests.
    """

    def __init__(self, context: Context, requests: RequestSide) -> None:
        super().__init__(context)
        self._requests = requests
        self._requested: dict[AdapterVersion, _LoadRequest] = {}
        self._waiting_since_s: dict[str, float] = {}
        self._uses: dict[AdapterVersion, int] = {}
        self._forecast = ChangeAware()
        self._coordinator: str | None = None
        self._reported_s = float("-inf")

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.RequestArrived: self._request_arrived,
            events.AdapterMissed: self._adapter_missed,
            messages.LoadRefused: self._load_refused,
        }

    def _request_arrived(self, event: events.RequestArrived) -> None:
        model = event.request.model
        if model is not None:
            self._uses[model] = self._uses.get(model, 0) + 1

    def _adapter_missed(self, event: events.AdapterMissed) -> None:
        now_s = self._context.now_s
        self._waiting_since_s.setdefault(event.request.request_id, now_s)
        model = event.request.model
        if model is not None and model not in self._requested:
            self._requested[model] = _LoadRequest(now_s, 1)
            left_s = event.request.deadline_s - now_s
            self._request_load(messages.LoadWanted(model, 1, 0.0, left_s, left_s))

    def _tick(self, event: events.Tick) -> None:
        self._update_coordinator()
        waiting = self._waiting()
        for model, requests in waiting.items():
            if self._is_due(model, len(requests)):
                self._requested[model] = _LoadRequest(
                    self._context.now_s, len(requests)
                )
                self._request_load(self._build_request(model, requests))
        self._requested = {
            m: requested for m, requested in self._requested.items() if m in waiting
        }
        live = self._requests.live
        self._waiting_since_s = {
            key: at for key, at in self._waiting_since_s.items() if key in live
        }
        if self._context.now_s - self._reported_s >= USE_REPORT_INTERVAL_S:
            self._report_uses()

    def _waiting(self) -> dict[AdapterVersion, list[LiveRequest]]:
        waiting: dict[AdapterVersion, list[LiveRequest]] = {}
        for live in self._requests.live.values():
            model = live.request.model
            if model is not None and not live.endpoint:
                waiting.setdefault(model, []).append(live)
        return waiting

    def _is_due(self, model: AdapterVersion, waiters: int) -> bool:
        if self._context.holders(model):
            return False
        requested = self._requested.get(model)
        if requested is None or requested.waiters != waiters:
            return True
        return self._context.now_s - requested.at_s >= REQUEST_INTERVAL_S

    def _build_request(
        self, model: AdapterVersion, requests: Iterable[LiveRequest]
    ) -> messages.LoadWanted:
        now_s = self._context.now_s
        since = [
            self._waiting_since_s.get(live.request.request_id, now_s)
            for live in requests
        ]
        left = [live.request.deadline_s - now_s for live in requests]
        return messages.LoadWanted(
            model, len(since), now_s - min(since), min(left), max(left)
        )

    def _request_load(self, wanted: messages.LoadWanted) -> None:
        coordinator = load_order_coordinator(self._context)
        if coordinator is None:
            return
        self._context.record("load.wanted", model=str(wanted.model), to=coordinator)
        self._context.send(coordinator, wanted)

    def _update_coordinator(self) -> None:
        coordinator = load_order_coordinator(self._context)
        if coordinator is None or coordinator == self._coordinator:
            return
        # A new coordinator starts without counts: each daemon sends it its largest
        # counts and requests the loads it waits for again.
        self._coordinator = coordinator
        self._requested.clear()
        counts = self._forecast.summary(self._context.now_s, MAX_REPORTED_COUNTS)
        if counts:
            age_s = self._forecast.age_s(self._context.now_s)
            report = messages.CountsReport([list(pair) for pair in counts], age_s)
            self._context.send(coordinator, report)

    def _report_uses(self) -> None:
        self._reported_s = self._context.now_s
        if not self._uses or self._coordinator is None:
            return
        for model, count in self._uses.items():
            self._forecast.used(model, count, self._context.now_s)
        ranked = sorted(self._uses.items(), key=lambda use: (-use[1], use[0]))
        uses = [list(use) for use in ranked[:MAX_REPORTED_USES]]
        self._uses.clear()
        self._context.send(self._coordinator, messages.UsageReport(uses))

    def _load_refused(self, message: messages.LoadRefused) -> None:
        retry_after_s = max(MIN_RETRY_AFTER_S, message.retry_after_s)
        outcome = NotRun(Reason(message.reason), retry_after_s)
        for live in self._waiting().get(message.model, []):
            left_s = live.request.deadline_s - self._context.now_s
            if left_s < message.ready_in_s:
                self._requests.give_up(live.request.request_id, outcome)
