"""The configuration in force: routes, services and the limits of engines."""

from dataclasses import dataclass, field, replace
from enum import Enum

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving.accounts import Accounts, ClientAccount
from knapweedbridge_core.serving.recent_adapters import RECENT_PER_PLACE

HASH_RANGE = 1 << 64


class CallKind(Enum):
    """How far calls of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class WeightedService:
    """A service that receives a share of a route's calls."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """A rule that sends calls to services within time limits.

    Parameters
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        Host name and path of the calls that it matches; the longest prefix wins.
    kind : CallKind
        How far its calls may be retried.
    services : tuple of WeightedService
        Services that receive its calls.
    timeout_s : float
        Longest time a caller may be kept waiting, in seconds.
    objective_s : float
        Target time to the response, or to a stream's first event, in seconds.
    gap_objective_s : float
        Longest acceptable pause between events of a stream, in seconds; 0: no bound.
    urgency : int
        Priority of its calls; 0 is the highest.
    max_attempts : int
        Maximum number of endpoints that one call may run on.
    resumable : bool
        Whether a stream may be continued on another endpoint.
    public : bool
        Whether its calls need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    gap_objective_s: float = 0.0
    urgency: int = 5
    max_attempts: int = 1
    resumable: bool = False
    public: bool = False

    @property
    def streams_resume(self) -> bool:
        """Whether callers may resume its calls, which are streams."""
        return self.kind is CallKind.STREAM and self.resumable

    @property
    def repeatable(self) -> bool:
        """Whether a call may run more than once."""
        return self.streams_resume or self.kind is CallKind.IDEMPOTENT

    def for_account(self, account: ClientAccount | None) -> "Route":
        """Return the route with the priority that an account's calls have on it."""
        if account is None or account.urgency in (None, self.urgency):
            return self
        return replace(self, urgency=account.urgency)

    def choose_service(self, call_id: str) -> str:
        """Choose the service of a call by weight; the same for the same call id."""
        if len(self.services) == 1:
            return self.services[0].service
        total = sum(each.weight for each in self.services)
        point = score(call_id, self.name) / HASH_RANGE * total
        for each in self.services:
            point -= each.weight
            if point < 0:
                return each.service
        return self.services[-1].service


@dataclass(slots=True, frozen=True)
class BaseModel:
    """A base model that engines of a service may hold.

    Parameters
    ----------
    name : str
        Name of the model.
    weights_mb : float
        Size of its weights.
    load_s : float
        Time to load it from the weight store, in seconds.
    adapters : int
        Number of its adapters.
    """

    name: str
    weights_mb: float
    load_s: float
    adapters: int = 0


@dataclass(slots=True, frozen=True)
class EngineLimits:
    """Capacity of one model engine of a service.

    Parameters
    ----------
    slots : int
        Requests in one batch.
    cache_tokens : int
        Tokens of running requests and cached prompts together.
    adapter_places : int
        Adapter slots, which are also taken by adapters that are being loaded.
    weights_mb : float
        Memory for weights.
    loads_per_s : float
        Loads of base models that the weight store allows over all engines.
    models : dict of str to BaseModel
        Base models of the service.
    """

    slots: int
    cache_tokens: int
    adapter_places: int
    weights_mb: float
    loads_per_s: float
    models: dict[str, BaseModel] = field(default_factory=dict)

    @property
    def recent_adapters(self) -> int:
        """Number of adapters that it keeps in host memory besides those it holds."""
        return RECENT_PER_PLACE * self.adapter_places


@dataclass(slots=True, frozen=True)
class Service:
    """A group of equivalent endpoints; ``engine`` is None for plain endpoints."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineLimits | None = None


@dataclass(slots=True, frozen=True)
class RequestLimits:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True)
class Deployment:
    """One complete version of the configuration.

    Parameters
    ----------
    version : int
        Increases with each change.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        All services by name.
    limits : RequestLimits
        Limits on callers' requests.
    accounts : Accounts or None
        Client accounts; None if calls need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits = RequestLimits()
    accounts: Accounts | None = None
    _by_host: dict[str, list[Route]] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        self._by_host = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a call, or None if no route matches.

        Parameters
        ----------
        host : str
            The call's host name, without a port.
        path : str
            The call's path, without its query.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_account(self, key_digest: str) -> ClientAccount | None:
        """Return the client account that holds a key, or None."""
        return self.accounts.by_key_digest(key_digest) if self.accounts else None

    def is_closed_to(self, route: Route, account: ClientAccount | None) -> bool:
        """Return whether a route rejects a caller that has no valid key."""
        return self.accounts is not None and account is None and not route.public

    def engine_limits(self, service: str) -> EngineLimits | None:
        """Return the capacity of a service's engines; None for a plain service."""
        found = self.services.get(service)
        return found.engine if found else None

    def longest_pauses_s(self) -> dict[str, float]:
        """Return the longest pause in a stream that each service may cause.

        It is the minimum of ``gap_objective_s`` over the routes of a service. A service
        without a route that has such a bound is missing.
        """
        found: dict[str, float] = {}
        for route in self.routes:
            if route.gap_objective_s <= 0:
                continue
            for each in route.services:
                known_s = found.get(each.service, route.gap_objective_s)
                found[each.service] = min(known_s, route.gap_objective_s)
        return found
