"""The entries of a configuration: teams, keys, adapters, routes and endpoints."""

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
    """A plain HTTP service, addressed by a path prefix."""

    name: str
    team: str
    path: str
    non_idempotent: bool


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """A configured endpoint: a model engine or an instance of a plain service."""

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
    """An API key: its team, its role and its limits."""

    name: str
    team: str
    role: str
    hash: str
    requests_per_s: float = 0.0
    concurrent: int = 0


@dataclass(slots=True, frozen=True)
class Team:
    """A team with its share under overload and its request limit."""

    name: str
    share: float
    requests_per_s: float
