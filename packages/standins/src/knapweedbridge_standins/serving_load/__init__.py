"""A pool under load in virtual time, run by the core's own decisions.

Engines, callers and ways between hosts are models; placement, what an owner orders
and tells, and what a daemon believes are the code that serves.
"""

from knapweedbridge_standins.serving_load.baselines import (
    HashedPlacement,
    LeastCallsPlacement,
)
from knapweedbridge_standins.serving_load.figures import Figures, quantile
from knapweedbridge_standins.serving_load.pool import play
from knapweedbridge_standins.serving_load.sites import SITES, CallMix, LoadSite

__all__ = [
    "SITES",
    "CallMix",
    "Figures",
    "HashedPlacement",
    "LeastCallsPlacement",
    "LoadSite",
    "play",
    "quantile",
]
