"""Connector to endpoints that connects directly or through another host."""

import random
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.serving.endpoint_paths import OTHERS_TO_TRY
from knapweedbridge_daemon.serving.client_streams import ClientStream
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_client import (
    Connector,
    Destination,
    DirectConnector,
    NotSentError,
)
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.tunnels import Tunnels, TunnelStream

HEDGE_S = 0.1
"""Time after which a tunnel through another host is tried in parallel with a direct
connection that is not established yet; this normally takes a few milliseconds."""

RETRY_INTERVAL_S = 0.5
"""Interval between retries of unreachable paths."""

UNCERTAIN_RETRY_INTERVAL_S = 0.1
"""Retry interval while it is uncertain which paths are unreachable."""


@dataclass(slots=True, eq=False)
class DirectAttempt:
    """Attempt to connect directly, which continues if its call stops waiting.

    Parameters
    ----------
    destination : Destination
        Endpoint to connect to.
    done : Event
        Set once the attempt has succeeded or failed.
    stream : ClientStream or None
        Connection, until it is used or added to the pool.
    error : NotSentError or None
        Reason for a failure.
    is_awaited : bool
        Whether the caller of the attempt is still waiting for it.
    is_reached : bool
        Whether another host had reached the endpoint before the attempt started.
    """

    destination: Destination
    done: anyio.Event = field(default_factory=anyio.Event)
    stream: ClientStream | None = None
    error: NotSentError | None = None
    is_awaited: bool = True
    is_reached: bool = False

    @property
    def has_connected(self) -> bool:
        """Whether the attempt has succeeded."""
        return self.done.is_set() and self.error is None


class EndpointConnector(Connector):
    """Connects directly, or through another host if that fails or is slow.

    Parameters
    ----------
    hub : Hub
        Path states and connection pool of this host.
    tunnels : Tunnels
        Tunnels through other hosts.
    tasks : TaskGroup
        Task group in which direct attempts run.
    """

    def __init__(self, hub: Hub, tunnels: Tunnels, tasks: TaskGroup) -> None:
        self._hub = hub
        self._tunnels = tunnels
        self._tasks = tasks
        self._direct = DirectConnector()
        self._wake = anyio.Event()
        self._checking: set[str] = set()
        self._retrying: set[str] = set()

    def may_reuse_tunnel(self, forwarder: str, address: str) -> bool:
        """See `Connector.may_reuse_tunnel`."""
        return forwarder in self._tunnels.forwarders and self._hub.paths.is_cut(address)

    async def connect(self, destination: Destination) -> ClientStream:
        """See `Connector.connect`."""
        if destination.is_direct:
            return await self._connect_directly(destination)
        if self._hub.paths.is_cut(destination.address):
            # `run` checks independently of calls whether the direct path works again.
            return await self._tunnels.open(destination)
        return await self._connect_either_way(destination)

    async def _connect_directly(self, destination: Destination) -> ClientStream:
        attempt = self._start_attempt(destination)
        if not self._hub.paths.is_cut(destination.address):
            self._tasks.start_soon(self._check_if_slow, attempt)
        try:
            await attempt.done.wait()
            return self._take_stream(attempt)
        finally:
            attempt.is_awaited = False
            self._pool_unused(attempt)

    async def _connect_either_way(self, destination: Destination) -> ClientStream:
        attempt = self._start_attempt(destination)
        try:
            with anyio.move_on_after(HEDGE_S):
                await attempt.done.wait()
            if attempt.stream is None:
                self._hub.paths.record_doubt(destination.address, loop_time_s())
            if attempt.stream is not None or not self._needs_tunnel(destination):
                await attempt.done.wait()
                return self._take_stream(attempt)
            return await self._race(attempt)
        finally:
            attempt.is_awaited = False
            self._pool_unused(attempt)

    def _needs_tunnel(self, destination: Destination) -> bool:
        """Return whether a call that has no connection yet also tries a tunnel."""
        hub, now_s = self._hub, loop_time_s()
        has_failed_recently = hub.crashes.has_recent_failure(
            destination.endpoint, now_s
        )
        return self._may_tunnel(destination) and (
            has_failed_recently or hub.paths.may_be_unlinked(now_s)
        )

    def _may_tunnel(self, destination: Destination) -> bool:
        return self._hub.paths.may_ask(destination.address, loop_time_s())

    async def _race(self, attempt: DirectAttempt) -> ClientStream:
        tunnel: TunnelStream | None = None
        failure: NotSentError | None = None
        async with anyio.create_task_group() as race:
            race.start_soon(self._cancel_when_connected, attempt, race.cancel_scope)
            try:
                tunnel = await self._tunnels.open(attempt.destination)
            except NotSentError as error:
                failure = error
                await attempt.done.wait()
            race.cancel_scope.cancel()
        if attempt.stream is not None:
            if tunnel is not None:
                tunnel.close()
            return self._take_stream(attempt)
        if tunnel is None:
            assert failure is not None and attempt.error is not None
            self._record_unreached(attempt, failure)
            raise NotSentError(f"{attempt.error}; {failure}", failure.is_lost)
        self._tasks.start_soon(self._retry_reached, attempt)
        return tunnel

    @staticmethod
    async def _cancel_when_connected(
        attempt: DirectAttempt, scope: anyio.CancelScope
    ) -> None:
        await attempt.done.wait()
        if attempt.stream is not None:
            scope.cancel()

    def _start_attempt(self, destination: Destination) -> DirectAttempt:
        attempt = DirectAttempt(destination)
        self._tasks.start_soon(self._run_attempt, attempt)
        return attempt

    async def _run_attempt(self, attempt: DirectAttempt) -> None:
        address = attempt.destination.address
        try:
            attempt.stream = await self._direct.connect(attempt.destination)
        except NotSentError as error:
            attempt.error = error
            self._record_failure(attempt)
        else:
            self._record_direct(address)
        attempt.done.set()
        if not attempt.is_awaited:
            self._pool_unused(attempt)

    def _record_failure(self, attempt: DirectAttempt) -> None:
        if attempt.is_reached:
            return  # `_retry_reached` records it.
        address = attempt.destination.address
        if self._hub.paths.is_cut(address):
            self._hub.paths.record_retry_failure(address, loop_time_s())
            self._notify_changes()
        elif attempt.destination.is_direct and attempt.destination.endpoint:
            self._tasks.start_soon(self._check_path, attempt)

    async def _check_if_slow(self, attempt: DirectAttempt) -> None:
        """Check the path of an attempt that is slow, before it has failed."""
        with anyio.move_on_after(HEDGE_S):
            await attempt.done.wait()
        if not attempt.done.is_set():
            await self._check_path(attempt)

    async def _check_path(self, attempt: DirectAttempt) -> None:
        """Check whether another host reaches an endpoint that this one does not."""
        address = attempt.destination.address
        if address in self._checking or not self._may_tunnel(attempt.destination):
            return
        self._checking.add(address)
        try:
            tunnel = await self._tunnels.open(attempt.destination)
        except NotSentError as failure:
            self._record_unreached(attempt, failure)
            return
        finally:
            self._checking.discard(address)
        self._hub.pool.adopt(tunnel, address)
        self._tasks.start_soon(self._retry_reached, attempt)

    async def _retry_reached(self, earlier: DirectAttempt) -> None:
        """Try again to connect to an endpoint that another host has just reached.

        A failure of the earlier attempt alone does not show that the path is cut: no
        other host may have reached the endpoint at that time either.
        """
        address = earlier.destination.address
        if address in self._retrying:
            return
        self._retrying.add(address)
        try:
            retry = self._start_attempt(earlier.destination)
            retry.is_awaited, retry.is_reached = False, True
            with anyio.move_on_after(HEDGE_S):
                await retry.done.wait()
            await earlier.done.wait()
            if earlier.has_connected or retry.has_connected:
                return
            self._record_cut(earlier)
            await retry.done.wait()
            if not retry.has_connected:
                self._record_cut(retry)
        finally:
            self._retrying.discard(address)

    def _record_unreached(self, attempt: DirectAttempt, failure: NotSentError) -> None:
        if failure.is_lost:
            self._hub.paths.record_unreached(attempt.destination.address, loop_time_s())

    @staticmethod
    def _take_stream(attempt: DirectAttempt) -> ClientStream:
        if attempt.stream is None:
            assert attempt.error is not None
            # No other host tried, so it is unknown whether the endpoint is gone.
            raise NotSentError(str(attempt.error), is_lost=False)
        stream, attempt.stream = attempt.stream, None
        return stream

    def _pool_unused(self, attempt: DirectAttempt) -> None:
        """Add an unused connection to the pool."""
        if attempt.stream is not None:
            stream, attempt.stream = attempt.stream, None
            self._hub.pool.adopt(stream, attempt.destination.address)

    def _record_direct(self, address: str) -> None:
        if self._hub.paths.record_direct(address, loop_time_s()):
            self._hub.log.info(
                "path.restored", address=address, still_cut=len(self._hub.paths)
            )
            self._notify_changes()

    def _record_cut(self, attempt: DirectAttempt) -> None:
        destination = attempt.destination
        if self._hub.paths.record_cut(destination.address, loop_time_s()):
            self._hub.metrics.count("paths_cut")
            self._hub.log.info(
                "path.cut",
                endpoint=destination.endpoint,
                address=destination.address,
                cut=len(self._hub.paths),
                error=str(attempt.error),
            )
        self._notify_changes()

    def _notify_changes(self) -> None:
        self._hub.cluster_changed.tell()
        self._wake.set()

    async def run(self) -> None:
        """Retry unreachable paths until cancelled."""
        paths = self._hub.paths
        while True:
            address = paths.next_to_try()
            if address is None:
                self._wake = anyio.Event()
                await self._wake.wait()
                continue
            if paths.may_all_be_cut:
                await self._probe_others()
            await self._probe(Destination(address, is_direct=True))
            are_known = paths.all_confirmed and not paths.may_all_be_cut
            await anyio.sleep(
                RETRY_INTERVAL_S if are_known else UNCERTAIN_RETRY_INTERVAL_S
            )

    async def _probe_others(self) -> None:
        """Try paths that are not known to be cut, as all links may be lost."""
        paths = self._hub.paths
        others = [
            each
            for each in self._hub.cluster.fleet.engines()
            if not paths.is_cut(each.record.address)
        ]
        sample = random.sample(others, min(OTHERS_TO_TRY, len(others)))
        results: list[bool] = []
        async with anyio.create_task_group() as tasks:
            for each in sample:
                destination = Destination(each.record.address, each.name, True)
                tasks.start_soon(self._append_probe, destination, results)
        if not any(results):
            paths.record_other_failures(len(sample))
            self._notify_changes()

    async def _append_probe(
        self, destination: Destination, results: list[bool]
    ) -> None:
        results.append(await self._probe(destination))

    async def _probe(self, destination: Destination) -> bool:
        """Try a direct connection and pool it; return whether it succeeded."""
        attempt = self._start_attempt(destination)
        attempt.is_awaited = False
        await attempt.done.wait()
        return attempt.error is None
