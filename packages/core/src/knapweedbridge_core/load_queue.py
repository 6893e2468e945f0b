"""Queue of adapter versions that wait to be loaded."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from sortedcontainers import SortedKeyList

from knapweedbridge_core.names import AdapterVersion

EXTRA_WAITER_S = 1.0
DEMAND_TTL_S = 5.0


@dataclass(slots=True)
class DaemonDemand:
    """Requests of one daemon's callers that wait for an adapter version.

    Parameters
    ----------
    waiters : int
        Number of waiting requests.
    since_s : float
        When the oldest began to wait, on this daemon's clock.
    first_deadline_s, last_deadline_s : float
        First and last deadline among them, on this daemon's clock.
    reported_s : float
        When the daemon last reported them.
    """

    waiters: int
    since_s: float
    first_deadline_s: float
    last_deadline_s: float
    reported_s: float


@dataclass(slots=True)
class PendingLoad:
    """An adapter version that requests wait for."""

    model: AdapterVersion
    demands: dict[str, DaemonDemand] = field(default_factory=dict)
    priority: float = 0.0

    @property
    def waiters(self) -> int:
        """Number of waiting requests, over all daemons."""
        return sum(demand.waiters for demand in self.demands.values())

    @property
    def since_s(self) -> float:
        """When the oldest request began to wait."""
        return min(demand.since_s for demand in self.demands.values())


class LoadPriority(ABC):
    """Decides which of the pending adapter versions is loaded first."""

    @abstractmethod
    def key(self, pending: PendingLoad) -> float:
        """Return the sort key; the smallest goes first.

        It must not depend on the current time, so that the queue stays sorted.
        """


class LongestWait(LoadPriority):
    """Loads first what has waited longest."""

    def key(self, pending: PendingLoad) -> float:
        """See `LoadPriority.key`."""
        return pending.since_s


class MostAwaited(LoadPriority):
    """Counts each further waiting request as a longer wait of the first.

    Parameters
    ----------
    extra_waiter_s : float
        Wait added per further request, in seconds. It is finite, so that no version
        starves.
    """

    def __init__(self, extra_waiter_s: float = EXTRA_WAITER_S) -> None:
        self._extra_waiter_s = extra_waiter_s

    def key(self, pending: PendingLoad) -> float:
        """See `LoadPriority.key`."""
        return pending.since_s - self._extra_waiter_s * (pending.waiters - 1)


class LoadQueue:
    """Adapter versions in the order of their loads.

    A change or a rank costs the logarithm of the queue's length.

    Parameters
    ----------
    priority : LoadPriority
        Decides the order.
    """

    def __init__(self, priority: LoadPriority) -> None:
        self._priority = priority
        self._pending: dict[AdapterVersion, PendingLoad] = {}
        self._sorted = SortedKeyList(key=lambda item: (item.priority, item.model))

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, model: AdapterVersion) -> bool:
        return model in self._pending

    def first(self, most: int) -> list[PendingLoad]:
        """Return up to `most` items from the head of the queue."""
        return list(self._sorted[:most])

    def get(self, model: AdapterVersion) -> PendingLoad | None:
        """Return the pending load of an adapter version, or None."""
        return self._pending.get(model)

    def update(
        self, model: AdapterVersion, host: str, demand: DaemonDemand
    ) -> PendingLoad:
        """Add a daemon's demand for an adapter version, or replace its last one."""
        pending = self._pending.setdefault(model, PendingLoad(model))
        if pending.demands:
            self._sorted.discard(pending)
        pending.demands[host] = demand
        pending.priority = self._priority.key(pending)
        self._sorted.add(pending)
        return pending

    def remove(self, model: AdapterVersion) -> PendingLoad | None:
        """Remove and return the pending load of an adapter version, or None."""
        pending = self._pending.pop(model, None)
        if pending is not None:
            self._sorted.discard(pending)
        return pending

    def withdraw(self, model: AdapterVersion, host: str) -> None:
        """Remove one daemon's demand for an adapter version."""
        pending = self._pending.get(model)
        if pending is None or host not in pending.demands:
            return
        self._sorted.discard(pending)
        del pending.demands[host]
        if pending.demands:
            pending.priority = self._priority.key(pending)
            self._sorted.add(pending)
        else:
            del self._pending[model]

    def is_expired(self, pending: PendingLoad, now_s: float) -> bool:
        """Return whether all of its requests are past their deadlines."""
        return all(
            demand.last_deadline_s <= now_s for demand in pending.demands.values()
        )

    def ahead_of(self, pending: PendingLoad) -> int:
        """Return how many adapter versions are loaded before this one."""
        return self._sorted.bisect_left(pending)

    def remove_silent(self, now_s: float) -> None:
        """Remove demands that were not repeated: requests or their daemon are gone."""
        for model, pending in list(self._pending.items()):
            for host, demand in list(pending.demands.items()):
                if now_s - demand.reported_s > DEMAND_TTL_S:
                    self.withdraw(model, host)
