"""How long an adapter's load takes."""

from dataclasses import dataclass

COLD_LOAD_S = 0.25
"""From the weight store, while few are on their way; what most engines take."""

WARM_LOAD_S = 0.025
"""Of an adapter that the engine held lately: a tenth of a cold one."""

COLD_AT_ONCE = 8
"""Loads that the weight store of a small pool serves at full speed."""


COLD_LONGEST_S = 0.5
"""Longest load that is believed to be a usual one: past it something went wrong."""

LEARN_STEP_S = 0.012
"""Added to what a load is known to have taken at least: calls are sent when a load
should be done, so a miss tells that it took longer, and not by how much."""


@dataclass(slots=True)
class LoadTimes:
    """What a daemon has learnt of loads from the weight store.

    No configuration tells how long a load takes. Where it took 0.29 s and not 0.25 s,
    each call that had waited for its adapter came too soon, was refused by the engine,
    and often had no repeat left: 156 of 2,134 callers of a large pool were sent away.

    Parameters
    ----------
    cold_s : float
        A load's time while few are on their way, in seconds.
    """

    cold_s: float = COLD_LOAD_S

    def took_longer(self, waited_s: float) -> None:
        """Take that a load was not done after some seconds."""
        self.told(waited_s + LEARN_STEP_S)

    def told(self, cold_s: float) -> None:
        """Take what another daemon has learnt."""
        if self.cold_s < cold_s <= COLD_LONGEST_S:
            self.cold_s = cold_s


def cold_load_s(coming: int, engines: int, cold_s: float = COLD_LOAD_S) -> float:
    """Return how long a load from the weight store takes, in seconds.

    The weight store serves some loads at full speed, and more of them in proportion
    longer. It is built for its engines: with 70 of them it served 72 at full speed,
    with 30 it served 40. Taken for one that serves eight, it seemed to need a second
    a load, and a third of the callers was refused while half of the engines idled.

    Parameters
    ----------
    coming : int
        Loads on their way over all engines, this one among them.
    engines : int
        Engines of the service.
    cold_s : float
        A load's time while few are on their way, in seconds.
    """
    return cold_s * max(1.0, coming / max(COLD_AT_ONCE, engines))
