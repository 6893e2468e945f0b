"""What a configuration says of each team, key, adapter, route and endpoint."""

from dataclasses import dataclass

from knapweedbridge_core.names import AdapterVersion


@dataclass(slots=True, frozen=True)
class Adapter:
    """An adapter and the team that owns it."""

    name: str
    team: str
    base_model: str


@dataclass(slots=True, frozen=True)
class Application:
    """A route from an application to an adapter version."""

    name: str
    team: str
    model: AdapterVersion
    priority: str
    non_idempotent: bool


@dataclass(slots=True, frozen=True)
class Service:
    """A plain service reached by path."""

    name: str
    team: str
    path: str
    non_idempotent: bool


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """What the configuration says of an endpoint."""

    name: str
    kind: str
    address: str
    data_centre: str
    base_model: str
    service: str
    slots: int
    batch: int
    checks_fencing: bool


@dataclass(slots=True, frozen=True)
class KeyEntry:
    """What a key may do."""

    name: str
    team: str
    role: str
    hash: str
    requests_per_s: float = 0.0
    concurrent: int = 0


@dataclass(slots=True, frozen=True)
class Team:
    """A team's share and limit."""

    name: str
    share: float
    requests_per_s: float
