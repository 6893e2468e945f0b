"""State of an endpoint while this daemon owns it."""

from dataclasses import dataclass, field
from math import inf

from knapweedbridge_core.ledger import Ledger
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.takeover import Takeover


@dataclass(slots=True)
class Tenure:
    """State of an endpoint that this daemon owns.

    Parameters
    ----------
    number : int
        Fencing number of this daemon as the owner.
    checks_fencing : bool
        Whether the endpoint rejects orders with outdated fencing numbers.
    ready : bool
        Whether the content of the slots is known, from a report or from the previous
        owner.
    closing : bool
        Whether no new order is begun, so that the endpoint can be handed over.
    lost_majority : bool
        Whether this daemon was out of contact with most others since the owner
        record was last known to be valid.
    reported_s, report_requested_s : float
        When the newest report was taken, and when a report was last requested.
    published : list of AdapterVersion
        Adapter versions in the last update to the peers.
    announced_evictions : dict of AdapterVersion to float
        Evictions announced to witnesses and not ordered yet, with the time of the
        announcement in seconds.
    """

    endpoint: str
    number: int
    checks_fencing: bool
    ledger: Ledger
    takeover: Takeover
    ready: bool = False
    closing: bool = False
    lost_majority: bool = False
    reported_s: float = -inf
    report_requested_s: float = -inf
    published: list[AdapterVersion] = field(default_factory=list)
    published_running: int = 0
    published_s: float = -inf
    announced_evictions: dict[AdapterVersion, float] = field(default_factory=dict)
