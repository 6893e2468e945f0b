"""The member: peers, the platform's list, the configuration in force."""

from knapweedbridge_core import events, messages
from knapweedbridge_core.actions import SendPeer
from knapweedbridge_core.context import Handler, Side


class MemberSide(Side):
    """Keeps the members and the configuration of the shared context."""

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.DrainBegan: self._drain_began,
            events.ConfigurationRead: self._configuration_read,
            events.HostsListed: self._hosts_listed,
            events.PeerLinked: self._peer_linked,
            events.PeerUnlinked: self._peer_unlinked,
            events.PeerHeard: self._peer_heard,
            messages.Heartbeat: self._heartbeat,
        }

    def _tick(self, event: events.Tick) -> None:
        heartbeat = messages.Heartbeat(
            self._context.host,
            self._context.incarnation,
            self._context.configuration.generation,
            self._context.members.draining,
        )
        for peer in self._context.members.peers():
            self._context.do(SendPeer(peer.name, heartbeat))

    def _drain_began(self, event: events.DrainBegan) -> None:
        self._context.members.draining = True
        self._context.record("daemon.draining")

    def _configuration_read(self, event: events.ConfigurationRead) -> None:
        if event.configuration.generation > self._context.configuration.generation:
            self._context.configuration = event.configuration
            self._context.record(
                "configuration.in_force",
                generation=self._context.configuration.generation,
            )

    def _hosts_listed(self, event: events.HostsListed) -> None:
        self._context.members.listed(event.hosts)
        self._context.leaving = {
            host.name
            for host in event.hosts
            if host.kind == "endpoint" and host.leaving
        }

    def _peer_linked(self, event: events.PeerLinked) -> None:
        self._context.members.linked(event.host, True)
        self._context.record("peer.linked", peer=event.host)

    def _peer_unlinked(self, event: events.PeerUnlinked) -> None:
        self._context.members.linked(event.host, False)
        self._context.record("peer.unlinked", peer=event.host)

    def _peer_heard(self, event: events.PeerHeard) -> None:
        self._context.receive(event.host, event.message)

    def _heartbeat(self, message: messages.Heartbeat) -> None:
        self._context.members.heard(message)
