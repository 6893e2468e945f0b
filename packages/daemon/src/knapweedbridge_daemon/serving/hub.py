"""What the tasks of one serving daemon share."""

import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from knapweedbridge_core.serving import (
    AdmitAll,
    ClusterState,
    CrashLedger,
    EndpointPaths,
    EngineLimits,
    EngineRates,
    LearnedRates,
    LeaseClock,
    LoadTimes,
    MemoryBudget,
    OverloadPolicy,
    QuotaTolerance,
    RetryBudget,
    StoreAge,
    StoreOutage,
    UsualDeadlines,
)
from knapweedbridge_daemon.serving.decision_log import DecisionLog
from knapweedbridge_daemon.serving.dialects import Dialects
from knapweedbridge_daemon.serving.first_byte_timeouts import FirstByteTimeouts
from knapweedbridge_daemon.serving.http_client import ConnectionPool
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry

SETTLE_S = 3.0

Send = Callable[[str, Any], Awaitable[None]]


def suspended_clock_s() -> float:
    """Return a clock that also counts while the host is suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Identity:
    """Who this daemon is."""

    name: str
    incarnation: int
    data_centre: str
    peers_address: str


class ChangeNotifier:
    """Wakes the tasks that wait for a change of what is believed."""

    def __init__(self) -> None:
        # Made where something waits: most changes are told while nothing does.
        self._event: anyio.Event | None = None

    def tell(self) -> None:
        """Wake all that wait."""
        if self._event is not None:
            self._event.set()
            self._event = None

    async def wait(self, longest_s: float) -> None:
        """Wait for a change, or for some seconds."""
        if self._event is None:
            self._event = anyio.Event()
        with anyio.move_on_after(longest_s):
            await self._event.wait()


@dataclass(slots=True)
class Hub:
    """Beliefs, dialects and measures of one daemon.

    Parameters
    ----------
    identity : Identity
        Who it is.
    dialects : Dialects
        How others are spoken to.
    budget : RetryBudget
        Bounds repeated sends.
    log, measures
        Where decisions are told.
    paths : EndpointPaths
        Which endpoints this host cannot reach itself.
    store_age : StoreAge
        How old what is known of the store is, by the clock `steady_s`.
    outage : StoreOutage
        Until when entries that are missing may have lapsed with the store, by the
        event loop's clock.
    lease_revision : int
        The store's revision when the present lease began.
    store_era : int
        The newest era of the store that was heard of; see `store_eras`.
    ends_s : float or None
        When this daemon ends, where it takes no calls that may last longer.
    lease_s : float
        Life of a daemon's lease, in seconds.
    tolerance : QuotaTolerance
        What the operators accept beyond the quotas of client accounts.
    deadlines : UsualDeadlines
        Tells what callers have spent on earlier attempts.
    overload : OverloadPolicy
        What becomes of calls that engines cannot answer in time.
    memory : MemoryBudget
        Bound on what is held for callers.
    first_byte_timeouts : FirstByteTimeouts
        Bounds the patience with attempts that have not begun.
    """

    identity: Identity
    dialects: Dialects
    budget: RetryBudget
    log: DecisionLog
    metrics: MetricsRegistry
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    paths: EndpointPaths = field(default_factory=EndpointPaths)
    cluster: ClusterState = field(default_factory=ClusterState)
    crashes: CrashLedger = field(default_factory=CrashLedger)
    lease: LeaseClock = field(default_factory=LeaseClock)
    load_times: LoadTimes = field(default_factory=LoadTimes)
    rates: EngineRates = field(default_factory=LearnedRates)
    store_age: StoreAge = field(default_factory=StoreAge)
    outage: StoreOutage = field(default_factory=lambda: StoreOutage(SETTLE_S))
    steady_s: Callable[[], float] = suspended_clock_s
    engines_changed: ChangeNotifier = field(default_factory=ChangeNotifier)
    cluster_changed: ChangeNotifier = field(default_factory=ChangeNotifier)
    losses_changed: ChangeNotifier = field(default_factory=ChangeNotifier)
    lease_revision: int = 0
    store_era: int = 0
    draining: bool = False
    ends_s: float | None = None
    synced: bool = False
    lease_s: float = 3.0
    tolerance: QuotaTolerance = QuotaTolerance()
    deadlines: UsualDeadlines = field(default_factory=UsualDeadlines)
    overload: OverloadPolicy = field(default_factory=AdmitAll)
    memory: MemoryBudget = field(default_factory=MemoryBudget)
    first_byte_timeouts: FirstByteTimeouts = field(init=False)

    def __post_init__(self) -> None:
        self.first_byte_timeouts = FirstByteTimeouts(self.cluster, self.steady_s)

    def note_store_era(self, era: int) -> None:
        """Take the era of what the store said; a new one ends all that hung on it.

        A store that came back from an older copy has lost the leases, so another daemon
        may own what this one does. And it may show a record of before, by which this
        daemon would take itself for the owner of what it lost long ago.
        """
        if era <= self.store_era:
            return
        if self.synced:
            self.log.error("store.came_back_older", era=era, before=self.store_era)
            self.metrics.count("store_eras")
            self.lease.record_loss()
            self.lease_revision = sys.maxsize
            self.outage.record_rollback(anyio.current_time())
        self.store_era = era

    @property
    def news_age_s(self) -> float:
        """How old what is known of the store may be, in seconds."""
        return self.store_age.age_s(self.steady_s())

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        known = self.cluster.deployment is not None and self.synced
        return known and not self.draining

    @property
    def daemons(self) -> int:
        """Daemons that are believed to serve, this one among them."""
        return max(1, len(self.cluster.daemons))

    def engine_limits(self, service: str) -> EngineLimits | None:
        """Return what engines of a service hold; None for a plain service."""
        deployment = self.cluster.deployment
        return deployment.engine_limits(service) if deployment else None

    def longest_pause_s(self, service: str) -> float | None:
        """Return the longest pause that a service's streams accept; None: any."""
        deployment = self.cluster.deployment
        return deployment.longest_pauses_s().get(service) if deployment else None
