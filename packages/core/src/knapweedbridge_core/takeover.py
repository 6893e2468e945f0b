"""What a new owner must have learned and waited for."""

from dataclasses import dataclass, field
from math import inf

from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.times import (
    CLOCK_MARGIN_S,
    CONTACT_MAX_AGE_S,
    ORDER_TRANSIT_S,
    QUARANTINE_S,
)


def wait_s(clean: bool, checks_fencing: bool) -> float:
    """Return how long a new owner waits before its first eviction.

    An earlier owner whose lease lapsed unseen may give grants for as long as it
    believes to hear its peers; to endpoints that ignore fencing numbers its last
    order may be on the way.

    Parameters
    ----------
    clean : bool
        Whether the earlier owner had ended its orders and gave the endpoint away.
    checks_fencing : bool
        Whether the endpoint refuses old orders.
    """
    if clean:
        return 0.0
    if checks_fencing:
        return CONTACT_MAX_AGE_S + CLOCK_MARGIN_S
    return max(CONTACT_MAX_AGE_S, ORDER_TRANSIT_S) + CLOCK_MARGIN_S


@dataclass(slots=True)
class Takeover:
    """How far a new owner is.

    Parameters
    ----------
    began_s : float
        When it claimed.
    settled_s : float
        Before this nothing is evicted.
    pending_holders : set of str
        Daemons that may hold grants and have not told.
    quarantined : dict of AdapterVersion to float
        Names that a late eviction may hit, and until when they are kept away.
    """

    began_s: float = -inf
    settled_s: float = -inf
    pending_holders: set[str] = field(default_factory=set)
    quarantined: dict[AdapterVersion, float] = field(default_factory=dict)

    @property
    def is_collected(self) -> bool:
        """Tell whether all holders told what they hold, or are dead."""
        return not self.pending_holders

    def quarantine(self, models: list[AdapterVersion], now_s: float) -> None:
        """Keep names away that an earlier owner may have ordered to evict."""
        for model in models:
            self.quarantined[model] = max(now_s, self.settled_s) + QUARANTINE_S

    def is_quarantined(self, model: AdapterVersion, now_s: float) -> bool:
        """Tell whether a name is kept away."""
        return now_s < self.quarantined.get(model, -inf)

    def may_evict(self, now_s: float) -> bool:
        """Tell whether the first eviction may come."""
        return self.is_collected and now_s >= self.settled_s

    def may_grant(self, model: AdapterVersion, now_s: float) -> bool:
        """Tell whether no late eviction can hit what is granted.

        Witnesses tell of evictions that were begun, but those who were asked may
        have died since: what is in transit is waited out all the same.
        """
        return now_s >= self.settled_s and not self.is_quarantined(model, now_s)
