"""Conditions that a new owner of an endpoint meets before it evicts or grants."""

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

    An earlier owner that did not notice the expiry of its lease may give grants
    until its information on peers is too old. If the endpoint ignores fencing
    numbers, the last order of the earlier owner may still be in transit.

    Parameters
    ----------
    clean : bool
        Whether the earlier owner finished its orders and released the endpoint.
    checks_fencing : bool
        Whether the endpoint rejects orders with an old fencing number.

    Returns
    -------
    float
        Wait in seconds.
    """
    if clean:
        return 0.0
    if checks_fencing:
        return CONTACT_MAX_AGE_S + CLOCK_MARGIN_S
    return max(CONTACT_MAX_AGE_S, ORDER_TRANSIT_S) + CLOCK_MARGIN_S


@dataclass(slots=True)
class Takeover:
    """Progress of a new owner in taking over an endpoint.

    Parameters
    ----------
    began_s : float
        Time at which the new owner claimed the endpoint.
    settled_s : float
        Time before which nothing is evicted or granted.
    pending_holders : set of str
        Daemons that may hold grants and have not answered yet.
    quarantined : dict of AdapterVersion to float
        Adapter versions that a late eviction may still remove, with the time at
        which their quarantine ends.
    """

    began_s: float = -inf
    settled_s: float = -inf
    pending_holders: set[str] = field(default_factory=set)
    quarantined: dict[AdapterVersion, float] = field(default_factory=dict)

    @property
    def has_all_answers(self) -> bool:
        """Whether every possible holder has reported its grants or is dead."""
        return not self.pending_holders

    def quarantine(self, models: list[AdapterVersion], now_s: float) -> None:
        """Quarantine adapter versions whose eviction may still be in transit."""
        for model in models:
            self.quarantined[model] = max(now_s, self.settled_s) + QUARANTINE_S

    def is_quarantined(self, model: AdapterVersion, now_s: float) -> bool:
        """Return whether an adapter version is in quarantine."""
        return now_s < self.quarantined.get(model, -inf)

    def may_evict(self, now_s: float) -> bool:
        """Return whether evictions are allowed."""
        return self.has_all_answers and now_s >= self.settled_s

    def may_grant(self, model: AdapterVersion, now_s: float) -> bool:
        """Return whether no late eviction can remove an adapter that is granted.

        Witnesses report the evictions that were begun, but the witnesses of an
        eviction may have died since, so orders in transit are waited for as well.
        """
        return now_s >= self.settled_s and not self.is_quarantined(model, now_s)
