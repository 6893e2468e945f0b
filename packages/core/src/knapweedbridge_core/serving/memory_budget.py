"""One bound in bytes on what a daemon holds for callers, endpoints and peers."""

from dataclasses import dataclass, field
from enum import Enum

SILENT_READER_S = 5.0
"""How long a caller may read nothing while memory is scarce: callers leave a silent
stream after 2 s themselves, and one that stalls for longer has most often gone."""

SCARCE_SHARE = 0.5
"""Part of the budget from which on callers that read nothing are disconnected: the
other half remains for those that read."""

RETRY_AFTER_S = 0.5
"""When a caller that was refused for want of memory should come back."""


class HeldKind(Enum):
    """What memory is held for."""

    BODIES = "bodies"
    RESPONSES = "responses"
    PEERS = "peers"


@dataclass(slots=True)
class _Reader:
    held_bytes: int
    read_s: float


@dataclass(slots=True)
class MemoryBudget:
    """Counts what is held, and tells what must be refused or given up.

    Parameters
    ----------
    limit_bytes : int
        Most that may be held before requests are refused; 0: any amount.
    """

    limit_bytes: int = 0
    _held: dict[HeldKind, int] = field(
        default_factory=lambda: dict.fromkeys(HeldKind, 0)
    )
    _readers: dict[int, _Reader] = field(default_factory=dict)
    _last_reader: int = 0

    @property
    def held_bytes(self) -> int:
        """All that is held."""
        return sum(self._held.values())

    @property
    def is_scarce(self) -> bool:
        """Whether more than half of the budget is used."""
        return 0 < SCARCE_SHARE * self.limit_bytes < self.held_bytes

    def hold(self, kind: HeldKind, size_bytes: int) -> None:
        """Count bytes that are held from now on; below zero, that are held no more."""
        self._held[kind] += size_bytes

    def must_refuse(self, body_bytes: int) -> bool:
        """Tell whether a new request must be refused, by the size of its body."""
        if not self.limit_bytes or not body_bytes:
            return False
        return self.held_bytes + body_bytes > self.limit_bytes

    def begin_write(self, size_bytes: int, now_s: float) -> int:
        """Take that a caller has yet to read some bytes; return its number."""
        self._last_reader += 1
        self._readers[self._last_reader] = _Reader(size_bytes, now_s)
        self.hold(HeldKind.RESPONSES, size_bytes)
        return self._last_reader

    def note_read(self, reader: int, size_bytes: int, now_s: float) -> None:
        """Take that a caller has read some of them."""
        known = self._readers[reader]
        size_bytes = min(size_bytes, known.held_bytes)
        known.held_bytes -= size_bytes
        known.read_s = now_s
        self.hold(HeldKind.RESPONSES, -size_bytes)

    def end_write(self, reader: int) -> None:
        """Take that the caller has read all, or is gone."""
        known = self._readers.pop(reader)
        self.hold(HeldKind.RESPONSES, -known.held_bytes)

    def silent_readers(self, now_s: float) -> list[int]:
        """Return the callers that must be disconnected, the most silent first."""
        if not self.is_scarce:
            return []
        oldest_s = now_s - SILENT_READER_S
        found = [
            (each.read_s, number)
            for number, each in self._readers.items()
            if each.read_s <= oldest_s
        ]
        return [number for _, number in sorted(found)]
