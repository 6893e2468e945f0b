"""How long an adapter's load takes."""

from dataclasses import dataclass

COLD_LOAD_S = 0.25
"""From the weight store, while few are on their way; what most engines take."""

WARM_LOAD_S = 0.025
"""Of an adapter that the engine held lately: a tenth of a cold one."""

COLD_AT_ONCE = 8
"""Loads that the weight store of a small pool serves at full speed, at least."""

TRIAL = 1.3
"""Times as many loads as are known to be served at full speed that are tried: the
callers of one that takes longer are sent there 0.04 s later once more."""

TRIAL_PAUSE_S = 3.0
"""Pause between trials after one that failed: each costs some calls a repeat."""

TRIAL_SEEN_S = 0.1
"""How long calls must run on an adapter after its load's expected end to show that it
was there: an engine's refusal takes some milliseconds to reach the owner."""

COLD_LONGEST_S = 0.5
"""Longest load that is believed to be a usual one: past it something went wrong."""

LEARN_STEP_S = 0.012
"""Added to what a load is known to have taken at least: calls are sent when a load
should be done, so a miss tells that it took longer, and not by how much."""


@dataclass(slots=True, frozen=True)
class LoadPlan:
    """What a load that begins now is taken to need.

    Parameters
    ----------
    load_s : float
        Its time, in seconds.
    at_once : float
        Loads that are tried to be served at full speed; 0: nothing is tried.
    """

    load_s: float
    at_once: float = 0.0


@dataclass(slots=True)
class LoadTimes:
    """What a daemon has learnt of loads from the weight store.

    No configuration tells how long a load takes. Where it took 0.29 s and not 0.25 s,
    each call that had waited for its adapter came too soon, was refused by the engine,
    and often had no repeat left: 156 of 2,134 callers of a large pool were sent away.

    Nor does one tell how many loads the weight store serves at full speed. Taken for
    8 where it served 16, a wait of 0.44 s was forecast for loads of 0.25 s. With more
    being tried, now and then, 396 tries of a heavy day were refused as too late in
    place of 475.

    Parameters
    ----------
    cold_s : float
        A load's time while few are on their way, in seconds.
    at_once : float
        Loads that were seen to be served at full speed; 0: none were counted.
    """

    cold_s: float = COLD_LOAD_S
    at_once: float = 0.0
    _no_trial_until_s: float = float("-inf")

    def full_speed(self, engines: int) -> float:
        """Return how many loads are taken to be served at full speed.

        The weight store is built for its engines: with 70 of them it served 72, with
        30 it served 40.
        """
        return max(COLD_AT_ONCE, engines, self.at_once)

    def load_s(self, coming: int, engines: int) -> float:
        """Forecast a load's time; more loads than at full speed share it.

        Parameters
        ----------
        coming : int
            Loads on their way over all engines, this one among them.
        engines : int
            Engines of the service.
        """
        return self.cold_s * max(1.0, coming / self.full_speed(engines))

    def plan(self, coming: int, engines: int, now_s: float) -> LoadPlan:
        """Plan a load that begins now; it may try whether more are served at once."""
        known = self.full_speed(engines)
        if coming <= known or now_s < self._no_trial_until_s:
            return LoadPlan(self.load_s(coming, engines))
        tried = known * TRIAL
        return LoadPlan(self.cold_s * max(1.0, coming / tried), min(coming, tried))

    def record_trial_success(self, at_once: float) -> None:
        """Take that as many loads were served at full speed, here or elsewhere."""
        self.at_once = max(self.at_once, at_once)

    def record_trial_failure(self, now_s: float) -> None:
        """Take that a load that was tried took longer."""
        self._no_trial_until_s = now_s + TRIAL_PAUSE_S

    def record_slow_load(self, waited_s: float) -> None:
        """Take that a load was not done after some seconds."""
        self.told(waited_s + LEARN_STEP_S)

    def told(self, cold_s: float) -> None:
        """Take what another daemon has learnt."""
        if self.cold_s < cold_s <= COLD_LONGEST_S:
            self.cold_s = cold_s
