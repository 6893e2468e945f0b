"""What this daemon's callers ask for, told to the load order."""

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

WANT_AGAIN_S = 1.0
USE_REPORT_INTERVAL_S = 1.0
MOST_USES_TOLD = 64
MOST_COUNTS_TOLD = 256
SHORTEST_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class _Asked:
    at_s: float
    waiters: int


class DemandSide(Side):
    """Tells the load order what is used and what is waited for.

    Parameters
    ----------
    context : Context
        What it shares with the other sides.
    requests : RequestSide
        Owns the requests that wait.
    """

    def __init__(self, context: Context, requests: RequestSide) -> None:
        super().__init__(context)
        self._requests = requests
        self._asked: dict[AdapterVersion, _Asked] = {}
        self._since_s: dict[str, float] = {}
        self._uses: dict[AdapterVersion, int] = {}
        self._own = ChangeAware()
        self._orderer: str | None = None
        self._told_s = float("-inf")

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
        self._since_s.setdefault(event.request.request_id, now_s)
        model = event.request.model
        if model is not None and model not in self._asked:
            self._asked[model] = _Asked(now_s, 1)
            left_s = event.request.deadline_s - now_s
            self._want(messages.LoadWanted(model, 1, 0.0, left_s, left_s))

    def _tick(self, event: events.Tick) -> None:
        self._follow_orderer()
        waiting = self._waiting()
        for model, lives in waiting.items():
            if self._is_due(model, len(lives)):
                self._asked[model] = _Asked(self._context.now_s, len(lives))
                self._want(self._wanted(model, lives))
        self._asked = {m: asked for m, asked in self._asked.items() if m in waiting}
        live = self._requests.live
        self._since_s = {key: at for key, at in self._since_s.items() if key in live}
        if self._context.now_s - self._told_s >= USE_REPORT_INTERVAL_S:
            self._tell_uses()

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
        asked = self._asked.get(model)
        if asked is None or asked.waiters != waiters:
            return True
        return self._context.now_s - asked.at_s >= WANT_AGAIN_S

    def _wanted(
        self, model: AdapterVersion, lives: Iterable[LiveRequest]
    ) -> messages.LoadWanted:
        now_s = self._context.now_s
        since = [self._since_s.get(live.request.request_id, now_s) for live in lives]
        left = [live.request.deadline_s - now_s for live in lives]
        return messages.LoadWanted(
            model, len(since), now_s - min(since), min(left), max(left)
        )

    def _want(self, wanted: messages.LoadWanted) -> None:
        coordinator = load_order_coordinator(self._context)
        if coordinator is None:
            return
        self._context.record("load.wanted", model=str(wanted.model), to=coordinator)
        self._context.send(coordinator, wanted)

    def _follow_orderer(self) -> None:
        coordinator = load_order_coordinator(self._context)
        if coordinator is None or coordinator == self._orderer:
            return
        # The new load order starts with no counts: it learns each daemon's
        # largest, and the waiters at once.
        self._orderer = coordinator
        self._asked.clear()
        counts = self._own.summary(self._context.now_s, MOST_COUNTS_TOLD)
        if counts:
            age_s = self._own.age_s(self._context.now_s)
            told = messages.CountsReport([list(pair) for pair in counts], age_s)
            self._context.send(coordinator, told)

    def _tell_uses(self) -> None:
        self._told_s = self._context.now_s
        if not self._uses or self._orderer is None:
            return
        for model, count in self._uses.items():
            self._own.used(model, count, self._context.now_s)
        ranked = sorted(self._uses.items(), key=lambda use: (-use[1], use[0]))
        uses = [list(use) for use in ranked[:MOST_USES_TOLD]]
        self._uses.clear()
        self._context.send(self._orderer, messages.UsageReport(uses))

    def _load_refused(self, message: messages.LoadRefused) -> None:
        retry_after_s = max(SHORTEST_RETRY_AFTER_S, message.retry_after_s)
        outcome = NotRun(Reason(message.reason), retry_after_s)
        for live in self._waiting().get(message.model, []):
            left_s = live.request.deadline_s - self._context.now_s
            if left_s < message.ready_in_s:
                self._requests.give_up(live.request.request_id, outcome)
