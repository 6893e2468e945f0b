"""Actions that the core returns and the shell performs."""

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
    """Send a request to an endpoint and stream its response."""

    request_id: str
    attempt_id: str
    endpoint: str
    address: str


@dataclass(slots=True, frozen=True)
class Resume:
    """Resume the stream of an attempt over a new connection.

    Parameters
    ----------
    offset : int
        Number of events already delivered to the caller.
    """

    request_id: str
    attempt_id: str
    endpoint: str
    address: str
    offset: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt at its endpoint, over a new connection."""

    attempt_id: str
    address: str


@dataclass(slots=True, frozen=True)
class Finish:
    """End a request with its final outcome."""

    request_id: str
    outcome: FinalOutcome


@dataclass(slots=True, frozen=True)
class OrderEndpoint:
    """Order an endpoint to load or evict an adapter version.

    Parameters
    ----------
    number : int
        Fencing number of the owner.
    not_after_s : float
        Time after which the order may no longer be sent, on the daemon's monotonic
        clock; the shell reads the clock again right before it sends.
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
    """Request a report from an endpoint.

    Parameters
    ----------
    number : int
        Fencing number of the owner; an endpoint that checks fencing numbers rejects
        orders with lower numbers from then on.
    """

    endpoint: str
    address: str
    number: int = 0


@dataclass(slots=True, frozen=True)
class ProbeEndpoint:
    """Check once, over a new connection, whether an endpoint is up and not leaving."""

    endpoint: str
    address: str
    kind: str


@dataclass(slots=True, frozen=True)
class StoreRead:
    """Read keys from the key-value service."""

    token: str
    keys: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class StoreWrite:
    """Write keys if every compared key has the given revision (0: absent).

    Parameters
    ----------
    lease_s : float
        Time after which the keys expire unless the write is repeated; 0: they do not
        expire. A repeat that finds them expired is answered as not applied; the
        repeat after that writes them again.
    """

    token: str
    compares: dict[str, int]
    puts: dict[str, bytes]
    lease_s: float = 0.0


@dataclass(slots=True, frozen=True)
class ClaimWrite:
    """Write claims as `StoreWrite` does; they expire with the lease of the claims."""

    token: str
    compares: dict[str, int]
    puts: dict[str, bytes]


@dataclass(slots=True, frozen=True)
class ClaimTimer:
    """Raise a `ClaimsDue` event after a delay."""

    delay_s: float


@dataclass(slots=True, frozen=True)
class Record:
    """Add an event to the timeline."""

    kind: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Count:
    """Increment a counter."""

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
