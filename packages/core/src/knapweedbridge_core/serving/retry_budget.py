"""A bound on repeated sends that all daemons keep without talking to each other."""

from collections import defaultdict, deque
from dataclasses import dataclass, field

SHARE_USED = 0.85
"""Share of the allowance that daemons use; the rest covers that their windows and
the count of daemons are not the same everywhere."""


@dataclass(slots=True)
class ServiceWindow:
    """Requests and repeats of one service in the last window."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

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
        Callers' requests in the window, and the repeats that were granted.
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
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._services: dict[str, ServiceWindow] = defaultdict(ServiceWindow)

    def note_request(self, service: str, now_s: float) -> None:
        """Count a caller's request for a service."""
        self._window(service, now_s).requests.append(now_s)

    def spend(self, service: str, daemons: int, now_s: float) -> bool:
        """Take one repeat; False where the allowance is used up.

        Parameters
        ----------
        daemons : int
            Daemons that share the slack, this one among them.
        """
        if not self.allowance(service, daemons, now_s).has_room:
            return False
        self._services[service].repeats.append(now_s)
        return True

    def allowance(self, service: str, daemons: int, now_s: float) -> Allowance:
        """Return what this daemon may repeat; see `spend`."""
        window = self._window(service, now_s)
        requests, repeats = len(window.requests), len(window.repeats)
        allowed = self.ratio * requests + self.slack / max(1, daemons)
        return Allowance(requests, repeats, SHARE_USED * allowed)

    def _window(self, service: str, now_s: float) -> ServiceWindow:
        window = self._services[service]
        window.trim(now_s - self.window_s)
        return window
