"""The daemons of a large pool, as far as they follow the store."""

from types import SimpleNamespace
from typing import Any

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.serving import DaemonRecord, RetryBudget
from knapweedbridge_core.serving.cluster_state import DaemonNamed
from knapweedbridge_daemon.serving.dialects import DaemonKeys
from knapweedbridge_daemon.serving.endpoint_sweep import EndpointSweep
from knapweedbridge_daemon.serving.hub import Hub, Identity
from knapweedbridge_daemon.serving.lapse_check import LapseCheck
from knapweedbridge_daemon.serving.lease_controller import LeaseController
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_daemon.serving.own_records import pack_daemon
from knapweedbridge_daemon.serving.peer_link import PeerLink
from knapweedbridge_daemon.serving.store_follower import StoreFollower
from knapweedbridge_daemon.serving.store_marks import StoreMarks
from knapweedbridge_standins.relay_pool.store import (
    SERVICE,
    ListedStore,
    PlainItems,
    ReachedStore,
)
from knapweedbridge_standins.relay_pool.wire import PeerWire, WirePeers


class _NoLog:
    def info(self, kind: str, **fields: Any) -> None:
        """Take a line."""

    error = info


class PoolDaemon:
    """One daemon's follower, relaying and marks, put together as its host does.

    Parameters
    ----------
    record : DaemonRecord
        Who it is.
    daemons : list of DaemonRecord
        Who is listed when it begins.
    """

    def __init__(
        self,
        record: DaemonRecord,
        daemons: list[DaemonRecord],
        store: ListedStore,
        wire: PeerWire,
    ) -> None:
        self.name = record.name
        self.hub = self._make_hub(record, store)
        for each in daemons:
            self.hub.cluster.take(DaemonNamed(each), 0.0)
        self.link = PeerLink(self.hub)
        self.link._peers = WirePeers(wire, record.name)  # type: ignore[assignment]
        self.follower = StoreFollower(
            self.hub,
            self.link.subscribe,
            self.link.crashes.record_unlisted,
            self.link.relaying.record_store_changes,
        )
        self.link.on_store_update = self.follower.heard
        wire.hear(record.name, self.link._dispatch)

    @staticmethod
    def _make_hub(record: DaemonRecord, store: ListedStore) -> Hub:
        dialects: Any = SimpleNamespace(
            store=ReachedStore(store, record.name),
            store_items=PlainItems(),
            daemon_keys=DaemonKeys(),
        )
        log: Any = _NoLog()
        return Hub(
            Identity(record.name, 1, record.data_centre, record.address),
            dialects,
            RetryBudget(0.2, 50, 10),
            log,
            MetricsRegistry(),
            steady_s=anyio.current_time,
        )

    def start(self, tasks: TaskGroup) -> None:
        """Follow the store until the tasks are cancelled."""
        marks = StoreMarks(self.hub, self.link.send)
        sweep = EndpointSweep(self.hub, self.link)
        check = LapseCheck(self.hub)
        for work in (self.follower.run, self.link.relaying.run, marks.run, sweep.run):
            tasks.start_soon(work)
        tasks.start_soon(check.run)

    def keep_lease(self, tasks: TaskGroup) -> None:
        """Hold a lease until the tasks are cancelled."""
        tasks.start_soon(LeaseController(self.hub, self.follower).run)

    def knows_leaving(self, name: str) -> bool:
        """Tell whether it knows that an endpoint leaves."""
        endpoint = self.hub.cluster.fleet.endpoints.get(name)
        return endpoint is not None and endpoint.record.leaving

    def uses(self, name: str) -> bool:
        """Tell whether it may send new calls to an endpoint."""
        in_use = self.hub.cluster.fleet.of_service(SERVICE, anyio.current_time())
        return any(endpoint.name == name for endpoint in in_use)


class RelayPool:
    """A pool of daemons before one store.

    Parameters
    ----------
    tasks : TaskGroup
        Runs all of it.
    records : list of DaemonRecord
        All that are listed.
    played : set of str, optional
        Those that are played; all by default.

    Attributes
    ----------
    daemons : dict of str to PoolDaemon
        Those that are played, by name.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        records: list[DaemonRecord],
        played: set[str] | None = None,
    ) -> None:
        self.store = ListedStore()
        self.wire = PeerWire(tasks)
        self.records = {each.name: each for each in records}
        self.daemons: dict[str, PoolDaemon] = {}
        for record in records:
            self.list_daemon(record.name)
        for record in records:
            if played is None or record.name in played:
                daemon = PoolDaemon(record, records, self.store, self.wire)
                daemon.start(tasks)
                self.daemons[record.name] = daemon

    def list_daemon(self, name: str) -> None:
        """Write a daemon's record."""
        self.store.put(DaemonKeys().daemon(name), pack_daemon(self.records[name]))

    def unlist_daemon(self, name: str) -> None:
        """Take a daemon's record away, as where its lease lapsed."""
        self.store.put(DaemonKeys().daemon(name), None)

    async def change(self, times_per_s: float) -> None:
        """Write entries of other endpoints until cancelled."""
        number = 0
        while times_per_s:
            await anyio.sleep(1 / times_per_s)
            number += 1
            self.store.list_endpoint(f"b{number % 60}")
