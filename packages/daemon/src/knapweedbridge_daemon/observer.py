"""Turns the core's records into the time line, log lines, timers and gauges."""

import time
from collections.abc import Callable
from typing import Any

from knapweedbridge_core.timeline import Timeline
from knapweedbridge_daemon.gauges import GAUGE_PERIOD_S, GAUGES, Levels
from knapweedbridge_daemon.logs import Log, request_of
from knapweedbridge_daemon.metrics import Metrics


class Observer:
    """Takes every record of one daemon.

    Parameters
    ----------
    timeline : Timeline
        Ring of events.
    metrics : Metrics
        Where timers and gauges go.
    level : str
        Level of the log lines.
    """

    def __init__(self, timeline: Timeline, metrics: Metrics, level: str) -> None:
        self.timeline = timeline
        self.metrics = metrics
        self._log = Log(timeline.host, level)
        self._timers = Timers(metrics)
        self._answers: dict[str, bool] = {}
        self._gauged_s = -GAUGE_PERIOD_S

    def take(self, kind: str, fields: dict[str, Any]) -> None:
        """Take one event."""
        self.timeline.add(kind, fields, time.time_ns() // 1000)
        self._timers.take(kind, fields, time.monotonic())
        self._log.write(kind, fields)

    def note_platform(self, part: str, answers: bool) -> None:
        """Record when a part of the platform is lost or answers again."""
        if self._answers.get(part, True) != answers:
            kind = "platform.regained" if answers else "platform.lost"
            self.take(kind, {"part": part})
        self._answers[part] = answers

    def gauge(self, read_levels: Callable[[], Levels]) -> None:
        """Send the gauges if their period is over."""
        now_s = time.monotonic()
        if now_s - self._gauged_s < GAUGE_PERIOD_S:
            return
        self._gauged_s = now_s
        levels = read_levels()
        for name, read in GAUGES.items():
            self.metrics.gauge(name, read(levels))


class Timers:
    """Derives durations from pairs of events.

    Parameters
    ----------
    metrics : Metrics
        Where the durations go.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._requests: dict[str, dict[str, float]] = {}
        self._orders: dict[tuple[str, str, str], float] = {}

    def take(self, kind: str, fields: dict[str, Any], now_s: float) -> None:
        """Take one event at one time, in seconds of the monotonic clock."""
        family, _, step = kind.partition(".")
        if family in ("load", "evict") and step in ("ordered", "ended"):
            self._take_order(family, step, fields, now_s)
            return
        request_id = request_of(fields)
        if kind == "request.arrived":
            self._requests[request_id] = {kind: now_s}
        seen = self._requests.get(request_id)
        if seen is None:
            return
        seen.setdefault(kind, now_s)
        if kind == "request.finished":
            del self._requests[request_id]
            self._send(seen)

    def _send(self, seen: dict[str, float]) -> None:
        for name, (first, second) in REQUEST_TIMERS.items():
            if first in seen and second in seen:
                self._metrics.time(name, seen[second] - seen[first])

    def _take_order(
        self, family: str, step: str, fields: dict[str, Any], now_s: float
    ) -> None:
        place = (family, str(fields.get("endpoint")), str(fields.get("model")))
        if step == "ordered":
            self._orders[place] = now_s
        elif place in self._orders:
            name = ORDER_TIMERS[family]
            self._metrics.time(name, now_s - self._orders.pop(place))


REQUEST_TIMERS = {
    "request.duration": ("request.arrived", "request.finished"),
    "request.first_token": ("request.arrived", "attempt.first_token"),
    "request.dispatch_wait": ("request.arrived", "attempt.dispatched"),
}
"""Timers of a request, each from one event to another."""

ORDER_TIMERS = {"load": "order.load", "evict": "order.evict"}
"""Timers of an endpoint's orders, from the order to its end."""
