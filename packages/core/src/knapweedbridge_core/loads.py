"""The order of loads over the deployment, under the weight store's rate."""

from dataclasses import dataclass

from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.messages import LoadPlaced
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.view import View

LOAD_TIMEOUT_S = 5.0
HALF_LIFE_S = 60.0


@dataclass(slots=True)
class _Wanted:
    waiters: int
    since_s: float


@dataclass(slots=True)
class _Use:
    count: float
    at_s: float

    def value(self, now_s: float) -> float:
        return self.count * 0.5 ** ((now_s - self.at_s) / HALF_LIFE_S)


class LoadOrder:
    """Decides which adapter is loaded next, where, and in whose place."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._wanted: dict[AdapterVersion, _Wanted] = {}
        self._under_way: dict[AdapterVersion, tuple[str, float]] = {}
        self._uses: dict[AdapterVersion, _Use] = {}
        self._next_start_s = 0.0

    def wanted(self, model: AdapterVersion, waiters: int, now_s: float) -> None:
        """Note requests that wait for an adapter."""
        wanted = self._wanted.setdefault(model, _Wanted(0, now_s))
        wanted.waiters += waiters
        self.used(model, waiters, now_s)

    def used(self, model: AdapterVersion, requests: int, now_s: float) -> None:
        """Note requests for an adapter, loaded or not."""
        use = self._uses.setdefault(model, _Use(0.0, now_s))
        self._uses[model] = _Use(use.value(now_s) + requests, now_s)

    def ended(self, model: AdapterVersion, loaded: bool) -> None:
        """Note the end of a load."""
        self._under_way.pop(model, None)
        if loaded:
            self._wanted.pop(model, None)

    def waiting(self) -> list[AdapterVersion]:
        """Return the adapter versions that wait for a load."""
        return [model for model in self._wanted if model not in self._under_way]

    def next_loads(
        self,
        endpoints: list[EndpointEntry],
        base_model_of: dict[AdapterVersion, str],
        view: View,
        loads_per_s: float,
        now_s: float,
    ) -> list[LoadPlaced]:
        """Return the loads to start now."""
        self._forget_lost(view, now_s)
        placed: list[LoadPlaced] = []
        waiting = sorted(
            (model for model in self._wanted if model not in self._under_way),
            key=lambda model: self._wanted[model].since_s,
        )
        for model in waiting:
            if now_s < self._next_start_s:
                break
            place = self._place(model, endpoints, base_model_of.get(model), view, now_s)
            if place is None:
                continue
            self._under_way[model] = (place.endpoint, now_s)
            self._next_start_s = max(self._next_start_s, now_s) + 1 / loads_per_s
            placed.append(place)
        return placed

    def _forget_lost(self, view: View, now_s: float) -> None:
        for model in list(self._wanted):
            if view.holders(model):
                del self._wanted[model]
        for model, (_, since_s) in list(self._under_way.items()):
            if now_s - since_s > LOAD_TIMEOUT_S:
                del self._under_way[model]

    def _place(
        self,
        model: AdapterVersion,
        endpoints: list[EndpointEntry],
        base_model: str | None,
        view: View,
        now_s: float,
    ) -> LoadPlaced | None:
        best: tuple[float, int, str, AdapterVersion | None] | None = None
        for entry in endpoints:
            state = view.endpoints.get(entry.name)
            if state is None or entry.base_model != base_model:
                continue
            arriving = {
                held
                for held, (where, _) in self._under_way.items()
                if where == entry.name
            }
            if arriving:
                continue
            victim = self._victim(entry, state.loaded, now_s)
            value = self._value(victim, now_s)
            candidate = (value, state.running, entry.name, victim)
            if best is None or candidate[:3] < best[:3]:
                best = candidate
        if best is None:
            return None
        return LoadPlaced(model, best[2], best[3], self._host)

    def _victim(
        self, entry: EndpointEntry, loaded: set[AdapterVersion], now_s: float
    ) -> AdapterVersion | None:
        if len(loaded) < entry.slots:
            return None
        return min(loaded, key=lambda held: (self._value(held, now_s), held))

    def _value(self, model: AdapterVersion | None, now_s: float) -> float:
        if model is None:
            return -1.0
        use = self._uses.get(model)
        return use.value(now_s) if use else 0.0
