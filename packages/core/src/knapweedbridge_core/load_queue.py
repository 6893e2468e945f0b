"""The queue of adapter versions that wait for a load."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from sortedcontainers import SortedKeyList

from knapweedbridge_core.names import AdapterVersion

EXTRA_WAITER_S = 1.0
ASKER_SILENCE_S = 5.0


@dataclass(slots=True)
class DaemonDemand:
    """What one daemon's callers wait for.

    Parameters
    ----------
    waiters : int
        Requests that wait there.
    since_s : float
        When the oldest began to wait, on this daemon's clock.
    first_deadline_s, last_deadline_s : float
        First and last deadline among them, on this daemon's clock.
    reported_s : float
        When it last said so.
    """

    waiters: int
    since_s: float
    first_deadline_s: float
    last_deadline_s: float
    reported_s: float


@dataclass(slots=True)
class Wanted:
    """One adapter version that requests wait for."""

    model: AdapterVersion
    demands: dict[str, DaemonDemand] = field(default_factory=dict)
    place: float = 0.0

    @property
    def waiters(self) -> int:
        """Requests that wait, over all daemons."""
        return sum(demand.waiters for demand in self.demands.values())

    @property
    def since_s(self) -> float:
        """When the oldest request began to wait."""
        return min(demand.since_s for demand in self.demands.values())


class LoadPriority(ABC):
    """Decides which of the waiting adapter versions is loaded first."""

    @abstractmethod
    def place(self, wanted: Wanted) -> float:
        """Return a number; the smallest goes first.

        It must not depend on the time now, so that the queue stays sorted.
        """


class LongestWait(LoadPriority):
    """First come, first loaded."""

    def place(self, wanted: Wanted) -> float:
        """See `LoadPriority.place`."""
        return wanted.since_s


class MostAwaited(LoadPriority):
    """Each further waiter counts as if the first had waited longer.

    Parameters
    ----------
    extra_waiter_s : float
        What a further waiter adds, in seconds; finite, so nobody starves.
    """

    def __init__(self, extra_waiter_s: float = EXTRA_WAITER_S) -> None:
        self._extra_waiter_s = extra_waiter_s

    def place(self, wanted: Wanted) -> float:
        """See `LoadPriority.place`."""
        return wanted.since_s - self._extra_waiter_s * (wanted.waiters - 1)


class LoadQueue:
    """Adapter versions in the order of their loads.

    A change or a rank costs the logarithm of the queue's length.

    Parameters
    ----------
    priority : LoadPriority
        What goes first.
    """

    def __init__(self, priority: LoadPriority) -> None:
        self._priority = priority
        self._wanted: dict[AdapterVersion, Wanted] = {}
        self._sorted = SortedKeyList(key=lambda item: (item.place, item.model))

    def __len__(self) -> int:
        return len(self._wanted)

    def __contains__(self, model: AdapterVersion) -> bool:
        return model in self._wanted

    def first(self, most: int) -> list[Wanted]:
        """Return the head of the queue."""
        return list(self._sorted[:most])

    def get(self, model: AdapterVersion) -> Wanted | None:
        """Return what waits for an adapter version."""
        return self._wanted.get(model)

    def update(self, model: AdapterVersion, host: str, demand: DaemonDemand) -> Wanted:
        """Note what a daemon's callers wait for; a repeat replaces."""
        wanted = self._wanted.setdefault(model, Wanted(model))
        if wanted.demands:
            self._sorted.discard(wanted)
        wanted.demands[host] = demand
        wanted.place = self._priority.place(wanted)
        self._sorted.add(wanted)
        return wanted

    def remove(self, model: AdapterVersion) -> Wanted | None:
        """Take an adapter version out of the queue."""
        wanted = self._wanted.pop(model, None)
        if wanted is not None:
            self._sorted.discard(wanted)
        return wanted

    def withdraw(self, model: AdapterVersion, host: str) -> None:
        """Take back what one daemon asked for."""
        wanted = self._wanted.get(model)
        if wanted is None or host not in wanted.demands:
            return
        self._sorted.discard(wanted)
        del wanted.demands[host]
        if wanted.demands:
            wanted.place = self._priority.place(wanted)
            self._sorted.add(wanted)
        else:
            del self._wanted[model]

    def is_expired(self, wanted: Wanted, now_s: float) -> bool:
        """Tell whether all that wait are past their deadlines."""
        return all(
            demand.last_deadline_s <= now_s for demand in wanted.demands.values()
        )

    def ahead_of(self, wanted: Wanted) -> int:
        """Count the adapter versions that are loaded before this one."""
        return self._sorted.bisect_left(wanted)

    def remove_silent(self, now_s: float) -> None:
        """Drop what nobody repeated: its waiters are gone, or their daemon."""
        for model, wanted in list(self._wanted.items()):
            for host, demand in list(wanted.demands.items()):
                if now_s - demand.reported_s > ASKER_SILENCE_S:
                    self.withdraw(model, host)
