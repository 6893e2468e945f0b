"""Permits for calls to an endpoint that takes a limited number a second.

The limit holds for all daemons together. One of them, the keeper, gives permits at that
rate, and each daemon asks it before it sends a call. A share for each daemon would not
do: daemons are many and calls few, so one call of each is more than the limit already.
"""

from knapweedbridge_core.rendezvous import choose
from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.model_ref import ModelRef

BURST_S = 0.5
"""Permits that are saved up while none is asked for, in seconds of the limit."""

LONGEST_INTERVAL_S = 4.0
"""Longest time between permits: only a call can show that a limit has ended."""

TAKE_OVER_S = 1.0
"""How long a new keeper gives nothing: the one before may not have heard of it yet."""

UNLEASED_SHARE = 0.25
"""Share of the limit that a keeper without a lease gives: daemons that reach the store
may have another keeper by then."""

LEAST_WAIT_S = 0.02
"""Shortest time for which a daemon that got no permit asks for no other."""

ROUNDING = 1e-9


class PermitBucket:
    """Gives the permits of one endpoint; times are of the keeper's clock.

    Parameters
    ----------
    begins_s : float
        Before this no permit is given.
    """

    __slots__ = ("_filled_s", "_heard_s", "_level", "limit_per_s")

    def __init__(self, begins_s: float) -> None:
        self.limit_per_s: float | None = None
        self._heard_s = float("-inf")
        self._filled_s = begins_s
        self._level = 0.0

    def update_limit(
        self, limit_per_s: float | None, heard_s: float, now_s: float
    ) -> bool:
        """Take what a daemon has heard of the limit; tell whether that is news."""
        if heard_s < self._heard_s:
            return False
        self._heard_s = heard_s
        changed = limit_per_s != self.limit_per_s
        if changed and self.limit_per_s is None:
            self._level, self._filled_s = 0.0, max(now_s, self._filled_s)
        self.limit_per_s = limit_per_s
        return changed

    def heard_age_s(self, now_s: float) -> float:
        """Return how long ago the limit was heard."""
        return now_s - self._heard_s

    def take(self, now_s: float, share: float = 1.0) -> float:
        """Take a permit.

        Parameters
        ----------
        share : float
            Part of the limit that is given.

        Returns
        -------
        float
            0.0 where one is given, else seconds after which one may be.
        """
        if self.limit_per_s is None:
            return 0.0
        rate_per_s = max(share * self.limit_per_s, 1 / LONGEST_INTERVAL_S)
        self._fill(rate_per_s, now_s)
        if self._level + ROUNDING >= 1.0:
            self._level -= 1.0
            return 0.0
        begins_in_s = max(0.0, self._filled_s - now_s)
        return max(LEAST_WAIT_S, begins_in_s + (1.0 - self._level) / rate_per_s)

    def _fill(self, rate_per_s: float, now_s: float) -> None:
        if now_s <= self._filled_s:
            return
        filled = self._level + rate_per_s * (now_s - self._filled_s)
        self._level = min(1.0 + BURST_S * rate_per_s, filled)
        self._filled_s = now_s


def permit_keeper(
    endpoint: str, data_centre: str, candidates: dict[str, list[str]]
) -> str | None:
    """Name the daemon that gives an endpoint's permits; None where nobody is known.

    Parameters
    ----------
    data_centre : str
        Where the endpoint stands; a daemon there is taken if there is one.
    candidates : dict of str to list of str
        By data centre, daemons that may be keepers.
    """
    near = candidates.get(data_centre)
    return choose(endpoint, near or [n for each in candidates.values() for n in each])


def exclude_limited(engines: list[Endpoint], model: ModelRef) -> list[Endpoint]:
    """Leave out limited engines that would have to load a model, where others can.

    Orders count among the calls that a limited engine takes.
    """
    able = [
        engine
        for engine in engines
        if not (engine.pressure.is_limited and model.adapter) or model in engine.held
    ]
    return able or engines
