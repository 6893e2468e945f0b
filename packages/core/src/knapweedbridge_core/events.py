"""What the shell tells the core."""

from dataclasses import dataclass

from knapweedbridge_core.configuration import Configuration
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.outcomes import Outcome
from knapweedbridge_core.parts import Parts, Root
from knapweedbridge_core.peer_events import PeerConnected, PeerDisconnected, PeerMessage
from knapweedbridge_core.rules import WithoutKey

__all__ = [
    "AdapterMissed",
    "AttemptCancelled",
    "AttemptEnded",
    "AttemptResult",
    "CallerDisconnected",
    "ClaimsDue",
    "ConfigurationRead",
    "DrainStarted",
    "DrainGraceEnded",
    "EndpointDrainRequested",
    "EndpointProbed",
    "EndpointReported",
    "GenerationApplied",
    "GenerationsRequested",
    "HostsListed",
    "ListedHost",
    "OrderEnded",
    "PartsRead",
    "PeerMessage",
    "PeerConnected",
    "PeerDisconnected",
    "Request",
    "RequestArrived",
    "RootRead",
    "StoreResponse",
    "Tick",
]


@dataclass(slots=True, frozen=True)
class ListedHost:
    """One line of the platform's lagging list."""

    name: str
    kind: str
    data_centre: str
    address: str
    leaving: bool


@dataclass(slots=True, frozen=True)
class Request:
    """One request of a caller, without its body.

    Parameters
    ----------
    request_id : str
        Unique over all daemons.
    caller, team : str
        The caller's key and its team.
    model : AdapterVersion or None
        What a model request runs on.
    service : str
        The plain service that a call names, or empty.
    priority : str
        ``interactive``, ``normal`` or ``batch``.
    non_idempotent : bool
        Whether it may run at most once.
    idempotency_key : str
        Key by which a repeat is known, or empty.
    deadline_s : float
        When its answer is worthless, on the daemon's clock.
    fingerprint : str
        Hash of caller, model and body.
    streamed : bool
        Whether the caller asked for a stream of events.
    without_key : WithoutKey
        What the rules say of it should it be non-idempotent and without a key.
    """

    request_id: str
    caller: str
    team: str
    model: AdapterVersion | None
    service: str
    priority: str
    non_idempotent: bool
    idempotency_key: str
    deadline_s: float
    fingerprint: str
    streamed: bool = False
    without_key: WithoutKey = WithoutKey.RUN


@dataclass(slots=True, frozen=True)
class Tick:
    """Time went on."""


@dataclass(slots=True, frozen=True)
class DrainStarted:
    """The daemon was asked to stop: it takes nothing new and hands over."""


@dataclass(slots=True, frozen=True)
class ConfigurationRead:
    """A configuration was read from the platform or a peer."""

    configuration: Configuration


@dataclass(slots=True, frozen=True)
class PartsRead:
    """The parts of a root were read from the platform."""

    root: Root
    parts: Parts


@dataclass(slots=True, frozen=True)
class RootRead:
    """The platform's service showed its root, whatever its generation."""

    root: Root


@dataclass(slots=True, frozen=True)
class GenerationApplied:
    """A new generation came in force on this daemon."""

    generation: int


@dataclass(slots=True, frozen=True)
class GenerationsRequested:
    """An operator wants to know which generation each member holds."""


@dataclass(slots=True, frozen=True)
class HostsListed:
    """The platform's list was read."""

    hosts: tuple[ListedHost, ...]


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A caller sent a request."""

    request: Request


@dataclass(slots=True, frozen=True)
class AdapterMissed:
    """A request of this daemon wants an adapter that no endpoint holds."""

    request: Request


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt the core dispatched ended."""

    request_id: str
    attempt_id: str
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class AttemptCancelled:
    """An endpoint was told to cancel an attempt, or could not be told."""

    attempt_id: str
    confirmed: bool


@dataclass(slots=True, frozen=True)
class ClaimsDue:
    """The claims that wait may be written."""


@dataclass(slots=True, frozen=True)
class CallerDisconnected:
    """The caller went away before its answer was whole."""

    request_id: str


@dataclass(slots=True, frozen=True)
class OrderEnded:
    """An endpoint answered an order, or failed to.

    Parameters
    ----------
    known : bool
        False where the order may have taken effect, or may yet.
    """

    endpoint: str
    kind: str
    model: AdapterVersion
    succeeded: bool
    detail: str = ""
    known: bool = True


@dataclass(slots=True, frozen=True)
class EndpointReported:
    """A report of an endpoint arrived; it may be old.

    Parameters
    ----------
    taken_s : float
        When the request for the report was sent, on the daemon's clock.
    """

    endpoint: str
    loaded: tuple[AdapterVersion, ...]
    running: dict[AdapterVersion, int]
    taken_s: float


@dataclass(slots=True, frozen=True)
class StoreResponse:
    """The key-value service answered, or did not.

    Parameters
    ----------
    token : str
        Token of the call.
    known : bool
        False where the call may have taken effect without our knowing.
    applied : bool
        Whether the comparisons held.
    values : dict of str to (bytes, revision)
        What was read.
    """

    token: str
    known: bool
    applied: bool
    values: dict[str, tuple[bytes, int]]


@dataclass(slots=True, frozen=True)
class DrainGraceEnded:
    """The grace of a drain is over: requests that still arrive are refused."""


@dataclass(slots=True, frozen=True)
class EndpointProbed:
    """A probe of an endpoint ended.

    Parameters
    ----------
    reached : bool
        Whether the endpoint answered.
    leaving : bool
        Whether it said that it takes no new work.
    loaded : tuple of AdapterVersion
        What an engine holds; empty for a plain service.
    incarnation : str
        Which start of the endpoint answered; empty where it does not tell.
    """

    endpoint: str
    reached: bool
    leaving: bool
    loaded: tuple[AdapterVersion, ...]
    incarnation: str = ""


@dataclass(slots=True, frozen=True)
class EndpointDrainRequested:
    """An operator asked that an endpoint gets no new work, or that it may again."""

    endpoint: str
    drained: bool


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """The callers' side tells the other sides how an attempt ended."""

    request: Request
    attempt_id: str
    endpoint: str
    outcome: Outcome
