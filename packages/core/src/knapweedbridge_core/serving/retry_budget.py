"""A bound on repeated sends that all daemons keep without talking to each other."""

from collections import defaultdict, deque
from dataclasses import dataclass, field

SHARE_USED = 0.85
"""Share of the allowance that daemons use; the rest covers that their windows and
the count of daemons are not the same everywhere."""

LISTED_S = 3.0
"""Time after a daemon's start in which those that started with it are listed."""


@dataclass(slots=True)
class ServiceWindow:
    """Requests and repeats of one service in the last window.

    Parameters
    ----------
    granted : int
        Repeats that were granted and not sent yet.
    """

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)
    granted: int = 0

    def trim(self, before_s: float) -> None:
        """Forget what is older than the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] < before_s:
                times.popleft()


@dataclass(slots=True, frozen=True)
class Allowance:
    """What one daemon may repeat at a service, and has repeated, in a window.

    Parameters
    ----------
    requests, repeats : int
        Callers' requests in the window, and the repeats that were sent or are to be.
    allowed : float
        Most repeats.
    """

    requests: int
    repeats: int
    allowed: float

    @property
    def has_room(self) -> bool:
        """Return whether one more repeat is allowed."""
        return self.repeats + 1 <= self.allowed


class RetryBudget:
    """Bounds repeats by a share of requests, plus this daemon's part of a slack.

    In an outage each request fails and is sent again; the endpoints that are left
    would get a multiple of the load and fail as well.

    Parameters
    ----------
    ratio : float
        Repeats allowed a request, over all daemons.
    slack : float
        Repeats allowed besides in one window, over all daemons.
    window_s : float
        Length of the window, in seconds.
    started_s : float or None
        When this daemon started; None: long ago.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        started_s: float | None = None,
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._services: dict[str, ServiceWindow] = defaultdict(ServiceWindow)
        self._daemons: deque[tuple[float, int]] = deque()
        self._started_s = started_s

    def record_daemons(self, daemons: int, now_s: float) -> None:
        """Record how many daemons are listed, this one among them.

        The most of a window share the slack: records go missing with their leases.
        """
        known = self._daemons
        while known and known[0][0] < now_s - self.window_s:
            known.popleft()
        while known and known[-1][1] <= daemons:
            known.pop()
        known.append((now_s, daemons))

    @property
    def daemons(self) -> int:
        """Daemons that share the slack."""
        return self._daemons[0][1] if self._daemons else 1

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request for a service."""
        self._window(service, now_s).requests.append(now_s)

    def spend(self, service: str, now_s: float) -> bool:
        """Take one repeat; False where the allowance is used up."""
        if not self.allowance(service, now_s).has_room:
            return False
        self._services[service].granted += 1
        return True

    def sent(self, service: str, now_s: float) -> None:
        """Record that a repeat which was granted is sent: from now on it counts."""
        window = self._window(service, now_s)
        window.granted -= 1
        window.repeats.append(now_s)

    def give_back(self, service: str) -> None:
        """Record that a repeat which was granted is not sent."""
        self._services[service].granted -= 1

    def allowance(self, service: str, now_s: float) -> Allowance:
        """Return what this daemon may repeat; see `spend`."""
        window = self._window(service, now_s)
        requests = len(window.requests)
        repeats = len(window.repeats) + window.granted
        slack = self._slack_known(now_s) * self.slack / max(1, self.daemons)
        allowed = SHARE_USED * (self.ratio * requests + slack)
        return Allowance(requests, repeats, allowed)

    def _slack_known(self, now_s: float) -> float:
        """Return the share of the slack that may be used while others start too."""
        if self._started_s is None:
            return 1.0
        return min(1.0, (now_s - self._started_s) / LISTED_S)

    def _window(self, service: str, now_s: float) -> ServiceWindow:
        window = self._services[service]
        window.trim(now_s - self.window_s)
        return window
