"""Who lives: the platform's list corrected by what daemons tell each other."""

import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from knapweedbridge_core import rendezvous
from knapweedbridge_core.events import ListedHost
from knapweedbridge_core.rings import Rings


class Status(IntEnum):
    """What is known of a daemon; of one number, the higher word counts."""

    UNKNOWN = 0
    ALIVE = 1
    DRAINING = 2
    DEAD = 3


class MemberState(NamedTuple):
    """The word on one daemon, as it travels.

    Parameters
    ----------
    host : str
        Name of the daemon.
    incarnation : int
        Number of its start.
    refuted : int
        How often this start refuted that it was dead.
    status : int
        A `Status`.
    """

    host: str
    incarnation: int
    refuted: int
    status: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two words on a daemon the one of higher rank counts."""
        return self.incarnation, self.refuted, self.status


@dataclass(slots=True)
class Member:
    """What is known of another daemon."""

    name: str
    data_centre: str
    address: str
    state: MemberState
    listed: bool = True
    generation: int = 0

    @property
    def is_alive(self) -> bool:
        """Whether it lives."""
        return self.state.status in (Status.ALIVE, Status.DRAINING)

    @property
    def draining(self) -> bool:
        """Whether it takes nothing new."""
        return self.state.status == Status.DRAINING

    @property
    def incarnation(self) -> int:
        """Number of its start."""
        return self.state.incarnation


def _checksum(state: MemberState) -> int:
    text = f"{state.host} {state.incarnation} {state.refuted} {state.status}"
    return zlib.crc32(text.encode())


class Members:
    """The daemons of the pool as this one sees them.

    Parameters
    ----------
    host, data_centre : str
        Who this daemon is and where it stands.
    whole_deployment : bool
        Whether the pool is all data centres of the list, or only its own.

    Attributes
    ----------
    version : int
        Changes with every change of a member, for what is computed from them.
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
        self._choices_key = (0, False, False)
        self._available: dict[str | None, list[str]] = {}
        self.version = 0
        self.draining = False
        self.is_stale = False
        self.refusing = False

    def listed(self, hosts: tuple[ListedHost, ...]) -> list[Member]:
        """Take the platform's list, and return who is new on it."""
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

    def take(self, state: MemberState) -> bool:
        """Take a word on a member, and return whether it changed anything."""
        member = self._members.get(state.host)
        if member is None or state.rank <= member.state.rank:
            return False
        was_linked = member.is_alive
        self._digest ^= _checksum(member.state) if was_linked else 0
        member.state = MemberState(*state)
        self._digest ^= _checksum(member.state) if member.is_alive else 0
        self.version += 1
        if was_linked != member.is_alive:
            self._neighbours = None
        if not member.is_alive and not member.listed:
            del self._members[state.host]
        return True

    def neighbours(self) -> list[str]:
        """Name the few members this daemon exchanges heartbeats with."""
        if self._neighbours is None:
            dead = Status.DEAD
            names = [m.name for m in self._members.values() if m.state.status != dead]
            self._neighbours = self._rings.neighbours(names)
        return self._neighbours

    def states(self) -> list[MemberState]:
        """Return the word on each other member."""
        return [
            member.state
            for member in self._members.values()
            if member.state.status != Status.UNKNOWN
        ]

    def digest(self, own: MemberState) -> int:
        """Return a checksum that members who agree on who lives have in common."""
        return self._digest ^ _checksum(own)

    def peers(self) -> list[Member]:
        """Return the other members that live."""
        return [member for member in self._members.values() if member.is_alive]

    def known(self) -> list[Member]:
        """Return all other members, whether they live or not."""
        return list(self._members.values())

    def choose(self, role: str, data_centre: str | None = None) -> str | None:
        """Name the daemon that rendezvous hashing gives a role, or None.

        Computed when the members change, not at each call: roles are looked up
        at every tick and message, and the pool is the unit that may grow.
        """
        self._forget_old_choices()
        key = (role, data_centre)
        if key not in self._choices:
            names = self.available(data_centre)
            self._choices[key] = rendezvous.choose(role, names)
        return self._choices[key]

    def available(self, data_centre: str | None = None) -> list[str]:
        """Name the daemons that may take a role, this one among them.

        A daemon that is unsure of what it knows, as after a pause, does not
        name itself.
        """
        self._forget_old_choices()
        if data_centre not in self._available:
            self._available[data_centre] = self._name_available(data_centre)
        return list(self._available[data_centre])

    def _forget_old_choices(self) -> None:
        key = (self.version, self.is_stale, self.draining)
        if key != self._choices_key:
            self._choices_key = key
            self._choices.clear()
            self._available.clear()

    def _name_available(self, data_centre: str | None) -> list[str]:
        names = [
            member.name
            for member in self._members.values()
            if member.state.status == Status.ALIVE
            and data_centre in (None, member.data_centre)
        ]
        busy = self.draining or self.is_stale
        if not busy and data_centre in (None, self._data_centre):
            names.append(self._host)
        return names
