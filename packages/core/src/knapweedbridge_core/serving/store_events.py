"""What the platform's store says, one thing each."""

from knapweedbridge_core.records import record
from knapweedbridge_core.serving.deployment import Deployment
from knapweedbridge_core.serving.endpoint_records import EndpointRecord
from knapweedbridge_core.serving.model_ref import ModelRef
from knapweedbridge_core.serving.ownership import DaemonRecord, OwnerRecord


@record
class DeploymentNamed:
    """The store holds this configuration."""

    deployment: Deployment


@record
class VersionNamed:
    """A new version of an adapter, or of a base model's weights."""

    model: ModelRef
    version: int


@record
class EndpointNamed:
    """The store lists an endpoint."""

    record: EndpointRecord


@record
class EndpointUnreadable:
    """The entry of an endpoint in the list cannot be read.

    Parameters
    ----------
    cause : str
        What is wrong with it, for the log.
    """

    endpoint: str
    cause: str


@record
class EndpointGone:
    """The store lists an endpoint no more."""

    endpoint: str


@record
class DaemonNamed:
    """The store lists a daemon."""

    record: DaemonRecord


@record
class DaemonGone:
    """The store lists a daemon no more."""

    name: str


@record
class ProtocolNamed:
    """A daemon says which protocol its present start speaks."""

    name: str
    incarnation: int
    protocol: int


@record
class SoftwareRecorded:
    """Versions of endpoint software that have served side by side in a service.

    Parameters
    ----------
    versions : tuple of str
        The versions; empty: there is no record any more.
    """

    service: str
    versions: tuple[str, ...]


@record
class LinksLost:
    """A daemon says that its host reaches no endpoint."""

    name: str
    incarnation: int


@record
class LinksBack:
    """A daemon says so no more."""

    name: str


@record
class OwnerNamed:
    """The store names an engine's owner."""

    endpoint: str
    record: OwnerRecord


@record
class OwnerGone:
    """An owner's record is gone: its lease lapsed."""

    endpoint: str


@record
class CallRefused:
    """The store says that a call which crashes endpoints is refused.

    Parameters
    ----------
    mark : str
        What it is known by.
    for_s : float
        For how long, in seconds from the writing.
    """

    mark: str
    for_s: float


@record
class CallAllowed:
    """The store says so of a call no more."""

    mark: str


@record
class SecretNamed:
    """The secret by which daemons know each other."""

    secret: bytes


StoreEvent = (
    DeploymentNamed
    | VersionNamed
    | EndpointNamed
    | EndpointUnreadable
    | EndpointGone
    | DaemonNamed
    | DaemonGone
    | ProtocolNamed
    | SoftwareRecorded
    | LinksLost
    | LinksBack
    | OwnerNamed
    | OwnerGone
    | CallRefused
    | CallAllowed
    | SecretNamed
)
