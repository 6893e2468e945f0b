"""Events of the platform's store, each of which reports one change.

Log lines contain the names of these classes.
"""

from knapweedbridge_core.records import record
from knapweedbridge_core.serving.deployment import Deployment
from knapweedbridge_core.serving.endpoint_records import EndpointRecord
from knapweedbridge_core.serving.model_ref import ModelRef
from knapweedbridge_core.serving.ownership import DaemonRecord, OwnerRecord
from knapweedbridge_core.serving.software_versions import VersionRecord


@record
class DeploymentNamed:
    """The store holds this configuration."""

    deployment: Deployment


@record
class VersionNamed:
    """The store names a version of an adapter or of a base model's weights."""

    model: ModelRef
    version: int


@record
class EndpointNamed:
    """The store lists an endpoint."""

    record: EndpointRecord


@record
class EndpointUnreadable:
    """The entry of an endpoint cannot be parsed.

    Parameters
    ----------
    cause : str
        Description of the error, for the log.
    """

    endpoint: str
    cause: str


@record
class EndpointGone:
    """The store no longer lists an endpoint."""

    endpoint: str


@record
class DaemonNamed:
    """The store lists a daemon."""

    record: DaemonRecord


@record
class DaemonAnnounced:
    """A daemon says that the store lists it.

    Parameters
    ----------
    protocol : int
        Protocol version that it speaks.
    until_s : float
        Time by which the store must have confirmed it.
    """

    record: DaemonRecord
    protocol: int
    until_s: float


@record
class DaemonGone:
    """The store no longer lists a daemon."""

    name: str


@record
class EraNamed:
    """A daemon has recorded by when an era of the store had begun.

    Parameters
    ----------
    era : int
        The era.
    since_s : float
        Time of day by which it had begun; 0: before any daemon served.
    """

    era: int
    since_s: float


@record
class ProtocolNamed:
    """A daemon publishes the protocol version of its present start."""

    name: str
    incarnation: int
    protocol: int


@record
class SoftwareServed:
    """Versions of endpoint software that have served side by side in a service.

    Daemons of protocols before `BEGIN_ON_RECORDED` record them.

    Parameters
    ----------
    versions : tuple of str
        The versions; empty: the record was removed.
    """

    service: str
    versions: tuple[str, ...]


@record
class SoftwareRecorded:
    """Versions of endpoint software on which streams of a service may begin.

    Parameters
    ----------
    record : VersionRecord
        What the store holds; without versions: the record was removed.
    """

    service: str
    record: VersionRecord


@record
class OriginsStored:
    """Origins of streams, which a host has written for hosts that start later.

    Parameters
    ----------
    origins : tuple of tuple
        For each stream its id, service, software version, and the time until its
        caller's last attempt is over, in seconds.
    """

    origins: tuple[tuple[str, str, str, float], ...]


@record
class LinksLost:
    """A daemon publishes that its host reaches no endpoint."""

    name: str
    incarnation: int


@record
class LinksBack:
    """A daemon withdraws its `LinksLost`."""

    name: str


@record
class OwnerNamed:
    """The store names an engine's owner."""

    endpoint: str
    record: OwnerRecord


@record
class OwnerGone:
    """An owner's record is gone because its lease expired."""

    endpoint: str


@record
class CallRefused:
    """The store says to reject a call because it crashes endpoints.

    Parameters
    ----------
    mark : str
        Identifies the call.
    for_s : float
        Duration in seconds, from when the entry was written.
    """

    mark: str
    for_s: float


@record
class CallAllowed:
    """The store withdraws a `CallRefused`."""

    mark: str


@record
class SecretNamed:
    """The shared secret by which daemons authenticate each other."""

    secret: bytes


StoreEvent = (
    DeploymentNamed
    | VersionNamed
    | EndpointNamed
    | EndpointUnreadable
    | EndpointGone
    | DaemonNamed
    | DaemonAnnounced
    | DaemonGone
    | EraNamed
    | ProtocolNamed
    | SoftwareServed
    | SoftwareRecorded
    | OriginsStored
    | LinksLost
    | LinksBack
    | OwnerNamed
    | OwnerGone
    | CallRefused
    | CallAllowed
    | SecretNamed
)
