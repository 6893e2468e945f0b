"""Contents of the stand-in key-value service: keys, leases, a bounded history."""

import copy
from collections import deque
from dataclasses import dataclass, field

HISTORY_EVENTS = 4096


@dataclass(slots=True)
class Value:
    """One key's value, as the base64 text in which it came."""

    data: str
    revision: int
    lease: str


@dataclass(slots=True)
class Lease:
    """A lease and when it lapses."""

    ttl_s: float
    ends_s: float


@dataclass(slots=True, frozen=True)
class Change:
    """One change of a key; a removal has no value."""

    revision: int
    key: bytes
    value: Value | None


@dataclass(slots=True)
class Contents:
    """Keys and leases at one revision."""

    values: dict[bytes, Value] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    history: deque[Change] = field(default_factory=lambda: deque(maxlen=HISTORY_EVENTS))
    revision: int = 0
    leases_granted: int = 0

    def copy(self) -> "Contents":
        """Return contents that later changes do not touch."""
        return copy.deepcopy(self)

    def put(self, key: bytes, data: str, lease: str) -> None:
        """Write a key at the present revision."""
        value = Value(data, self.revision, lease)
        self.values[key] = value
        self.history.append(Change(self.revision, key, value))

    def delete(self, key: bytes) -> None:
        """Remove a key at the present revision."""
        if self.values.pop(key, None) is not None:
            self.history.append(Change(self.revision, key, None))

    def grant(self, ttl_s: float, now_s: float) -> str:
        """Make a lease."""
        self.leases_granted += 1
        name = str(7_000_000 + self.leases_granted)
        self.leases[name] = Lease(ttl_s, now_s + ttl_s)
        return name

    def revoke(self, name: str) -> None:
        """End a lease and remove the keys that hang on it."""
        if self.leases.pop(name, None) is None:
            return
        keys = [key for key, value in self.values.items() if value.lease == name]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key)

    def expire(self, now_s: float) -> bool:
        """End the leases that lapsed, and return whether there were any."""
        names = [name for name, lease in self.leases.items() if lease.ends_s <= now_s]
        for name in names:
            self.revoke(name)
        return bool(names)

    def next_lapse_s(self) -> float | None:
        """Return when the next lease lapses."""
        return min((lease.ends_s for lease in self.leases.values()), default=None)

    def compacted(self) -> int:
        """Return the last revision whose changes are forgotten."""
        full = len(self.history) == self.history.maxlen
        return self.history[0].revision if full else 0

    def changes(self, seen: int, first: bytes, end: bytes) -> list[Change]:
        """Return the changes of a range after a revision."""
        found = []
        for change in reversed(self.history):
            if change.revision <= seen:
                break
            if first <= change.key < end:
                found.append(change)
        return found[::-1]
