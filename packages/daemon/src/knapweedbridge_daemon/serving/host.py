"""Main object of a daemon that serves by a platform's dialect."""

import signal
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.addresses import split_address
from knapweedbridge_core.connection_limit import ConnectionLimit
from knapweedbridge_core.machine_settings import shares_of
from knapweedbridge_core.serving import (
    AdmitAll,
    MemoryBudget,
    OverdueLast,
    OverloadPolicy,
    QuotaTolerance,
    RetryBudget,
    StoreOutage,
    Succession,
)
from knapweedbridge_daemon.own_machine import find_own_machine
from knapweedbridge_daemon.serving.accepting import accept_connections, listen
from knapweedbridge_daemon.serving.admin_handlers import AdminHandlers
from knapweedbridge_daemon.serving.body_reception import BodyReception
from knapweedbridge_daemon.serving.call_runner import CallRunner
from knapweedbridge_daemon.serving.callers_app import CallersApp
from knapweedbridge_daemon.serving.decision_log import DecisionLog
from knapweedbridge_daemon.serving.dialects import load_dialects
from knapweedbridge_daemon.serving.endpoint_connector import EndpointConnector
from knapweedbridge_daemon.serving.endpoint_sweep import EndpointSweep
from knapweedbridge_daemon.serving.forwarding import TunnelForwarder
from knapweedbridge_daemon.serving.http_server import HttpServer
from knapweedbridge_daemon.serving.hub import Hub, Identity, suspended_clock_s
from knapweedbridge_daemon.serving.lapse_check import LapseCheck
from knapweedbridge_daemon.serving.lease_controller import LeaseController
from knapweedbridge_daemon.serving.memory_guard import MemoryGuard
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_daemon.serving.peer_link import PeerLink
from knapweedbridge_daemon.serving.refusal_records import RefusalRecords
from knapweedbridge_daemon.serving.retry_reserver import RetryReserver
from knapweedbridge_daemon.serving.settings import ServingSettings
from knapweedbridge_daemon.serving.software_records import SoftwareRecords
from knapweedbridge_daemon.serving.store_follower import StoreFollower
from knapweedbridge_daemon.serving.store_marks import StoreMarks
from knapweedbridge_daemon.serving.tunnels import Tunnels

OVERLOAD_POLICIES: dict[str, type[OverloadPolicy]] = {
    "as_others": AdmitAll,
    "last": OverdueLast,
}
"""Overload policies by value of the setting ``[admission] overdue_calls``."""

BACKLOG = 1024
END_MARGIN_S = 0.6
"""Margin before the end of the grace period in which the daemon ends by itself."""

LAST_RESPONSES_S = 0.3
"""Part of that margin in which callers read the responses to aborted calls."""

ACCEPT_CALLS_S = 2.6
"""How long after the stop signal calls of any duration are accepted. The load balancer
needs two health checks, a second apart, to route callers elsewhere, and a call that is
accepted later than 3 s after the signal must end before the daemon does."""


class ServingHost:
    """One daemon with its tasks and connections.

    Parameters
    ----------
    settings : ServingSettings
        Checked settings.
    log_descriptor : int, optional
        File descriptor of the log; standard output by default.
    """

    def __init__(
        self, settings: ServingSettings, log_descriptor: int | None = None
    ) -> None:
        self._settings = settings
        self._log_descriptor = log_descriptor
        values = settings.values
        self._shares = shares_of(values["host"], values["limits"], find_own_machine())

    async def run(self) -> None:
        """Serve until a stop signal, then finish the calls in flight."""
        async with AsyncExitStack() as stack:
            hub = self._make_hub(stack)
            stack.push_async_callback(hub.pool.aclose)
            stack.push_async_callback(hub.dialects.store.close)
            hub.log.open()
            stack.callback(hub.log.close)
            hub.log.info(
                "daemon.started",
                incarnation=hub.identity.incarnation,
                processor_s=round(time.process_time(), 3),
            )
            await self._serve(hub)
            hub.log.info("daemon.stopped")

    def _make_hub(self, stack: AsyncExitStack) -> Hub:
        get = self._settings.get
        identity = Identity(
            get("host", "name"),
            time.time_ns(),
            get("host", "data_centre"),
            get("listen", "peers"),
        )
        dialects = load_dialects(
            get("serving", "dialect"),
            get("store", "address"),
            get("store", "timeout_s"),
        )
        budget = RetryBudget(
            get("limits", "retry_ratio"),
            get("limits", "retry_slack"),
            get("limits", "retry_window_s"),
            suspended_clock_s(),
        )
        log = DecisionLog(
            identity.name,
            get("logs", "level"),
            get("logs", "lines_per_s"),
            self._log_descriptor,
        )
        settle_s = get("store", "settle_ms") / 1000
        lease_s = get("store", "lease_ms") / 1000
        hub = Hub(
            identity,
            dialects,
            budget,
            log,
            MetricsRegistry(),
            outage=StoreOutage(settle_s),
            tolerance=QuotaTolerance(
                get("limits", "quota_window_s"),
                get("limits", "quota_over"),
                get("limits", "quota_slack"),
            ),
            lease_s=lease_s,
            succession=Succession(
                anyio.current_time(), get("engines", "turn_ms") / 1000, lease_s
            ),
            overload=OVERLOAD_POLICIES[get("admission", "overdue_calls")](),
            connections=ConnectionLimit(self._shares.caller_connections),
            memory=MemoryBudget(self._shares.held_bytes),
        )
        hub.cluster.older_version_s = get("engines", "older_version_ms") / 1000
        hub.cluster.fleet.speeds.enabled = get("engines", "learn_speeds") == "yes"
        return hub

    async def _serve(self, hub: Hub) -> None:
        hub.pool.limit = self._shares.endpoint_connections
        link = PeerLink(
            hub,
            round(self._settings.get("limits", "tunnels")),
            self._shares.unproven_peers,
        )
        follower = StoreFollower(
            hub,
            link.subscribe,
            link.crashes.record_unlisted,
            link.relaying.record_store_changes,
        )
        link.on_store_update = follower.heard
        lease = LeaseController(hub, follower, link.owners.stop)
        reserver = RetryReserver(hub)
        app = CallersApp(hub, CallRunner(hub, link, reserver), link.quotas)
        memory_guard = MemoryGuard(hub)
        handle = memory_guard.guard(app.handle)
        server = HttpServer(
            handle,
            app.limits,
            app.count_bad_request,
            app.count_internal_error,
            BodyReception(hub.intake),
            hub.connections,
            app.pack_refusal,
        )
        async with anyio.create_task_group() as callers:
            try:
                async with anyio.create_task_group() as tasks:
                    connector = EndpointConnector(hub, Tunnels(hub), tasks)
                    hub.pool.connector = connector
                    tasks.start_soon(connector.run)
                    await self._listen(callers, hub, server, app)
                    tasks.start_soon(hub.log.run)
                    tasks.start_soon(follower.run)
                    tasks.start_soon(lease.run)
                    tasks.start_soon(lease.claim)
                    tasks.start_soon(lease.create_secret)
                    tasks.start_soon(link.run, tasks, self._address("peers"))
                    tasks.start_soon(link.owners.run, tasks)
                    tasks.start_soon(link.joining.run)
                    tasks.start_soon(link.running.run)
                    tasks.start_soon(link.crashes.run, tasks)
                    tasks.start_soon(link.relaying.run)
                    tasks.start_soon(StoreMarks(hub, link.send).run)
                    tasks.start_soon(EndpointSweep(hub, link).run)
                    tasks.start_soon(LapseCheck(hub).run)
                    versions = link.resuming.versions
                    tasks.start_soon(SoftwareRecords(hub, versions).run)
                    tasks.start_soon(versions.run)
                    tasks.start_soon(link.origins.records.run)
                    tasks.start_soon(link.origins.run)
                    refusals = RefusalRecords(hub, link.crashes.cleared_calls)
                    tasks.start_soon(refusals.run)
                    tasks.start_soon(reserver.run)
                    tasks.start_soon(memory_guard.run)
                    await self._await_stop(hub, lease, server, app, link.forwarding)
                    callers.cancel_scope.cancel()
            except Exception as error:
                app.count_internal_error(error)
                # A cancellation during cleanup must not replace the error.
                with anyio.CancelScope(shield=True):
                    await self._abort_calls(server, app)
                raise

    def _address(self, name: str) -> tuple[str, int]:
        return split_address(self._settings.get("listen", name))

    async def _listen(
        self, callers: TaskGroup, hub: Hub, server: HttpServer, app: CallersApp
    ) -> None:
        admin = AdminHandlers(hub)
        servers = {"callers": server}
        for name, handle in (("ready", admin.ready), ("metrics", admin.metrics)):
            servers[name] = HttpServer(
                handle,
                admin.limits,
                app.count_bad_request,
                app.count_internal_error,
                connections=ConnectionLimit(self._shares.side_connections),
                pack_refusal=app.pack_refusal,
            )
        for name, served in servers.items():
            for each in await listen(*self._address(name), BACKLOG):
                callers.start_soon(
                    accept_connections, each, served, app.record_accept_failure
                )

    async def _await_stop(
        self,
        hub: Hub,
        lease: LeaseController,
        server: HttpServer,
        app: CallersApp,
        forwarding: TunnelForwarder,
    ) -> None:
        """Wait for a stop signal, and finish the calls in flight.

        Signals are handled until that is done. Without a handler the next one, a
        reload or a second stop signal, would end the process at once, and with it all
        responses in flight.
        """
        stop = signal.SIGTERM, signal.SIGINT
        with anyio.open_signal_receiver(*stop, signal.SIGHUP) as signals:
            async for number in signals:
                if number in stop:
                    break
                self._log_signal(hub, number)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._log_signals, hub, signals)
                await self._drain(hub, lease, server, app, forwarding)
                tasks.cancel_scope.cancel()

    async def _log_signals(
        self, hub: Hub, signals: AsyncIterator[signal.Signals]
    ) -> None:
        async for number in signals:
            self._log_signal(hub, number)

    @staticmethod
    def _log_signal(hub: Hub, number: signal.Signals) -> None:
        # Nothing to do: all that can change at run time comes from the store, and the
        # deadline of a daemon that stops is already set.
        hub.log.info("signal.taken", signal=number.name, draining=hub.draining)

    async def _drain(
        self,
        hub: Hub,
        lease: LeaseController,
        server: HttpServer,
        app: CallersApp,
        forwarding: TunnelForwarder,
    ) -> None:
        started_s = anyio.current_time()
        ends_s = started_s + self._settings.get("limits", "grace_s") - END_MARGIN_S
        hub.draining = True
        server.closing = True
        hub.log.info("daemon.draining", running=app.running)
        async with anyio.create_task_group() as tasks:
            handed_over = anyio.Event()
            tasks.start_soon(self._hand_over, lease, handed_over)
            await anyio.sleep_until(started_s + ACCEPT_CALLS_S)
            # Requests that arrive from here on have crossed the closing of their
            # connections, and are rejected if they may outlast this daemon.
            hub.ends_s = ends_s
            while anyio.current_time() < ends_s:
                server.close_idle()
                is_serving = (
                    app.running or server.open_connections or forwarding.tunnels
                )
                if handed_over.is_set() and not is_serving:
                    return
                await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()
        hub.log.error("daemon.cut", running=app.running)
        await self._abort_calls(server, app)

    @staticmethod
    async def _hand_over(lease: LeaseController, handed_over: anyio.Event) -> None:
        await lease.hand_over()
        handed_over.set()

    @staticmethod
    async def _abort_calls(server: HttpServer, app: CallersApp) -> None:
        """Abort all calls, and give callers a moment to read the responses."""
        server.closing = True
        app.end_calls()
        with anyio.move_on_after(LAST_RESPONSES_S):
            while server.open_connections:
                server.close_idle()
                await anyio.sleep(0.02)
