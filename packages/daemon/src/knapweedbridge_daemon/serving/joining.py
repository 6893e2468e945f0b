"""Announces this daemon to the possible holders of its duties."""

import anyio

from knapweedbridge_core.serving import DaemonRecord, Takeover, understands
from knapweedbridge_core.serving.cluster_state import DaemonAnnounced
from knapweedbridge_core.serving.join_messages import DaemonJoined, JoinAcknowledged
from knapweedbridge_core.serving.protocols import PROTOCOL
from knapweedbridge_core.serving.quotas import TAKE_OVER_S
from knapweedbridge_daemon.serving.hub import Hub, Send

ANNOUNCE_INTERVAL_S = 0.2
"""Interval between announcements to a daemon that has not confirmed one."""

CHECK_INTERVAL_S = 0.5
"""Interval between checks for a new term while nothing changes."""


class JoinAnnouncer:
    """Takes over the duties that this daemon has once the store lists it.

    A daemon that the store turns away holds duties by an outdated list until its lease
    ends. It learns of this daemon by the announcement.

    Parameters
    ----------
    hub : Hub
        The state of this daemon.
    send : callable
        Sends a message to a daemon.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._term = 0
        self._began_s = 0.0
        self._incarnations: dict[str, int] = {}

    async def run(self) -> None:
        """Announce each listing of this daemon until cancelled."""
        while True:
            if self._is_new_term():
                self._begin_term()
            silent = self._update()
            message = self._make_announcement()
            for name in silent:
                await self._send(name, message)
            if silent:
                await anyio.sleep(ANNOUNCE_INTERVAL_S)
            else:
                await self._hub.cluster_changed.wait(CHECK_INTERVAL_S)

    def _is_new_term(self) -> bool:
        hub, identity = self._hub, self._hub.identity
        listed = hub.cluster.daemons.get(identity.name)
        return (
            hub.lease.term != self._term
            and hub.known_revision >= hub.lease_revision
            and listed is not None
            and listed.incarnation == identity.incarnation
        )

    def _begin_term(self) -> None:
        hub, now_s = self._hub, anyio.current_time()
        cluster = hub.cluster
        self._term, self._began_s = hub.lease.term, now_s
        self._incarnations = {
            name: cluster.daemons[name].incarnation
            for name in cluster.announcement_recipients(hub.identity.name)
        }
        message = self._make_announcement()
        until_s = {
            name: now_s
            + (
                hub.lease_s
                if understands(cluster.protocol_of(name), message)
                else TAKE_OVER_S
            )
            for name in self._incarnations
        }
        hub.succession.begin_term(self._term, Takeover(until_s, now_s))
        hub.log.info("duties.announced", term=self._term, daemons=sorted(until_s))

    def _make_announcement(self) -> DaemonJoined:
        identity = self._hub.identity
        return DaemonJoined(
            self._term,
            identity.incarnation,
            identity.peers_address,
            identity.data_centre,
            PROTOCOL,
        )

    def _update(self) -> list[str]:
        """Release the daemons that have ended; return those that may still act."""
        now_s, takeover = anyio.current_time(), self._hub.succession.takeover
        for name in takeover.silent(now_s):
            if self._has_ended(name, now_s):
                self._record_release(name, now_s)
        return takeover.silent(now_s)

    def _has_ended(self, name: str, now_s: float) -> bool:
        listed = self._hub.cluster.daemons.get(name)
        if listed is None:
            return self._hub.succession.is_lease_over(now_s)
        return listed.incarnation > self._incarnations[name]

    def _record_release(self, name: str, now_s: float) -> None:
        takeover = self._hub.succession.takeover
        takeover.record_release(name, now_s)
        if not takeover.silent(now_s):
            waited_s = round(now_s - self._began_s, 3)
            self._hub.log.info("duties.taken_over", term=self._term, waited_s=waited_s)

    async def handle(
        self, daemon: str, message: DaemonJoined | JoinAcknowledged
    ) -> None:
        """Handle the announcement of a daemon, or its confirmation."""
        if isinstance(message, DaemonJoined):
            await self._handle_announcement(daemon, message)
        elif message.term == self._term:
            self._record_release(daemon, anyio.current_time())

    async def _handle_announcement(self, daemon: str, message: DaemonJoined) -> None:
        hub = self._hub
        record = DaemonRecord(
            daemon, message.incarnation, message.address, message.data_centre
        )
        now_s = anyio.current_time()
        event = DaemonAnnounced(record, message.protocol, now_s + hub.lease_s)
        if hub.cluster.take(event, now_s):
            hub.log.info("daemon.announced", daemon=daemon)
            hub.cluster_changed.tell()
        answer = JoinAcknowledged(message.term, message.incarnation)
        if hub.cluster.daemons[daemon].incarnation == message.incarnation:
            await self._send(daemon, answer)
