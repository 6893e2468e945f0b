"""Messages of an endpoint's owner, its successors and its witnesses."""

from knapweedbridge_core.codec import message
from knapweedbridge_core.names import AdapterVersion


@message(tag="SlotsChanged")
class EndpointUpdate:
    """An owner tells what an endpoint of its own holds and runs."""

    endpoint: str
    owner: str
    number: int
    loaded: list[AdapterVersion]
    running: int


@message(tag="GrantsAsk")
class HeldGrantsRequest:
    """An owner asks a holder which grants on an endpoint it keeps or waits for."""

    endpoint: str
    number: int


@message(tag="GrantsHeld")
class HeldGrants:
    """A holder tells its grants, and evictions that it witnessed the beginning of."""

    endpoint: str
    number: int
    attempts: list[str]
    models: list[AdapterVersion]
    condemned: list[AdapterVersion]


@message(tag="OwnerRose")
class OwnerSuperseded:
    """An endpoint has an owner with a higher number than the hearer's."""

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
    """A witness will tell a later owner of the intent."""

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
    """An owner gives an endpoint to its successor, whom the record names."""

    endpoint: str
    number: int
    loaded: list[AdapterVersion]
    grant_models: list[AdapterVersion]
    grant_attempts: list[str]
    grant_holders: list[str]
    condemned: list[AdapterVersion]
