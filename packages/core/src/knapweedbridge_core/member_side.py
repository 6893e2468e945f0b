"""The member: heartbeats with its neighbours, and the news of who lives."""

from knapweedbridge_core import events, messages
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.deltas import Deltas
from knapweedbridge_core.failure_detector import FailureDetector
from knapweedbridge_core.members import Member, MemberState, Status

SYNC_PAUSE_S = 5.0
SYNC_WAIT_S = 2.0
REVISIT_S = 2.0
ASK_GENERATIONS_S = 0.2


class MemberSide(Side):
    """Keeps the members of the shared context."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._own = MemberState(context.host, context.incarnation, 0, Status.ALIVE)
        self._deltas = Deltas()
        self._suspicions = FailureDetector(context, self._declare_dead)
        self._ticked_s: float | None = None
        self._differs_since_s: float | None = None
        self._synced_s = -SYNC_PAUSE_S
        self._unsure_until_s = 0.0
        self._revisited_s = 0.0
        self._revisits = 0
        self._generations_asked_s = -ASK_GENERATIONS_S

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.DrainStarted: self._drain_began,
            events.DrainGraceEnded: self._drain_closed,
            events.GenerationApplied: self._generation_taken,
            events.GenerationsRequested: self._generations_asked,
            events.HostsListed: self._hosts_listed,
            events.PeerConnected: self._peer_linked,
            events.PeerDisconnected: self._peer_unlinked,
            events.PeerMessage: self._peer_heard,
            messages.Heartbeat: self._heartbeat,
            messages.MembersRequest: self._members_ask,
            messages.MemberList: self._members_told,
            messages.IndirectProbeRequest: self._suspicions.asked,
            messages.IndirectProbeResponse: self._suspicions.told,
            messages.ProbeRequest: self._probe_ask,
        }

    def _tick(self, event: events.Tick) -> None:
        self._notice_pause()
        self._beat(self._context.members.neighbours())
        self._deltas.discard_sent(self._context.members.neighbours())
        self._suspicions.tick(self._context.members.neighbours())
        self._settle()
        self._revisit_dead()

    def _notice_pause(self) -> None:
        # A process that was stopped wakes with its old knowledge: meanwhile it
        # was taken for dead, and others took its roles. It shows as a jump of
        # its own clock between two ticks.
        now_s, last_s = self._context.now_s, self._ticked_s
        self._ticked_s = now_s
        if last_s is None or now_s - last_s <= self._context.silence_s:
            return
        self._context.record("daemon.paused", pause_s=round(now_s - last_s, 3))
        self._suspicions.excuse_all(now_s)
        if self._context.members.known():
            self._become_unsure()

    def _become_unsure(self) -> None:
        self._context.members.is_stale = True
        self._unsure_until_s = self._context.now_s + SYNC_WAIT_S
        for host in self._context.members.neighbours():
            self._context.send(host, messages.MembersRequest())

    def _settle(self) -> None:
        members = self._context.members
        isolated = self._suspicions.isolated
        if isolated != self._context.isolated:
            self._context.isolated = isolated
            self._context.record("daemon.isolated" if isolated else "daemon.rejoined")
        waiting = self._context.now_s < self._unsure_until_s
        members.is_stale = isolated or (members.is_stale and waiting)

    def _beat(self, hosts: list[str], *extra: MemberState) -> None:
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

    def _drain_began(self, event: events.DrainStarted) -> None:
        self._context.members.draining = True
        self._own = self._own._replace(status=int(Status.DRAINING))
        self._deltas.add(self._own)
        self._context.record("daemon.draining")
        self._beat(self._context.members.neighbours())

    def _drain_closed(self, event: events.DrainGraceEnded) -> None:
        self._context.members.refusing = True

    def _generation_taken(self, event: events.GenerationApplied) -> None:
        self._beat(self._context.members.neighbours())

    def _generations_asked(self, event: events.GenerationsRequested) -> None:
        # Heartbeats tell of the neighbours alone; the others are asked only
        # while an operator looks, so that nothing grows with the pool else.
        if self._context.now_s - self._generations_asked_s < ASK_GENERATIONS_S:
            return
        self._generations_asked_s = self._context.now_s
        newest = self._context.configuration.generation
        members = self._context.members
        behind = [peer.name for peer in members.peers() if peer.generation < newest]
        for host in set(behind) - set(members.neighbours()):
            self._context.send(host, messages.ProbeRequest())

    def _hosts_listed(self, event: events.HostsListed) -> None:
        first = not self._context.members.known()
        new = self._context.members.listed(event.hosts)
        if first and new:
            self._become_unsure()
        self._context.leaving.listed = {
            host.name
            for host in event.hosts
            if host.kind == "endpoint" and host.leaving
        }

    def _peer_linked(self, event: events.PeerConnected) -> None:
        member = self._context.members.get(event.host)
        if member is not None and member.state.status == Status.UNKNOWN:
            self._take(MemberState(member.name, 0, 0, Status.ALIVE))
        self._context.record("peer.linked", peer=event.host)

    def _peer_unlinked(self, event: events.PeerDisconnected) -> None:
        self._context.record("peer.unlinked", peer=event.host)
        member = self._context.members.get(event.host)
        if member is not None and member.is_alive:
            self._suspicions.open(event.host)

    def _peer_heard(self, event: events.PeerMessage) -> None:
        self._suspicions.heard(event.host)
        self._context.receive(event.host, event.message)

    def _heartbeat(self, message: messages.Heartbeat) -> None:
        status = Status.DRAINING if message.draining else Status.ALIVE
        own_word = MemberState(
            message.host, message.incarnation, message.refuted, int(status)
        )
        self._take(own_word)
        for state in message.states:
            self._take(MemberState(*state))
        member = self._context.members.get(message.host)
        if member is None:
            return
        member.generation = message.generation
        if member.state.rank > own_word.rank and not member.is_alive:
            self._beat([message.host], member.state)
        self._compare(message)

    def _compare(self, message: messages.Heartbeat) -> None:
        """Ask for all members where news was missed, which a checksum shows."""
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

    def _members_ask(self, message: messages.MembersRequest) -> None:
        states = [self._own, *self._context.members.states()]
        self._beat([self._context.sender])
        self._context.send(self._context.sender, messages.MemberList(states))

    def _members_told(self, message: messages.MemberList) -> None:
        for state in message.states:
            self._take(MemberState(*state))
        self._context.members.is_stale = self._context.isolated

    def _probe_ask(self, message: messages.ProbeRequest) -> None:
        self._beat([self._context.sender])

    def _take(self, state: MemberState) -> None:
        if state.host == self._context.host:
            self._refute(state)
            return
        member = self._context.members.get(state.host)
        was_linked = member is not None and member.is_alive
        if not self._context.members.take(state):
            return
        self._deltas.add(state)
        is_linked = member is not None and member.is_alive
        if was_linked != is_linked:
            self._context.record(
                "member.alive" if is_linked else "member.dead", member=state.host
            )
        if is_linked:
            self._suspicions.excuse(state.host)

    def _refute(self, state: MemberState) -> None:
        """Outbid a word on this daemon that is not its own."""
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
            self._take(member.state._replace(status=int(Status.DEAD)))

    def _revisit_dead(self) -> None:
        # After a partition both sides hold each other for dead, and no
        # neighbour crosses the gap; one listed member a while is tried again.
        if self._context.now_s - self._revisited_s < REVISIT_S:
            return
        self._revisited_s = self._context.now_s
        lost = [member for member in self._context.members.known() if _is_lost(member)]
        if lost:
            self._revisits += 1
            member = lost[self._revisits % len(lost)]
            self._beat([member.name], member.state)


def _is_lost(member: Member) -> bool:
    return member.listed and member.state.status == Status.DEAD
