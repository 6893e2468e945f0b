"""Heartbeats with the neighbours, and the spread of membership updates."""

from knapweedbridge_core import events, messages
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.deltas import Deltas
from knapweedbridge_core.failure_detector import FailureDetector
from knapweedbridge_core.members import Member, MemberState, Status

SYNC_PAUSE_S = 5.0
SYNC_WAIT_S = 2.0
DEAD_PROBE_INTERVAL_S = 2.0
GENERATION_PROBE_INTERVAL_S = 0.2


class MemberSide(Side):
    """Maintain the members of the shared context.

    Parameters
    ----------
    context : Context
        State shared with the other sides.
    """

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._own = MemberState(context.host, context.incarnation, 0, Status.ALIVE)
        self._deltas = Deltas()
        self._detector = FailureDetector(context, self._declare_dead)
        self._ticked_s: float | None = None
        self._differs_since_s: float | None = None
        self._synced_s = -SYNC_PAUSE_S
        self._stale_until_s = 0.0
        self._dead_probed_s = 0.0
        self._dead_probes = 0
        self._probed_s = -GENERATION_PROBE_INTERVAL_S

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.DrainStarted: self._drain_started,
            events.DrainGraceEnded: self._drain_grace_ended,
            events.GenerationApplied: self._generation_applied,
            events.GenerationsRequested: self._generations_requested,
            events.HostsListed: self._hosts_listed,
            events.PeerConnected: self._peer_connected,
            events.PeerDisconnected: self._peer_disconnected,
            events.PeerMessage: self._peer_message,
            messages.Heartbeat: self._heartbeat,
            messages.MembersRequest: self._members_request,
            messages.MemberList: self._member_list,
            messages.IndirectProbeRequest: self._detector.handle_request,
            messages.IndirectProbeResponse: self._detector.handle_response,
            messages.ProbeRequest: self._probe_request,
        }

    def _tick(self, event: events.Tick) -> None:
        self._detect_pause()
        self._send_heartbeats(self._context.members.neighbours())
        self._deltas.discard_sent(self._context.members.neighbours())
        self._detector.tick(self._context.members.neighbours())
        self._update_stale()
        self._probe_dead()

    def _detect_pause(self) -> None:
        # A process that was stopped resumes with stale knowledge: the others may
        # have declared it dead and taken over its roles. The pause shows as a jump
        # of the daemon's own clock between two ticks.
        now_s, last_s = self._context.now_s, self._ticked_s
        self._ticked_s = now_s
        if last_s is None or now_s - last_s <= self._context.silence_s:
            return
        self._context.record("daemon.paused", pause_s=round(now_s - last_s, 3))
        self._detector.reset_all(now_s)
        if self._context.members.known():
            self._mark_stale()

    def _mark_stale(self) -> None:
        self._context.members.is_stale = True
        self._stale_until_s = self._context.now_s + SYNC_WAIT_S
        for host in self._context.members.neighbours():
            self._context.send(host, messages.MembersRequest())

    def _update_stale(self) -> None:
        members = self._context.members
        isolated = self._detector.isolated
        if isolated != self._context.isolated:
            self._context.isolated = isolated
            self._context.record("daemon.isolated" if isolated else "daemon.rejoined")
        waiting = self._context.now_s < self._stale_until_s
        members.is_stale = isolated or (members.is_stale and waiting)

    def _send_heartbeats(self, hosts: list[str], *extra: MemberState) -> None:
        members = self._context.members
        digest = members.digest(self._own)
        for host in hosts:
            states = [*extra, *self._deltas.next(host)]
            heartbeat = messages.Heartbeat(
                self._context.host,
                self._own.incarnation,
                self._context.configuration.generation,
                members.draining,
                self._own.refuted,
                digest,
                states,
            )
            self._context.send(host, heartbeat)

    def _drain_started(self, event: events.DrainStarted) -> None:
        self._context.members.draining = True
        self._own = self._own._replace(status=int(Status.DRAINING))
        self._deltas.add(self._own)
        self._context.record("daemon.draining")
        self._send_heartbeats(self._context.members.neighbours())

    def _drain_grace_ended(self, event: events.DrainGraceEnded) -> None:
        self._context.members.refusing = True

    def _generation_applied(self, event: events.GenerationApplied) -> None:
        self._send_heartbeats(self._context.members.neighbours())

    def _generations_requested(self, event: events.GenerationsRequested) -> None:
        # Heartbeats report the generations of the neighbours only. The other members
        # are probed only while an operator asks, so that the regular traffic does
        # not grow with the pool.
        if self._context.now_s - self._probed_s < GENERATION_PROBE_INTERVAL_S:
            return
        self._probed_s = self._context.now_s
        newest = self._context.configuration.generation
        members = self._context.members
        behind = [peer.name for peer in members.peers() if peer.generation < newest]
        for host in set(behind) - set(members.neighbours()):
            self._context.send(host, messages.ProbeRequest())

    def _hosts_listed(self, event: events.HostsListed) -> None:
        first = not self._context.members.known()
        new = self._context.members.listed(event.hosts)
        if first and new:
            self._mark_stale()
        self._context.leaving.listed = {
            host.name
            for host in event.hosts
            if host.kind == "endpoint" and host.leaving
        }

    def _peer_connected(self, event: events.PeerConnected) -> None:
        member = self._context.members.get(event.host)
        if member is not None and member.state.status == Status.UNKNOWN:
            self._merge(MemberState(member.name, 0, 0, Status.ALIVE))
        self._context.record("peer.linked", peer=event.host)

    def _peer_disconnected(self, event: events.PeerDisconnected) -> None:
        self._context.record("peer.unlinked", peer=event.host)
        member = self._context.members.get(event.host)
        if member is not None and member.is_alive:
            self._detector.suspect(event.host)

    def _peer_message(self, event: events.PeerMessage) -> None:
        self._detector.record_message(event.host)
        self._context.receive(event.host, event.message)

    def _heartbeat(self, message: messages.Heartbeat) -> None:
        status = Status.DRAINING if message.draining else Status.ALIVE
        sender_state = MemberState(
            message.host, message.incarnation, message.refuted, int(status)
        )
        self._merge(sender_state)
        for state in message.states:
            self._merge(MemberState(*state))
        member = self._context.members.get(message.host)
        if member is None:
            return
        member.generation = message.generation
        if member.state.rank > sender_state.rank and not member.is_alive:
            self._send_heartbeats([message.host], member.state)
        self._compare_digest(message)

    def _compare_digest(self, message: messages.Heartbeat) -> None:
        """Request all members where a lasting difference shows missed updates."""
        now_s = self._context.now_s
        if message.digest == self._context.members.digest(self._own):
            self._differs_since_s = None
            return
        if self._differs_since_s is None:
            self._differs_since_s = now_s
        lasting = now_s - self._differs_since_s >= SYNC_WAIT_S
        if lasting and now_s - self._synced_s >= SYNC_PAUSE_S:
            self._synced_s = now_s
            self._context.send(message.host, messages.MembersRequest())

    def _members_request(self, message: messages.MembersRequest) -> None:
        states = [self._own, *self._context.members.states()]
        self._send_heartbeats([self._context.sender])
        self._context.send(self._context.sender, messages.MemberList(states))

    def _member_list(self, message: messages.MemberList) -> None:
        for state in message.states:
            self._merge(MemberState(*state))
        self._context.members.is_stale = self._context.isolated

    def _probe_request(self, message: messages.ProbeRequest) -> None:
        self._send_heartbeats([self._context.sender])

    def _merge(self, state: MemberState) -> None:
        if state.host == self._context.host:
            self._refute(state)
            return
        member = self._context.members.get(state.host)
        was_alive = member is not None and member.is_alive
        if not self._context.members.merge(state):
            return
        self._deltas.add(state)
        is_alive = member is not None and member.is_alive
        if was_alive != is_alive:
            self._context.record(
                "member.alive" if is_alive else "member.dead", member=state.host
            )
        if is_alive:
            self._detector.reset_silence(state.host)

    def _refute(self, state: MemberState) -> None:
        """Override a state of this daemon that outranks its own."""
        if state.rank <= self._own.rank:
            return
        self._own = self._own._replace(
            incarnation=state.incarnation, refuted=state.refuted + 1
        )
        self._deltas.add(self._own)
        self._context.record("daemon.refuted_death", refuted=self._own.refuted)

    def _declare_dead(self, host: str) -> None:
        member = self._context.members.get(host)
        if member is not None:
            self._merge(member.state._replace(status=int(Status.DEAD)))

    def _probe_dead(self) -> None:
        # After a partition each side takes the other for dead, and no neighbour is
        # on the other side; so one listed member that is dead is tried at intervals.
        if self._context.now_s - self._dead_probed_s < DEAD_PROBE_INTERVAL_S:
            return
        self._dead_probed_s = self._context.now_s
        lost = [member for member in self._context.members.known() if _is_lost(member)]
        if lost:
            self._dead_probes += 1
            member = lost[self._dead_probes % len(lost)]
            self._send_heartbeats([member.name], member.state)


def _is_lost(member: Member) -> bool:
    return member.listed and member.state.status == Status.DEAD
