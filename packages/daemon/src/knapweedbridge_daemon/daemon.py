"""The daemon: the core with sockets, timers and the platform round it."""

import secrets
import signal
import time
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core import Bridge, events
from knapweedbridge_core.addresses import split_address
from knapweedbridge_core.context import Timing
from knapweedbridge_core.machine_settings import shares_of
from knapweedbridge_core.serving import MemoryBudget
from knapweedbridge_core.settings import Settings
from knapweedbridge_core.timeline import Timeline
from knapweedbridge_daemon.administration import Administration
from knapweedbridge_daemon.body_reading import BodyReader
from knapweedbridge_daemon.callers import CallersApp, FaceBounds
from knapweedbridge_daemon.connections import Bounds, Connections
from knapweedbridge_daemon.draining import Drain, DrainBounds
from knapweedbridge_daemon.driver import Driver
from knapweedbridge_daemon.errors import DaemonError
from knapweedbridge_daemon.etcd_store import EtcdStore
from knapweedbridge_daemon.hosts import HostList, HttpHostList
from knapweedbridge_daemon.metrics import Metrics
from knapweedbridge_daemon.observer import Observer
from knapweedbridge_daemon.own_machine import find_own_machine
from knapweedbridge_daemon.peer_sockets import PeerListener
from knapweedbridge_daemon.peers import Peers
from knapweedbridge_daemon.probes import Prober
from knapweedbridge_daemon.store import KeyValueStore
from knapweedbridge_daemon.tls import CertificateKeeper, open_certificates
from knapweedbridge_daemon.watching import ConfigurationReader
from knapweedbridge_daemon.web import CLOSING_S, make_config, serve_until


class Daemon:
    """One daemon on one entry host.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        values = settings.values
        self._shares = shares_of(values["host"], values["requests"], find_own_machine())
        self._incarnation = time.time_ns()
        self._stop = anyio.Event()
        self.cut_requests = 0

    def stop(self) -> None:
        """Ask the daemon to finish what is in flight and end."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until a signal asks to stop, then finish what is in flight."""
        async with AsyncExitStack() as stack:
            store = self._open_store(stack)
            hosts = self._open_hosts(stack)
            bounds = Bounds.of(self._settings.values["requests"])
            connections = await stack.enter_async_context(Connections(bounds))
            driver = self._make_driver(store, connections)
            driver.prober = Prober()
            stack.push_async_callback(driver.prober.close)
            await self._serve(driver, store, hosts, connections)

    def _open_store(self, stack: AsyncExitStack) -> KeyValueStore:
        url = self._settings.get("platform", "key_value")
        store = EtcdStore(url, self._settings.get("platform", "timeout_s"))
        stack.push_async_callback(store.close)
        return store

    def _open_hosts(self, stack: AsyncExitStack) -> HostList:
        url = self._settings.get("platform", "host_list")
        hosts = HttpHostList(url, self._settings.get("platform", "timeout_s"))
        stack.push_async_callback(hosts.close)
        return hosts

    def _make_driver(self, store: KeyValueStore, connections: Connections) -> Driver:
        settings = self._settings
        timing = Timing(
            settings.get("peers", "silence_s"),
            settings.get("peers", "pool") == "deployment",
        )
        bridge = Bridge(
            settings.host,
            settings.data_centre,
            self._incarnation,
            timing,
            settings.get("listen", "administration"),
        )
        bridge.suspects.lapse_s = settings.get("blame", "lapse_s")
        bridge.suspects.max_suspects = settings.get("blame", "suspects")
        timeline = Timeline(settings.host, settings.get("logs", "timeline_events"))
        metrics = Metrics(settings.get("logs", "statsd"))
        observer = Observer(timeline, metrics, settings.get("logs", "level"))
        return Driver(bridge, store, connections.fresh, observer)

    async def _serve(
        self,
        driver: Driver,
        store: KeyValueStore,
        hosts: HostList,
        connections: Connections,
    ) -> None:
        settings = self._settings
        first_key_hash = settings.get("listen", "first_key_hash")
        requests = settings.values["requests"]
        bounds = DrainBounds(requests["drain_grace_s"], requests["drain_timeout_s"])
        drain = Drain(driver, bounds)
        bodies = BodyReader(MemoryBudget(self._shares.held_bytes))
        administration = Administration(
            driver, store, first_key_hash, partial(_begin_drain, drain), bodies
        ).app()
        face_bounds = FaceBounds(requests["deadline_s"], requests["max_body_bytes"])
        callers = drain.face(CallersApp(driver, connections, face_bounds, bodies))
        # The drain ends the callers' calls by its own bounds, before the servers.
        last_s = bounds.timeout_s + CLOSING_S
        certificates = open_certificates(settings.values["listen"])
        poll_s = settings.get("listen", "certificate_poll_s")
        keeper = CertificateKeeper(certificates, poll_s, driver.record, driver.count)
        faces = {
            "callers": (callers, self._shares.caller_connections),
            "administration": (administration, self._shares.side_connections),
        }
        async with anyio.create_task_group() as background:
            peers = self._make_peers(driver)
            driver.peers = peers
            heartbeat_s = settings.get("peers", "heartbeat_s")
            background.start_soon(driver.run, background, heartbeat_s)
            background.start_soon(self._serve_peers, peers)
            background.start_soon(self._read_hosts, driver, hosts, background)
            background.start_soon(self._make_reader(driver, store).run)
            background.start_soon(self._await_signal, drain)
            background.start_soon(self._await_stop, drain)
            background.start_soon(drain.run)
            background.start_soon(keeper.run)
            driver.record("daemon.started")
            async with anyio.create_task_group() as tasks:
                for name, (app, most) in faces.items():
                    address = settings.get("listen", name)
                    config = make_config(address, last_s, certificates)
                    tasks.start_soon(serve_until, app, config, drain.closed, most)
            await drain.hand_over()
            self.cut_requests = drain.cut_requests
            driver.record("daemon.stopped")
            background.cancel_scope.cancel()

    def _make_peers(self, driver: Driver) -> Peers:
        path = self._settings.get("peers", "secret_file")
        secret = Path(path).read_bytes().strip() if path else secrets.token_bytes(32)
        silence_s = self._settings.get("peers", "silence_s")
        host, incarnation = self._settings.host, self._incarnation
        return Peers(host, secret, silence_s, driver.submit, incarnation, driver.clock)

    async def _serve_peers(self, peers: Peers) -> None:
        ip, port = split_address(self._settings.get("listen", "peers"))
        listener = PeerListener(self._shares.unproven_peers)
        await listener.listen(ip, port)
        await listener.serve(peers.serve)

    async def _read_hosts(
        self, driver: Driver, hosts: HostList, tasks: TaskGroup
    ) -> None:
        while True:
            try:
                listed = await hosts.read()
            except DaemonError:
                driver.count("platform.host_list_failed")
                driver.note_platform("host_list", False)
            else:
                driver.note_platform("host_list", True)
                addresses = {
                    host.name: host.address for host in listed if host.kind == "daemon"
                }
                assert driver.peers is not None
                driver.peers.know(tasks, addresses)
                await driver.submit(events.HostsListed(listed))
            await anyio.sleep(self._settings.get("platform", "poll_s"))

    def _make_reader(self, driver: Driver, store: KeyValueStore) -> ConfigurationReader:
        platform = self._settings.values["platform"]
        return ConfigurationReader(driver, store, platform["watch"], platform["poll_s"])

    @staticmethod
    async def _await_signal(drain: Drain) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                drain.signal()

    async def _await_stop(self, drain: Drain) -> None:
        await self._stop.wait()
        drain.end()


async def _begin_drain(drain: Drain) -> None:
    if not drain.draining:
        drain.signal()
