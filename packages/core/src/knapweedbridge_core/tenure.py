"""One endpoint while this daemon owns it."""

from dataclasses import dataclass, field
from math import inf

from knapweedbridge_core.ledger import Ledger
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.takeover import Takeover


@dataclass(slots=True)
class Tenure:
    """What the owner keeps of an endpoint.

    Parameters
    ----------
    ready : bool
        Whether a report, or the earlier owner, told what the slots hold.
    reported_s, report_asked_s : float
        When the newest report was taken, and the last one asked for.
    published : list of AdapterVersion
        What the peers were told last.
    closing : bool
        Whether no new order is begun, so that the endpoint can be handed over.
    lost_majority : bool
        Whether, since the record was last known to hold, this daemon was out of
        touch with most others.
    announced_evictions : dict of AdapterVersion to float
        Evictions told to witnesses and not ordered yet, and since when.
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
    report_asked_s: float = -inf
    published: list[AdapterVersion] = field(default_factory=list)
    published_running: int = 0
    published_s: float = -inf
    announced_evictions: dict[AdapterVersion, float] = field(default_factory=dict)
