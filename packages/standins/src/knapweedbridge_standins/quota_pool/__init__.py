"""A modelled pool of daemons that bound client accounts' use, in virtual time."""

from knapweedbridge_standins.quota_pool.figures import QuotaFigures
from knapweedbridge_standins.quota_pool.pool import STORIES, QuotaPool, Story
from knapweedbridge_standins.quota_pool.ways import (
    WAYS,
    KeptParts,
    QuotaWay,
    ToldUse,
)

__all__ = [
    "STORIES",
    "WAYS",
    "KeptParts",
    "QuotaFigures",
    "QuotaPool",
    "QuotaWay",
    "Story",
    "ToldUse",
]
