"""A pool of daemons before a few plain endpoints, in virtual time.

It plays the core's choice of an endpoint against endpoints with slots and slow periods,
to compare ways of knowing how much runs at each of them.
"""

from knapweedbridge_standins.plain_pool.endpoints import ModelledEndpoint
from knapweedbridge_standins.plain_pool.pool import PlainFigures, PlainPool, PlainSite
from knapweedbridge_standins.plain_pool.ways import WAYS, Counting, Learning, OwnCounts

__all__ = [
    "WAYS",
    "Counting",
    "Learning",
    "ModelledEndpoint",
    "OwnCounts",
    "PlainFigures",
    "PlainPool",
    "PlainSite",
]
