"""Whether a call is taken though its answer will be somewhat late.

The load that this answers is a peak that passes within a second or two. A caller who
is refused comes back after one to three seconds: its answer is later than if it had
waited, and the next moment's load is no smaller. Only while the load stays above what
the engines hold does a refusal help others, who are then answered in time.

So the share of calls that come too late decides.
"""

from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.placement import EnginePlacement
from knapweedbridge_core.serving.placement_choices import Choice, PlacementAsk, TooLate

MAX_DELAY_OBJECTIVES = 1.0
"""Objectives by which an answer may be late while none are: one that is asked for again
comes after one to three seconds."""

CROWDED_SHARE = 0.12
"""Share of calls that come too late from which on each is refused: the heaviest usual
load makes it 0.05, and 1.5 times that 0.15."""

HALF_LIFE_S = 1.0
"""Half-life of that share: peaks last about two seconds."""

LEAST_WEIGHT = 0.05
MOST_WEIGHT = 0.5
"""Bounds on what one call counts, for daemons with many calls or few."""


class LateAdmission:
    """Chooses engines by a placement, and spares some calls their refusal.

    Parameters
    ----------
    placement : EnginePlacement
        Refuses a call that would be late.
    """

    def __init__(self, placement: EnginePlacement) -> None:
        self._placement = placement
        self._late_share = 0.0
        self._noted_s = 0.0

    @property
    def late_share(self) -> float:
        """The decayed share of calls that came too late, 0 to 1."""
        return self._late_share

    def choose(
        self,
        ask: PlacementAsk,
        engines: list[Endpoint],
        objective_s: float,
        is_new: bool,
        now_s: float,
    ) -> Choice:
        """Choose among engines that may take new work.

        Parameters
        ----------
        objective_s : float
            Time to the first event that the call's route aims at; 0: spare it nothing.
        is_new : bool
            Whether the call is placed for the first time.
        """
        choice = self._placement.choose(ask, engines, now_s)
        late = isinstance(choice, TooLate)
        if is_new:
            self._note(late, now_s)
        if not isinstance(choice, TooLate):
            return choice
        spared = choice.over_s <= self._spare() * objective_s
        return choice.instead if spared else choice

    def _note(self, late: bool, now_s: float) -> None:
        since_s = max(0.0, now_s - self._noted_s)
        weight = 1.0 - 0.5 ** (since_s / HALF_LIFE_S)
        weight = min(MOST_WEIGHT, max(LEAST_WEIGHT, weight))
        self._late_share += weight * (late - self._late_share)
        self._noted_s = now_s

    def _spare(self) -> float:
        return MAX_DELAY_OBJECTIVES * max(0.0, 1.0 - self._late_share / CROWDED_SHARE)
