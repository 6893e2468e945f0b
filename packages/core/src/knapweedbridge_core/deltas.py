"""Membership updates, each piggybacked on a bounded number of heartbeats."""

from collections import Counter
from dataclasses import dataclass, field

from knapweedbridge_core.members import MemberState

MAX_STATES_PER_HEARTBEAT = 8
SENDS_PER_NEIGHBOUR = 2


@dataclass(slots=True)
class _Update:
    state: MemberState
    sends: Counter = field(default_factory=Counter)
    total: int = 0


class Deltas:
    """The queue of membership updates to gossip, the least sent first.

    Each daemon forwards an update to each of its neighbours, so that it reaches
    every member of a pool of any size. The checksum in heartbeats reveals updates
    that were lost.
    """

    def __init__(self) -> None:
        self._updates: dict[str, _Update] = {}

    def add(self, state: MemberState) -> None:
        """Queue the state of a member, in place of an older state of it."""
        self._updates[state.host] = _Update(state)

    def next(self, neighbour: str) -> list[MemberState]:
        """Return the updates for the next heartbeat to a neighbour."""
        if not self._updates:
            return []
        due = [
            update
            for update in self._updates.values()
            if update.sends[neighbour] < SENDS_PER_NEIGHBOUR
        ]
        due.sort(key=lambda update: update.total)
        for update in due[:MAX_STATES_PER_HEARTBEAT]:
            update.sends[neighbour] += 1
            update.total += 1
        return [update.state for update in due[:MAX_STATES_PER_HEARTBEAT]]

    def discard_sent(self, neighbours: list[str]) -> None:
        """Drop updates that were sent often enough to every neighbour."""
        for host, update in list(self._updates.items()):
            if all(update.sends[name] >= SENDS_PER_NEIGHBOUR for name in neighbours):
                del self._updates[host]
