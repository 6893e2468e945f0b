"""Who lives: the platform's list corrected by the streams between daemons."""

from dataclasses import dataclass

from knapweedbridge_core.events import ListedHost
from knapweedbridge_core.messages import Heartbeat


@dataclass(slots=True)
class Member:
    """What is known of another daemon."""

    name: str
    data_centre: str
    address: str
    linked: bool = False
    draining: bool = False
    generation: int = 0


class Members:
    """The daemons of the pool as this one sees them."""

    def __init__(self, host: str, data_centre: str) -> None:
        self._host = host
        self._data_centre = data_centre
        self._members: dict[str, Member] = {}
        self.draining = False

    def listed(self, hosts: tuple[ListedHost, ...]) -> None:
        """Take the platform's list."""
        daemons = {
            host.name: host
            for host in hosts
            if host.kind == "daemon" and host.name != self._host
        }
        for name in list(self._members):
            if name not in daemons and not self._members[name].linked:
                del self._members[name]
        for name, host in daemons.items():
            member = self._members.get(name)
            if member is None:
                member = Member(name, host.data_centre, host.address)
                self._members[name] = member
            member.address = host.address

    def linked(self, host: str, linked: bool) -> None:
        """Note that a stream to a peer stands or fell."""
        if host in self._members:
            self._members[host].linked = linked

    def heard(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat."""
        member = self._members.get(heartbeat.host)
        if member is not None:
            member.draining = heartbeat.draining
            member.generation = heartbeat.generation

    def peers(self) -> list[Member]:
        """Return the peers with a stream."""
        return [member for member in self._members.values() if member.linked]

    def known(self) -> list[Member]:
        """Return all peers, with or without a stream."""
        return list(self._members.values())

    def available(self, data_centre: str | None = None) -> list[str]:
        """Name the daemons that may take a role, this one among them."""
        names = [
            member.name
            for member in self._members.values()
            if member.linked
            and not member.draining
            and data_centre in (None, member.data_centre)
        ]
        if not self.draining and data_centre in (None, self._data_centre):
            names.append(self._host)
        return names
