"""What the pauses that an engine's speed makes longer speak against the engine.

The load that this answers: streams that paused for longer than their users accept, on
the slow engines of a service. Reading a prompt of 1,460 tokens takes 0.07 s on the
usual engine and 0.11 s on a slow one, and 0.29 s there in a slow period.

The price is that of the engine less that of the usual one, so that engines which are
alike are chosen among as without it, and fast ones are preferred.
"""

from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.engine_rates import EngineRates
from knapweedbridge_core.serving.placement_choices import PlacementAsk

LATE_S = 0.3
"""An answer that comes late: half the shortest objective of the users' kinds."""

SAFE_SHARE = 0.4
"""Part of the longest accepted pause up to which a pause costs nothing: in a slow
period, which takes 2.5 times as long, it is just as long as is accepted."""


def pause_cost_s(endpoint: Endpoint, ask: PlacementAsk, rates: EngineRates) -> float:
    """Return what the pauses on an engine speak against it, in seconds of price.

    Parameters
    ----------
    ask : PlacementAsk
        The call that would go there: its prompt pauses the streams that run there, and
        the prompts that are read beside it pause its own.
    """
    speed = endpoint.speed
    service = endpoint.record.service
    gap_s = rates.accepted_gap_s(service)
    if not gap_s or speed in (0.0, 1.0) or not endpoint.calls:
        return 0.0
    by_others = rates.usual_prompt_tokens(service)
    late = 0.0
    for tokens in (ask.prompt_tokens, by_others):
        usual_s = rates.usual_gap_s(service) + tokens * rates.token_s(service)
        risk = _risk(speed * usual_s / gap_s) - _risk(usual_s / gap_s)
        late += endpoint.calls * risk
    return LATE_S * late


def _risk(share: float) -> float:
    """Return how likely a pause makes a stream late, by its share of the accepted."""
    over = min(1.0, max(0.0, (share - SAFE_SHARE) / (1.0 - SAFE_SHARE)))
    return over * over
