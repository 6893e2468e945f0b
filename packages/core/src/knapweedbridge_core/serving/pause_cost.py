"""Cost of the pauses that an engine's speed lengthens.

Streams on the slow engines of a service paused for longer than their users accept.
Reading a prompt of 1,460 tokens takes 0.07 s on the usual engine, 0.11 s on a slow one,
and 0.29 s there in a slow period.

The cost is that of the engine less that of the usual one, so that it doesn't change the
choice among equal engines, and fast ones are preferred.
"""

from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.engine_rates import EngineRates
from knapweedbridge_core.serving.placement_choices import PlacementRequest

LATE_COST_S = 0.3
"""Cost of a late answer: half the shortest objective of the users' workloads."""

SAFE_SHARE = 0.4
"""Part of the longest accepted pause up to which a pause costs nothing: in a slow
period, which takes 2.5 times as long, it is just as long as is accepted."""


def pause_cost_s(
    endpoint: Endpoint, ask: PlacementRequest, rates: EngineRates
) -> float:
    """Return the cost of the pauses on an engine, in seconds.

    Parameters
    ----------
    ask : PlacementRequest
        The call that would go there: its prompt pauses the streams that run there,
        and the prompts that are read beside it pause its own.
    """
    speed = endpoint.speed
    service = endpoint.record.service
    gap_s = rates.accepted_gap_s(service)
    if not gap_s or speed in (0.0, 1.0) or not endpoint.calls:
        return 0.0
    others_tokens = rates.usual_prompt_tokens(service)
    late_streams = 0.0
    for tokens in (ask.prompt_tokens, others_tokens):
        usual_s = rates.usual_gap_s(service) + tokens * rates.token_s(service)
        risk = _risk(speed * usual_s / gap_s) - _risk(usual_s / gap_s)
        late_streams += endpoint.calls * risk
    return LATE_COST_S * late_streams


def _risk(share: float) -> float:
    """Return the probability that a pause makes a stream late."""
    over = min(1.0, max(0.0, (share - SAFE_SHARE) / (1.0 - SAFE_SHARE)))
    return over * over
