"""A pool under load in virtual time, run by the core's own decisions.

Engines, callers and ways between hosts are models; placement, what an owner orders
and tells, and what a daemon believes are the code that serves.
"""

from knapweedbridge_standins.serving_load.baselines import (
    HashedPlacement,
    LeastCallsPlacement,
)
from knapweedbridge_standins.serving_load.figures import Figures, quantile
from knapweedbridge_standins.serving_load.overload_callers import (
    QUOTA_SITE,
    OverloadFigures,
    OverloadStory,
)
from knapweedbridge_standins.serving_load.overload_pool import play_overload
from knapweedbridge_standins.serving_load.pool import play
from knapweedbridge_standins.serving_load.sites import SITES, CallMix, LoadSite

__all__ = [
    "QUOTA_SITE",
    "SITES",
    "CallMix",
    "Figures",
    "HashedPlacement",
    "LeastCallsPlacement",
    "LoadSite",
    "OverloadFigures",
    "OverloadStory",
    "play",
    "play_overload",
    "quantile",
]
