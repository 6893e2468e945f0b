"""One account's calls on a pool of daemons that are killed and cut off."""

import random

from knapweedbridge_core.serving import QuotaTolerance
from knapweedbridge_standins.quota_pool import KeptParts, QuotaPool, Story

USES_PER_S = (1_500, 8_000, 40_000)
TOLERANCE = QuotaTolerance(window_s=8.0, over=0.1, slack_units=11_000)


def play_quotas(seed: int) -> list[str]:
    """Return windows in which more was run than is accepted."""
    luck = random.Random(seed)
    story = Story(
        at_s=luck.uniform(4.0, 20.0),
        for_s=luck.uniform(2.0, 12.0),
        times=luck.choice([1.0, 3.0, 7.5]),
        lower_to=luck.choice([1.0, 1.0, 0.3]),
        killed=luck.choice([0.0, 0.5, 1.0]),
        cut=luck.choice([0.0, 0.0, 0.35]),
        kills=luck.choice([1, 3, 5]),
    )
    pool = QuotaPool(luck.choice([7, 24, 64]), luck.choice(USES_PER_S), story, seed)
    worst = pool.play(KeptParts, TOLERANCE).worst_share
    return [f"{worst:.2f} of what is accepted: {story}"] if worst > 1.0 else []
