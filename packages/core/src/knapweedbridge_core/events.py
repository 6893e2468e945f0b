"""Events that the daemon passes to the core."""

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
    """An entry of the platform's host list, which may be out of date."""

    name: str
    kind: str
    data_centre: str
    address: str
    leaving: bool


@dataclass(slots=True, frozen=True)
class Request:
    """A request of a caller, without its body.

    Parameters
    ----------
    request_id : str
        Unique over all daemons.
    caller, team : str
        The caller's key and its team.
    model : AdapterVersion or None
        Adapter version of a model request.
    service : str
        Plain service that the request addresses, or empty.
    priority : str
        ``interactive``, ``normal`` or ``batch``.
    non_idempotent : bool
        Whether the request may run only once.
    idempotency_key : str
        Key that identifies a repeated request, or empty.
    deadline_s : float
        When the response is no longer useful, on the daemon's clock.
    fingerprint : str
        Hash of caller, model and body.
    streamed : bool
        Whether the caller asked for a streamed response.
    without_key : WithoutKey
        What the rules require if it is non-idempotent and has no key.
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
    """Time has advanced; emitted at regular intervals."""


@dataclass(slots=True, frozen=True)
class DrainStarted:
    """The daemon was asked to stop: it accepts no new work and hands over its roles."""


@dataclass(slots=True, frozen=True)
class ConfigurationRead:
    """A whole configuration was read from the platform or a peer."""

    configuration: Configuration


@dataclass(slots=True, frozen=True)
class PartsRead:
    """The parts of a root were read from the platform."""

    root: Root
    parts: Parts


@dataclass(slots=True, frozen=True)
class RootRead:
    """The root was read from the platform's key-value service, of any generation."""

    root: Root


@dataclass(slots=True, frozen=True)
class GenerationApplied:
    """A new generation of the configuration became active on this daemon."""

    generation: int


@dataclass(slots=True, frozen=True)
class GenerationsRequested:
    """An operator requested the generation that each member holds."""


@dataclass(slots=True, frozen=True)
class HostsListed:
    """The platform's host list was read."""

    hosts: tuple[ListedHost, ...]


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A caller sent a request."""

    request: Request


@dataclass(slots=True, frozen=True)
class AdapterMissed:
    """A request of this daemon needs an adapter that no endpoint holds."""

    request: Request


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt that the core dispatched ended."""

    request_id: str
    attempt_id: str
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class AttemptCancelled:
    """An attempt was cancelled at its endpoint, or the cancellation failed."""

    attempt_id: str
    confirmed: bool


@dataclass(slots=True, frozen=True)
class ClaimsDue:
    """The queued claims may be written."""


@dataclass(slots=True, frozen=True)
class CallerDisconnected:
    """The caller disconnected before its response was complete."""

    request_id: str


@dataclass(slots=True, frozen=True)
class OrderEnded:
    """An order to an endpoint was answered or failed.

    Parameters
    ----------
    known : bool
        False if the order may have taken effect or may still do so.
    """

    endpoint: str
    kind: str
    model: AdapterVersion
    succeeded: bool
    detail: str = ""
    known: bool = True


@dataclass(slots=True, frozen=True)
class EndpointReported:
    """A report of an endpoint arrived; it may be out of date.

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
    """A call to the key-value service was answered or failed.

    Parameters
    ----------
    token : str
        Token of the call.
    known : bool
        False if it is unknown whether the call took effect.
    applied : bool
        Whether the comparisons of the transaction succeeded.
    values : dict of str to (bytes, revision)
        Values read, by key.
    """

    token: str
    known: bool
    applied: bool
    values: dict[str, tuple[bytes, int]]


@dataclass(slots=True, frozen=True)
class DrainGraceEnded:
    """The grace period of a drain ended: new requests are refused."""


@dataclass(slots=True, frozen=True)
class EndpointProbed:
    """A health check of an endpoint ended.

    Parameters
    ----------
    reached : bool
        Whether the endpoint answered.
    leaving : bool
        Whether it reported that it accepts no new work.
    loaded : tuple of AdapterVersion
        Adapter versions that an engine holds; empty for a plain service.
    incarnation : str
        Identifies the start of the endpoint that answered; empty if not reported.
    """

    endpoint: str
    reached: bool
    leaving: bool
    loaded: tuple[AdapterVersion, ...]
    incarnation: str = ""


@dataclass(slots=True, frozen=True)
class EndpointDrainRequested:
    """An operator asked to drain an endpoint, or to end the drain."""

    endpoint: str
    drained: bool


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """The outcome of an attempt, which the request component sends to the others."""

    request: Request
    attempt_id: str
    endpoint: str
    outcome: Outcome
