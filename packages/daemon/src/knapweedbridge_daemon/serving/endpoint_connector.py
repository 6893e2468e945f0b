"""Opens connections to endpoints, by this host's links or through another host."""

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
"""Time after which another host is asked beside a direct connection that does not stand
yet; it takes some milliseconds."""

TRY_S = 0.5
"""Pause between looks whether paths that are cut are back."""

TRY_SOON_S = 0.1
"""The same while it is not sure yet which paths are cut."""


@dataclass(slots=True, eq=False)
class DirectAttempt:
    """One direct connection on its way, which outlives a call that waits no more.

    Parameters
    ----------
    stream : ClientStream or None
        The connection, while nobody has taken it.
    error : NotSentError or None
        Why there is none.
    is_awaited : bool
        Whether the one that began it still waits.
    is_reached : bool
        Whether another host reached the endpoint meanwhile.
    """

    destination: Destination
    done: anyio.Event = field(default_factory=anyio.Event)
    stream: ClientStream | None = None
    error: NotSentError | None = None
    is_awaited: bool = True
    is_reached: bool = False


class EndpointConnector(Connector):
    """Connects directly, and through another host where that does not stand.

    Parameters
    ----------
    hub : Hub
        The paths of this host, and its pool of connections.
    tunnels : Tunnels
        To other hosts.
    tasks : TaskGroup
        Runs direct attempts to their end.
    """

    def __init__(self, hub: Hub, tunnels: Tunnels, tasks: TaskGroup) -> None:
        self._hub = hub
        self._tunnels = tunnels
        self._tasks = tasks
        self._direct = DirectConnector()
        self._wake = anyio.Event()
        self._checked: set[str] = set()

    def may_reuse_tunnel(self, forwarder: str, address: str) -> bool:
        """See `Connector.may_reuse_tunnel`."""
        return forwarder in self._tunnels.forwarders and self._hub.paths.is_cut(address)

    async def connect(self, destination: Destination) -> ClientStream:
        """See `Connector.connect`."""
        if destination.is_direct:
            return await self._connect_directly(destination)
        if self._hub.paths.is_cut(destination.address):
            # Whether the own path is back is looked for beside the calls.
            return await self._tunnels.open(destination)
        return await self._connect_either_way(destination)

    async def _connect_directly(self, destination: Destination) -> ClientStream:
        attempt = self._begin(destination)
        if not self._hub.paths.is_cut(destination.address):
            self._tasks.start_soon(self._check_slow, attempt)
        try:
            await attempt.done.wait()
            return self._take(attempt)
        finally:
            attempt.is_awaited = False
            self._release(attempt)

    async def _connect_either_way(self, destination: Destination) -> ClientStream:
        attempt = self._begin(destination)
        try:
            with anyio.move_on_after(HEDGE_S):
                await attempt.done.wait()
            if attempt.stream is None:
                self._hub.paths.record_doubt(destination.address, loop_time_s())
            if attempt.stream is not None or not self._must_ask(destination):
                await attempt.done.wait()
                return self._take(attempt)
            return await self._race(attempt)
        finally:
            attempt.is_awaited = False
            self._release(attempt)

    def _must_ask(self, destination: Destination) -> bool:
        """Return whether other hosts are asked for what a call does not reach."""
        hub, now_s = self._hub, loop_time_s()
        is_blamed = hub.crashes.has_recent_failure(destination.endpoint, now_s)
        return self._may_ask(destination) and (
            is_blamed or hub.paths.may_be_unlinked(now_s)
        )

    def _may_ask(self, destination: Destination) -> bool:
        return self._hub.paths.may_ask(destination.address, loop_time_s())

    async def _race(self, attempt: DirectAttempt) -> ClientStream:
        tunnel: TunnelStream | None = None
        failure: NotSentError | None = None
        async with anyio.create_task_group() as race:
            race.start_soon(self._end_race, attempt, race.cancel_scope)
            try:
                tunnel = await self._tunnels.open(attempt.destination)
            except NotSentError as error:
                failure = error
                await attempt.done.wait()
            race.cancel_scope.cancel()
        if attempt.stream is not None:
            if tunnel is not None:
                tunnel.close()
            return self._take(attempt)
        if tunnel is None:
            assert failure is not None and attempt.error is not None
            self._note_unreached(attempt, failure)
            raise NotSentError(f"{attempt.error}; {failure}", failure.is_lost)
        attempt.is_reached = True
        if attempt.error is not None:
            self._note_cut(attempt)
        return tunnel

    @staticmethod
    async def _end_race(attempt: DirectAttempt, scope: anyio.CancelScope) -> None:
        await attempt.done.wait()
        if attempt.stream is not None:
            scope.cancel()

    def _begin(self, destination: Destination) -> DirectAttempt:
        attempt = DirectAttempt(destination)
        self._tasks.start_soon(self._try, attempt)
        return attempt

    async def _try(self, attempt: DirectAttempt) -> None:
        address = attempt.destination.address
        try:
            attempt.stream = await self._direct.connect(attempt.destination)
        except NotSentError as error:
            attempt.error = error
            self._note_failure(attempt)
        else:
            self._note_direct(address)
        attempt.done.set()
        if not attempt.is_awaited:
            self._release(attempt)

    def _note_failure(self, attempt: DirectAttempt) -> None:
        address, now_s = attempt.destination.address, loop_time_s()
        if attempt.is_reached:
            self._note_cut(attempt)
        elif self._hub.paths.is_cut(address):
            self._hub.paths.record_retry_failure(address, now_s)
            self._notify_changes()
        elif attempt.destination.is_direct and attempt.destination.endpoint:
            self._tasks.start_soon(self._check, attempt)

    async def _check_slow(self, attempt: DirectAttempt) -> None:
        """Check an attempt that does not stand soon, before it has failed."""
        with anyio.move_on_after(HEDGE_S):
            await attempt.done.wait()
        if not attempt.done.is_set():
            await self._check(attempt)
            if attempt.is_reached:
                # A second opening packet: the first may be lost.
                again = self._begin(attempt.destination)
                again.is_awaited, again.is_reached = False, True

    async def _check(self, attempt: DirectAttempt) -> None:
        """See whether another host reaches what this one does not."""
        address = attempt.destination.address
        if address in self._checked or not self._may_ask(attempt.destination):
            return
        self._checked.add(address)
        try:
            tunnel = await self._tunnels.open(attempt.destination)
        except NotSentError as failure:
            self._note_unreached(attempt, failure)
            return
        finally:
            self._checked.discard(address)
        attempt.is_reached = True
        if attempt.error is not None:
            self._note_cut(attempt)
        self._hub.pool.adopt(tunnel, address)

    def _note_unreached(self, attempt: DirectAttempt, failure: NotSentError) -> None:
        if failure.is_lost:
            self._hub.paths.record_unreached(attempt.destination.address, loop_time_s())

    @staticmethod
    def _take(attempt: DirectAttempt) -> ClientStream:
        if attempt.stream is None:
            assert attempt.error is not None
            # Nobody was asked, so it is not known whether the endpoint is gone.
            raise NotSentError(str(attempt.error), is_lost=False)
        stream, attempt.stream = attempt.stream, None
        return stream

    def _release(self, attempt: DirectAttempt) -> None:
        """Keep a connection that nobody waits for."""
        if attempt.stream is not None:
            stream, attempt.stream = attempt.stream, None
            self._hub.pool.adopt(stream, attempt.destination.address)

    def _note_direct(self, address: str) -> None:
        if self._hub.paths.record_direct(address, loop_time_s()):
            self._hub.log.info(
                "path.restored", address=address, still_cut=len(self._hub.paths)
            )
            self._notify_changes()

    def _note_cut(self, attempt: DirectAttempt) -> None:
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
        """Look whether paths that are cut are back, until cancelled."""
        paths = self._hub.paths
        while True:
            address = paths.next_to_try()
            if address is None:
                self._wake = anyio.Event()
                await self._wake.wait()
                continue
            if paths.may_all_be_cut:
                await self._try_others()
            await self._look(Destination(address, is_direct=True))
            are_known = paths.all_confirmed and not paths.may_all_be_cut
            await anyio.sleep(TRY_S if are_known else TRY_SOON_S)

    async def _try_others(self) -> None:
        """Try endpoints that were not found cut, as all links may be lost."""
        paths = self._hub.paths
        others = [
            each
            for each in self._hub.cluster.fleet.engines()
            if not paths.is_cut(each.record.address)
        ]
        some = random.sample(others, min(OTHERS_TO_TRY, len(others)))
        found: list[bool] = []
        async with anyio.create_task_group() as tasks:
            for each in some:
                destination = Destination(each.record.address, each.name, True)
                tasks.start_soon(self._look_for, destination, found)
        if not any(found):
            paths.record_other_failures(len(some))
            self._notify_changes()

    async def _look_for(self, destination: Destination, found: list[bool]) -> None:
        found.append(await self._look(destination))

    async def _look(self, destination: Destination) -> bool:
        """Try a direct connection, which is kept; return whether it stands."""
        attempt = self._begin(destination)
        attempt.is_awaited = False
        await attempt.done.wait()
        return attempt.error is None
