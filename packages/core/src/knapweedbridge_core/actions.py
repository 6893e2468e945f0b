"""What the core asks of the shell."""

from dataclasses import dataclass, field
from math import inf
from typing import Any

from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.outcomes import FinalOutcome


@dataclass(slots=True, frozen=True)
class SendPeer:
    """Send a message to another daemon."""

    host: str
    message: Any


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Stream a request from an endpoint."""

    request_id: str
    attempt_id: str
    endpoint: str
    address: str


@dataclass(slots=True, frozen=True)
class Resume:
    """Go on with an attempt's stream over a new connection.

    Parameters
    ----------
    offset : int
        Events already delivered to the caller.
    """

    request_id: str
    attempt_id: str
    endpoint: str
    address: str
    offset: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Tell an endpoint, over a new connection, to stop an attempt."""

    attempt_id: str
    address: str


@dataclass(slots=True, frozen=True)
class Finish:
    """Give a request its final outcome."""

    request_id: str
    outcome: FinalOutcome


@dataclass(slots=True, frozen=True)
class OrderEndpoint:
    """Order an endpoint to load or evict.

    Parameters
    ----------
    number : int
        Fencing number of the owner.
    not_after_s : float
        When the order may no longer be sent, on the daemon's monotonic clock; the
        shell reads the clock anew right before it sends.
    """

    endpoint: str
    address: str
    kind: str
    model: AdapterVersion
    weights: str
    number: int
    not_after_s: float = inf


@dataclass(slots=True, frozen=True)
class RequestReport:
    """Ask an endpoint for a report.

    Parameters
    ----------
    number : int
        Fencing number of the owner; an endpoint that checks numbers refuses older
        orders from then on.
    """

    endpoint: str
    address: str
    number: int = 0


@dataclass(slots=True, frozen=True)
class ProbeEndpoint:
    """Ask an endpoint once, on a new connection, whether it lives and stays."""

    endpoint: str
    address: str
    kind: str


@dataclass(slots=True, frozen=True)
class StoreRead:
    """Read keys of the key-value service."""

    token: str
    keys: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class StoreWrite:
    """Write keys if every compared key has the revision named (0: absent).

    Parameters
    ----------
    lease_s : float
        The keys go when the write is not repeated for this long; 0: they stay. A
        repeat that finds them gone is answered as not applied, and writes them anew
        when it is repeated once more.
    """

    token: str
    compares: dict[str, int]
    puts: dict[str, bytes]
    lease_s: float = 0.0


@dataclass(slots=True, frozen=True)
class ClaimWrite:
    """Write claims as `StoreWrite` does; each lapses with the claims' lease."""

    token: str
    compares: dict[str, int]
    puts: dict[str, bytes]


@dataclass(slots=True, frozen=True)
class ClaimTimer:
    """Tell `ClaimsDue` after a while."""

    delay_s: float


@dataclass(slots=True, frozen=True)
class Record:
    """Add an event to the time line."""

    kind: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Count:
    """Add to a counter."""

    name: str
    value: int = 1


Action = (
    SendPeer
    | Dispatch
    | Resume
    | CancelAttempt
    | Finish
    | OrderEndpoint
    | RequestReport
    | ProbeEndpoint
    | StoreRead
    | StoreWrite
    | ClaimWrite
    | ClaimTimer
    | Record
    | Count
)
