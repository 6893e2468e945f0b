"""Counts the requests of all daemons at a plain endpoint and estimates their duration.

In a large pool, each daemon has at most one request at an endpoint and so learns
nothing of the requests of others. One daemon per endpoint therefore counts for all.
"""

import math
from collections.abc import Container
from dataclasses import dataclass, field

RECENT_HALF_LIFE_S = 0.1
"""Half-life of the recent averages. Slow periods last about 0.6 s, so one is detected
while it lasts and forgotten soon after."""

TYPICAL_HALF_LIFE_S = 10.0
"""Half-life of the typical averages. Slow periods take 15% of the time in intervals of
0.6 s and change them little; an endpoint that stays slow changes them in seconds."""

TYPICAL_WEIGHT = 2.0
"""Weight of the typical duration against the recent one, in completed requests. Single
requests vary by more than a slow period changes them."""

MIN_ENDED = 5.0
"""Completed requests before which no typical duration is known."""

FULL_LIFETIME_S = 0.1
"""How long an endpoint counts as full after it rejected a request. At 90 ms a request
and six slots, a slot becomes free every 15 ms."""

REPORT_LIFETIME_S = 10.0
"""How long a daemon's report is used; a daemon that is cut off sends no more."""


@dataclass(slots=True, frozen=True)
class PlainState:
    """State of one plain endpoint.

    Parameters
    ----------
    running : int
        Requests of all daemons that run there.
    work_s : float
        Expected duration of a request that starts now; 0.0: unknown.
    typical_s : float
        Typical duration of requests there; 0.0: unknown.
    """

    running: int
    work_s: float = 0.0
    typical_s: float = 0.0


@dataclass(slots=True)
class _Duration:
    """Decaying sums of the time that requests ran, and of the requests that ended."""

    half_life_s: float
    spent_s: float = 0.0
    ended: float = 0.0

    def add(self, passed_s: float, running: int) -> None:
        decay = 0.5 ** (passed_s / self.half_life_s)
        self.spent_s = self.spent_s * decay + running * passed_s
        self.ended *= decay


@dataclass(slots=True, frozen=True)
class _Report:
    calls: int
    reported_s: float


@dataclass(slots=True)
class PlainCounter:
    """Counts the requests of all daemons at one endpoint, on one of the daemons.

    The time that requests run there, divided by the number that end, is the duration of
    one request. It also shows a slow period in which no request ends.

    Parameters
    ----------
    slots : int
        Requests that the endpoint runs concurrently.
    """

    slots: int
    _reports: dict[str, _Report] = field(default_factory=dict)
    _recent: _Duration = field(default_factory=lambda: _Duration(RECENT_HALF_LIFE_S))
    _typical: _Duration = field(default_factory=lambda: _Duration(TYPICAL_HALF_LIFE_S))
    _counted_s: float = -math.inf
    _refused_s: float = -math.inf

    def take(
        self, daemon: str, calls: int, now_s: float, ended: int = 0, refused: int = 0
    ) -> None:
        """Record a daemon's report, which replaces its previous one.

        Parameters
        ----------
        calls : int
            Requests of the daemon that run there.
        ended, refused : int
            Requests that were answered, and that the endpoint rejected, since its
            previous report.
        """
        self._count(now_s)
        for duration in (self._recent, self._typical):
            duration.ended += ended
        if refused:
            self._refused_s = now_s
        if calls > 0:
            self._reports[daemon] = _Report(calls, now_s)
        else:
            self._reports.pop(daemon, None)

    def _count(self, now_s: float) -> None:
        """Add the time that requests ran since the last count."""
        if self._counted_s > -math.inf:
            running = self._running_without("")
            for duration in (self._recent, self._typical):
                duration.add(now_s - self._counted_s, running)
        self._counted_s = now_s

    def _running_without(self, daemon: str) -> int:
        return sum(
            report.calls for name, report in self._reports.items() if name != daemon
        )

    def remove_missing(self, daemons: Container[str]) -> None:
        """Remove the reports of daemons that are no longer listed."""
        for name in list(self._reports):
            if name not in daemons:
                del self._reports[name]

    def _remove_expired(self, now_s: float) -> None:
        for name, report in list(self._reports.items()):
            if now_s - report.reported_s > REPORT_LIFETIME_S:
                del self._reports[name]

    def state(self, now_s: float, asker: str = "") -> PlainState:
        """Return the state of the endpoint.

        Parameters
        ----------
        asker : str
            Daemon whose own requests are left out, as it knows them best.
        """
        self._remove_expired(now_s)
        self._count(now_s)
        running = self._running_without(asker)
        if now_s - self._refused_s < FULL_LIFETIME_S:
            # Requests that were not counted also run there.
            running = max(running, self.slots)
        typical_s = self._typical_s
        return PlainState(running, self._work_s(typical_s), typical_s)

    @property
    def _typical_s(self) -> float:
        if self._typical.ended < MIN_ENDED:
            return 0.0
        return self._typical.spent_s / self._typical.ended

    def _work_s(self, typical_s: float) -> float:
        if not typical_s:
            return 0.0
        spent_s = self._recent.spent_s + TYPICAL_WEIGHT * typical_s
        return spent_s / (self._recent.ended + TYPICAL_WEIGHT)
