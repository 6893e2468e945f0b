"""Members of the pool: the platform's list, corrected by what daemons report."""

import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from knapweedbridge_core import rendezvous
from knapweedbridge_core.events import ListedHost
from knapweedbridge_core.rings import Rings


class Status(IntEnum):
    """Status of a daemon; of two states of equal number, the higher status wins."""

    UNKNOWN = 0
    ALIVE = 1
    DRAINING = 2
    DEAD = 3


class MemberState(NamedTuple):
    """State of one daemon, as sent to peers.

    Parameters
    ----------
    host : str
        Name of the daemon.
    incarnation : int
        Number of its start.
    refuted : int
        How often it refuted, since this start, that it was dead.
    status : int
        A `Status`.
    """

    host: str
    incarnation: int
    refuted: int
    status: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Order of the states of a daemon; the highest one holds."""
        return self.incarnation, self.refuted, self.status


@dataclass(slots=True)
class Member:
    """What is known of another daemon.

    Parameters
    ----------
    listed : bool
        Whether the platform's list of hosts names it.
    generation : int
        Generation of the configuration in its last heartbeat.
    """

    name: str
    data_centre: str
    address: str
    state: MemberState
    listed: bool = True
    generation: int = 0

    @property
    def is_alive(self) -> bool:
        """Whether it is alive, draining or not."""
        return self.state.status in (Status.ALIVE, Status.DRAINING)

    @property
    def draining(self) -> bool:
        """Whether it accepts no new work."""
        return self.state.status == Status.DRAINING

    @property
    def incarnation(self) -> int:
        """Number of its start."""
        return self.state.incarnation


def _checksum(state: MemberState) -> int:
    text = f"{state.host} {state.incarnation} {state.refuted} {state.status}"
    return zlib.crc32(text.encode())


class Members:
    """Keep the members of the pool as this daemon sees them.

    Parameters
    ----------
    host, data_centre : str
        Name of this daemon's host and the data centre that it is in.
    whole_deployment : bool
        Whether the pool spans all data centres of the list, or only its own.

    Attributes
    ----------
    version : int
        Incremented with every change of a member, to invalidate what is computed
        from the members.
    draining : bool
        Whether this daemon accepts no new roles.
    is_stale : bool
        Whether this daemon's knowledge of the members may be stale.
    refusing : bool
        Whether this daemon refuses new requests.
    """

    def __init__(
        self, host: str, data_centre: str, whole_deployment: bool = True
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._whole_deployment = whole_deployment
        self._members: dict[str, Member] = {}
        self._rings = Rings(host)
        self._neighbours: list[str] | None = None
        self._digest = 0
        self._choices: dict[tuple[str, str | None], str | None] = {}
        self._cache_key = (0, False, False)
        self._available: dict[str | None, list[str]] = {}
        self.version = 0
        self.draining = False
        self.is_stale = False
        self.refusing = False

    def listed(self, hosts: tuple[ListedHost, ...]) -> list[Member]:
        """Apply the platform's list of hosts, and return the members new on it."""
        daemons = {
            host.name: host
            for host in hosts
            if host.kind == "daemon"
            and host.name != self._host
            and (self._whole_deployment or host.data_centre == self._data_centre)
        }
        before = set(self._members)
        for name, member in list(self._members.items()):
            member.listed = name in daemons
            if not member.listed and not member.is_alive:
                del self._members[name]
        new: list[Member] = []
        for name, host in daemons.items():
            if name not in self._members:
                state = MemberState(name, 0, 0, Status.UNKNOWN)
                self._members[name] = Member(
                    name, host.data_centre, host.address, state
                )
                new.append(self._members[name])
            self._members[name].address = host.address
        self._neighbours = None
        if before != set(self._members):
            self.version += 1
        return new

    def get(self, host: str) -> Member | None:
        """Return a member, or None."""
        return self._members.get(host)

    def merge(self, state: MemberState) -> bool:
        """Adopt a member's state if it is newer, and return whether it was."""
        member = self._members.get(state.host)
        if member is None or state.rank <= member.state.rank:
            return False
        was_alive = member.is_alive
        self._digest ^= _checksum(member.state) if was_alive else 0
        member.state = MemberState(*state)
        self._digest ^= _checksum(member.state) if member.is_alive else 0
        self.version += 1
        if was_alive != member.is_alive:
            self._neighbours = None
        if not member.is_alive and not member.listed:
            del self._members[state.host]
        return True

    def neighbours(self) -> list[str]:
        """Return the few members with which this daemon exchanges heartbeats."""
        if self._neighbours is None:
            dead = Status.DEAD
            names = [m.name for m in self._members.values() if m.state.status != dead]
            self._neighbours = self._rings.neighbours(names)
        return self._neighbours

    def states(self) -> list[MemberState]:
        """Return the known states of the other members."""
        return [
            member.state
            for member in self._members.values()
            if member.state.status != Status.UNKNOWN
        ]

    def digest(self, own: MemberState) -> int:
        """Return a checksum of the live members, equal on all daemons that agree."""
        return self._digest ^ _checksum(own)

    def peers(self) -> list[Member]:
        """Return the other members that are alive."""
        return [member for member in self._members.values() if member.is_alive]

    def known(self) -> list[Member]:
        """Return all other members, alive or not."""
        return list(self._members.values())

    def choose(self, role: str, data_centre: str | None = None) -> str | None:
        """Return the daemon that rendezvous hashing assigns to a role, or None.

        The choice is cached until the members change: roles are looked up at every
        tick and message, and the cost of a computation grows with the pool.
        """
        self._invalidate_choices()
        key = (role, data_centre)
        if key not in self._choices:
            names = self.available(data_centre)
            self._choices[key] = rendezvous.choose(role, names)
        return self._choices[key]

    def available(self, data_centre: str | None = None) -> list[str]:
        """Return the daemons that may be assigned a role, this one among them.

        A daemon whose knowledge may be stale, as after a pause, does not include
        itself.
        """
        self._invalidate_choices()
        if data_centre not in self._available:
            self._available[data_centre] = self._compute_available(data_centre)
        return list(self._available[data_centre])

    def _invalidate_choices(self) -> None:
        key = (self.version, self.is_stale, self.draining)
        if key != self._cache_key:
            self._cache_key = key
            self._choices.clear()
            self._available.clear()

    def _compute_available(self, data_centre: str | None) -> list[str]:
        names = [
            member.name
            for member in self._members.values()
            if member.state.status == Status.ALIVE
            and data_centre in (None, member.data_centre)
        ]
        is_excluded = self.draining or self.is_stale
        if not is_excluded and data_centre in (None, self._data_centre):
            names.append(self._host)
        return names
