"""Decides whether to accept a request although its response will be slightly late.

This handles load peaks of a second or two. A caller that is rejected retries after one
to three seconds: its response is later than if it had waited, and the load is not
reduced. Rejecting requests helps others only while the load stays above the capacity of
the engines. The share of requests that would be late therefore decides.
"""

from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.placement import EnginePlacement
from knapweedbridge_core.serving.placement_choices import (
    Choice,
    PlacementRequest,
    TooLate,
)

MAX_DELAY_OBJECTIVES = 1.0
"""Accepted delay beyond the objective, in objectives, while no request is late. A
rejected caller retries only after one to three seconds."""

OVERLOAD_LATE_SHARE = 0.12
"""Share of late requests from which on every late request is rejected. It is 0.05 at
the heaviest usual load, and 0.15 at 1.5 times that."""

HALF_LIFE_S = 1.0
"""Half-life of that share. Peaks last about two seconds."""

MIN_WEIGHT = 0.05
MAX_WEIGHT = 0.5
"""Bounds on the weight of one request, for daemons with many requests or few."""


class LateAdmission:
    """Accepts some of the late requests that a placement rejects.

    Parameters
    ----------
    placement : EnginePlacement
        Rejects requests that would be late.
    """

    def __init__(self, placement: EnginePlacement) -> None:
        self._placement = placement
        self._late_share = 0.0
        self._recorded_s = 0.0

    @property
    def late_share(self) -> float:
        """The decayed share of requests that would be late, 0 to 1."""
        return self._late_share

    def choose(
        self,
        ask: PlacementRequest,
        engines: list[Endpoint],
        objective_s: float,
        is_new: bool,
        now_s: float,
    ) -> Choice:
        """Choose among the engines that accept new work.

        Parameters
        ----------
        objective_s : float
            Time to the first event that the route aims at; 0: accept no delay.
        is_new : bool
            Whether the request is placed for the first time.
        """
        choice = self._placement.choose(ask, engines, now_s)
        is_late = isinstance(choice, TooLate)
        if is_new:
            self._record(is_late, now_s)
        if not isinstance(choice, TooLate):
            return choice
        is_accepted = choice.over_s <= self._accepted_delay() * objective_s
        return choice.instead if is_accepted else choice

    def _record(self, is_late: bool, now_s: float) -> None:
        since_s = max(0.0, now_s - self._recorded_s)
        weight = 1.0 - 0.5 ** (since_s / HALF_LIFE_S)
        weight = min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
        self._late_share += weight * (is_late - self._late_share)
        self._recorded_s = now_s

    def _accepted_delay(self) -> float:
        return MAX_DELAY_OBJECTIVES * max(
            0.0, 1.0 - self._late_share / OVERLOAD_LATE_SHARE
        )
