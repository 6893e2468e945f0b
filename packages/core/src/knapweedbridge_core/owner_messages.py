"""Messages between owners of endpoints, holders of grants and eviction witnesses."""

from knapweedbridge_core.codec import message
from knapweedbridge_core.names import AdapterVersion


@message(tag="SlotsChanged")
class EndpointUpdate:
    """An owner reports what one of its endpoints has loaded and runs."""

    endpoint: str
    owner: str
    number: int
    loaded: list[AdapterVersion]
    running: int


@message(tag="GrantsAsk")
class HeldGrantsRequest:
    """An owner asks a daemon for the grants that it holds or awaits on an endpoint."""

    endpoint: str
    number: int


@message(tag="GrantsHeld")
class HeldGrants:
    """The sender's grants on an endpoint, and the evictions that it witnessed.

    Parameters
    ----------
    attempts, models : list
        The attempts with a grant, and the adapter version of each.
    quarantined : list of AdapterVersion
        Adapter versions that an earlier owner announced to evict.
    """

    endpoint: str
    number: int
    attempts: list[str]
    models: list[AdapterVersion]
    quarantined: list[AdapterVersion]


@message(tag="OwnerRose")
class OwnerSuperseded:
    """An endpoint has an owner with a higher fencing number than the receiver knows."""

    endpoint: str
    number: int


@message
class EvictionIntent:
    """An owner is about to order an eviction."""

    endpoint: str
    model: AdapterVersion
    number: int


@message(tag="EvictionNoted")
class EvictionIntentAcknowledged:
    """A witness will report the intent to a later owner."""

    endpoint: str
    model: AdapterVersion
    number: int


@message(tag="EvictionOver")
class EvictionFinished:
    """The eviction ended, or was never ordered."""

    endpoint: str
    model: AdapterVersion
    number: int


@message
class HandOver:
    """An owner hands an endpoint over to the successor named in the owner record.

    Parameters
    ----------
    grant_models, grant_attempts, grant_holders : list
        Adapter version, attempt and holder of each grant.
    quarantined : list of AdapterVersion
        Adapter versions that an earlier owner announced to evict.
    """

    endpoint: str
    number: int
    loaded: list[AdapterVersion]
    grant_models: list[AdapterVersion]
    grant_attempts: list[str]
    grant_holders: list[str]
    quarantined: list[AdapterVersion]
