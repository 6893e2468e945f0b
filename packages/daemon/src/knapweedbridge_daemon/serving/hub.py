"""State that the tasks of one serving daemon share."""

import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from knapweedbridge_core.connection_limit import ConnectionLimit
from knapweedbridge_core.serving import (
    AdmitAll,
    BodyIntake,
    ClusterState,
    CrashLedger,
    EndpointPaths,
    EngineLimits,
    EngineRates,
    LearnedRates,
    LeaseClock,
    LoadTimes,
    MemoryBudget,
    OriginTable,
    OverloadPolicy,
    QuotaTolerance,
    RetryBudget,
    StoreAge,
    StoreOutage,
    Succession,
    UsualDeadlines,
)
from knapweedbridge_daemon.serving.clock import least_age_s
from knapweedbridge_daemon.serving.decision_log import DecisionLog
from knapweedbridge_daemon.serving.dialects import Dialects
from knapweedbridge_daemon.serving.first_byte_timeouts import FirstByteTimeouts
from knapweedbridge_daemon.serving.http_client import ConnectionPool
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry

DEFAULT_SETTLE_S = 3.0

Send = Callable[[str, Any], Awaitable[None]]


def suspended_clock_s() -> float:
    """Return the time of a clock that also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Identity:
    """Identity of this daemon."""

    name: str
    incarnation: int
    data_centre: str
    peers_address: str


class ChangeNotifier:
    """Wakes the tasks that wait for a change of the shared state."""

    def __init__(self) -> None:
        # Created by the first waiter, as most changes come while no task waits.
        self._event: anyio.Event | None = None

    def tell(self) -> None:
        """Wake all waiting tasks."""
        if self._event is not None:
            self._event.set()
            self._event = None

    async def wait(self, longest_s: float) -> None:
        """Wait for a change, at most ``longest_s`` seconds."""
        if self._event is None:
            self._event = anyio.Event()
        with anyio.move_on_after(longest_s):
            await self._event.wait()


@dataclass(slots=True)
class Hub:
    """Cluster state, dialects and metrics of one daemon.

    Parameters
    ----------
    identity : Identity
        Identity of the daemon.
    dialects : Dialects
        Protocols of callers, endpoints and the store.
    budget : RetryBudget
        Bound on retries.
    log, measures
        Log of decisions, and counters.
    origins : OriginTable
        Origins of streams that other hosts have recorded here or in the store.
    paths : EndpointPaths
        Endpoints that this host cannot reach directly.
    store_age : StoreAge
        Age of the known state of the store, by the clock `steady_s`.
    outage : StoreOutage
        Until when missing entries may have expired in an outage of the store, by the
        event loop's clock.
    succession : Succession
        When this daemon may take up a duty of another one.
    lease_revision : int
        Revision of the store at the start of the present lease.
    known_revision : int
        Revision of the store up to which its changes are known.
    era_since_s : float or None
        Time of day at which this daemon learnt that the store's era had begun; None: it
        had begun before this daemon read the store.
    store_era : int
        Newest known era of the store; see `store_eras`.
    recorded_era : int
        Newest era whose beginning is recorded in the store.
    ends_s : float or None
        When this daemon ends, once it rejects calls that may last longer.
    lease_s : float
        Duration of a daemon's lease, in seconds.
    tolerance : QuotaTolerance
        Use beyond the quotas of client accounts that operators accept.
    deadlines : UsualDeadlines
        Estimates the time that callers have spent on earlier attempts.
    overload : OverloadPolicy
        Treatment of calls that engines cannot answer in time.
    connections : ConnectionLimit
        Open connections of callers.
    memory : MemoryBudget
        Bound on the memory that is held for callers.
    intake : BodyIntake
        Decides which bodies of requests and responses are received.
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
    origins: OriginTable = field(default_factory=OriginTable)
    cluster: ClusterState = field(default_factory=ClusterState)
    crashes: CrashLedger = field(default_factory=CrashLedger)
    lease: LeaseClock = field(default_factory=LeaseClock)
    succession: Succession = field(default_factory=Succession)
    load_times: LoadTimes = field(default_factory=LoadTimes)
    rates: EngineRates = field(default_factory=LearnedRates)
    store_age: StoreAge = field(default_factory=StoreAge)
    outage: StoreOutage = field(default_factory=lambda: StoreOutage(DEFAULT_SETTLE_S))
    steady_s: Callable[[], float] = suspended_clock_s
    engines_changed: ChangeNotifier = field(default_factory=ChangeNotifier)
    cluster_changed: ChangeNotifier = field(default_factory=ChangeNotifier)
    losses_changed: ChangeNotifier = field(default_factory=ChangeNotifier)
    lease_revision: int = 0
    known_revision: int = 0
    store_era: int = 0
    era_since_s: float | None = None
    recorded_era: int = 0
    draining: bool = False
    ends_s: float | None = None
    synced: bool = False
    lease_s: float = 3.0
    tolerance: QuotaTolerance = QuotaTolerance()
    deadlines: UsualDeadlines = field(default_factory=UsualDeadlines)
    overload: OverloadPolicy = field(default_factory=AdmitAll)
    connections: ConnectionLimit = field(default_factory=ConnectionLimit)
    memory: MemoryBudget = field(default_factory=MemoryBudget)
    intake: BodyIntake = field(init=False)
    first_byte_timeouts: FirstByteTimeouts = field(init=False)

    def __post_init__(self) -> None:
        self.intake = BodyIntake(self.memory)
        self.first_byte_timeouts = FirstByteTimeouts(self.cluster, self.steady_s)

    def note_store_era(self, era: int) -> None:
        """Record the era of a response of the store; a new era ends the lease.

        A store that was restored from an older copy has lost the leases, so another
        daemon may own the engines of this one. It may also show an outdated record, by
        which this daemon would still own an engine that it lost long ago.
        """
        if era <= self.store_era:
            return
        self.succession.record_rollback(anyio.current_time(), self.synced)
        if self.synced:
            self.log.error("store.came_back_older", era=era, before=self.store_era)
            self.metrics.count("store_eras")
            self.lease.record_loss()
            self.lease_revision = sys.maxsize
            self.era_since_s = time.time()
            self.outage.record_rollback(anyio.current_time())
        self.store_era = era

    def record_era(self, era: int, since_s: float) -> None:
        """Record by which time of day an era of the store had begun."""
        self.recorded_era = max(self.recorded_era, era)
        if era == self.store_era:
            now_s = anyio.current_time()
            self.succession.record_era_age(least_age_s(since_s), now_s)

    @property
    def news_age_s(self) -> float:
        """Upper bound on the age of the known state of the store, in seconds."""
        return self.store_age.age_s(self.steady_s())

    def may_coordinate(self) -> bool:
        """Return whether nobody else acts in the duties that this daemon's list gives.

        A daemon that the list lacks waits until it is older than a lease.
        """
        return (
            self.lease.may_order(self.steady_s())
            and self.news_age_s <= self.lease_s
            and self.succession.has_taken_over(self.lease.term, anyio.current_time())
        )

    @property
    def ready(self) -> bool:
        """Whether callers may be routed to this daemon."""
        known = self.cluster.deployment is not None and self.synced
        return known and not self.draining

    @property
    def daemons(self) -> int:
        """Number of daemons that are known to serve, including this one."""
        return max(1, len(self.cluster.daemons))

    def engine_limits(self, service: str) -> EngineLimits | None:
        """Return the capacity of a service's engines; None for a plain service."""
        deployment = self.cluster.deployment
        return deployment.engine_limits(service) if deployment else None

    def longest_pause_s(self, service: str) -> float | None:
        """Return the longest pause that a service's streams accept; None: any."""
        deployment = self.cluster.deployment
        return deployment.longest_pauses_s().get(service) if deployment else None
