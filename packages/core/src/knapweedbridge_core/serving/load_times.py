"""Times that loads of adapters take."""

from dataclasses import dataclass

COLD_LOAD_S = 0.25
"""Load from the weight store while few loads run, on most engines."""

WARM_LOAD_S = 0.025
"""Load of an adapter that the engine held recently: a tenth of a cold one."""

MIN_AT_ONCE = 8
"""Loads that the weight store of a small pool serves at full speed, at least."""

TRIAL_RATIO = 1.3
"""Ratio of the loads tried to those known to be served at full speed: if they take
longer, their callers repeat their calls once, 0.04 s later."""

TRIAL_PAUSE_S = 3.0
"""Pause after a failed trial: each one makes some calls repeat."""

TRIAL_SEEN_S = 0.1
"""How long calls must run on an adapter after the expected end of its load to prove it
loaded: a refusal of the engine takes some milliseconds to reach the owner."""

MAX_COLD_LOAD_S = 0.5
"""Longest load that counts as usual: a longer one means a fault."""

LEARN_STEP_S = 0.012
"""Added to the least time that a load is known to have taken: calls are sent at the
expected end of a load, so a refused one shows that it took longer, but not how much."""


@dataclass(slots=True, frozen=True)
class LoadPlan:
    """Plan for a load that begins now.

    Parameters
    ----------
    load_s : float
        Expected time, in seconds.
    at_once : float
        Loads that the plan tries to run at full speed; 0: no trial.
    """

    load_s: float
    at_once: float = 0.0


@dataclass(slots=True)
class LoadTimes:
    """Times of loads from the weight store, learned by a daemon.

    No configuration states how long a load takes. Where it took 0.29 s rather than 0.25
    s, each call that had waited for its adapter came too early, was refused by the
    engine, and often had no repeat left: 156 of 2,134 callers of a large pool were
    refused.

    Nor does one state how many loads the weight store serves at full speed. With 8
    assumed where it served 16, the forecast was 0.44 s for loads of 0.25 s. Occasional
    trials of more loads reduced the attempts refused as too late from 475 to 396 in a
    run under heavy load.

    Parameters
    ----------
    cold_s : float
        Time of a load while few loads run, in seconds.
    at_once : float
        Loads that have run at full speed; 0: none were counted.
    """

    cold_s: float = COLD_LOAD_S
    at_once: float = 0.0
    _no_trial_until_s: float = float("-inf")

    def full_speed(self, engines: int) -> float:
        """Return the number of loads that run at full speed.

        The weight store is dimensioned for its engines: with 70 of them it served 72
        loads, and 40 with 30.
        """
        return max(MIN_AT_ONCE, engines, self.at_once)

    def load_s(self, coming: int, engines: int) -> float:
        """Forecast the time of a load, which slows down beyond full speed.

        Parameters
        ----------
        coming : int
            Loads that run on all engines, this one included.
        engines : int
            Engines of the service.
        """
        return self.cold_s * max(1.0, coming / self.full_speed(engines))

    def plan(self, coming: int, engines: int, now_s: float) -> LoadPlan:
        """Plan a load that begins now, perhaps as a trial of more loads at once."""
        known = self.full_speed(engines)
        if coming <= known or now_s < self._no_trial_until_s:
            return LoadPlan(self.load_s(coming, engines))
        tried = known * TRIAL_RATIO
        return LoadPlan(self.cold_s * max(1.0, coming / tried), min(coming, tried))

    def record_trial_success(self, at_once: float) -> None:
        """Record the number of loads that ran at full speed on any engine."""
        self.at_once = max(self.at_once, at_once)

    def record_trial_failure(self, now_s: float) -> None:
        """Record that a load of a trial took longer than planned."""
        self._no_trial_until_s = now_s + TRIAL_PAUSE_S

    def record_slow_load(self, waited_s: float) -> None:
        """Record that a load had not ended after some seconds."""
        self.told(waited_s + LEARN_STEP_S)

    def told(self, cold_s: float) -> None:
        """Apply a load time that another daemon learned."""
        if self.cold_s < cold_s <= MAX_COLD_LOAD_S:
            self.cold_s = cold_s
