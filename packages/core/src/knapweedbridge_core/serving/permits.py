"""Permits for requests to an endpoint that limits its requests a second.

The limit holds for all daemons together. One of them, the coordinator, grants permits
at that rate, and each daemon requests one before it sends a request. A share for each
daemon would not work: with many daemons and few requests, one request of each already
exceeds the limit.
"""

from knapweedbridge_core.rendezvous import choose
from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.model_ref import ModelRef

BURST_S = 0.5
"""Permits that accumulate while none is requested, in seconds of the limit."""

MAX_INTERVAL_S = 4.0
"""Longest time between permits: only a response can show that a limit was lifted."""

TAKE_OVER_S = 1.0
"""How long a new coordinator grants nothing; its predecessor may not know of it yet."""

UNLEASED_SHARE = 0.25
"""Share of the limit that a coordinator without a lease grants. Daemons that reach the
store may use another coordinator by then."""

LEAST_WAIT_S = 0.02
"""Shortest pause of a daemon before it asks again after it got no permit."""

ROUNDING = 1e-9


class PermitBucket:
    """Token bucket for the permits of one endpoint, on the coordinator's clock.

    Parameters
    ----------
    begins_s : float
        Time before which no permit is granted.
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
        """Update the limit that a daemon received; return whether it changed."""
        if heard_s < self._heard_s:
            return False
        self._heard_s = heard_s
        changed = limit_per_s != self.limit_per_s
        if changed and self.limit_per_s is None:
            self._level, self._filled_s = 0.0, max(now_s, self._filled_s)
        self.limit_per_s = limit_per_s
        return changed

    def heard_age_s(self, now_s: float) -> float:
        """Return how long ago the limit was received."""
        return now_s - self._heard_s

    def take(self, now_s: float, share: float = 1.0) -> float:
        """Take a permit.

        Parameters
        ----------
        share : float
            Share of the limit that is granted.

        Returns
        -------
        float
            0.0 if a permit is granted, else the seconds until one may be available.
        """
        if self.limit_per_s is None:
            return 0.0
        rate_per_s = max(share * self.limit_per_s, 1 / MAX_INTERVAL_S)
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


def permit_coordinator(
    endpoint: str, data_centre: str, candidates: dict[str, list[str]]
) -> str | None:
    """Return the daemon that grants an endpoint's permits; None if none is known.

    Parameters
    ----------
    data_centre : str
        Data centre of the endpoint; a daemon there is preferred.
    candidates : dict of str to list of str
        Daemons that may be coordinators, by data centre.
    """
    local = candidates.get(data_centre)
    return choose(endpoint, local or [n for each in candidates.values() for n in each])


def exclude_limited(engines: list[Endpoint], model: ModelRef) -> list[Endpoint]:
    """Return the engines without limited ones that would have to load the model.

    Load orders count against the limit of an engine. All engines are returned if none
    is left.
    """
    allowed = [
        engine
        for engine in engines
        if not (engine.pressure.is_limited and model.adapter) or model in engine.held
    ]
    return allowed or engines
