"""Memory budget of a daemon for the data of callers, endpoints and peers."""

from dataclasses import dataclass, field
from enum import Enum

STALLED_READER_S = 5.0
"""How long a caller may read nothing while memory is scarce. Callers disconnect from a
silent stream after 2 s themselves; one that stalls for longer has most likely gone."""

SCARCE_SHARE = 0.5
"""Share of the budget from which on callers that read nothing are disconnected. The
other half remains for those that read."""

RETRY_AFTER_S = 0.5
"""Retry-After of requests that were rejected for lack of memory."""


class HeldKind(Enum):
    """What memory is used for."""

    INCOMPLETE = "incomplete"
    BODIES = "bodies"
    RESPONSES = "responses"
    PEERS = "peers"


@dataclass(slots=True)
class _Reader:
    held_bytes: int
    read_s: float


@dataclass(slots=True)
class MemoryBudget:
    """Counts memory in use, and decides what to reject or disconnect.

    Parameters
    ----------
    limit_bytes : int
        Most memory in use before requests are rejected; 0: no limit.
    """

    limit_bytes: int = 0
    _held: dict[HeldKind, int] = field(
        default_factory=lambda: dict.fromkeys(HeldKind, 0)
    )
    _readers: dict[int, _Reader] = field(default_factory=dict)
    _last_reader: int = 0

    @property
    def held_bytes(self) -> int:
        """Total memory in use."""
        return sum(self._held.values())

    def held(self, kind: HeldKind) -> int:
        """Return the memory in use for one purpose."""
        return self._held[kind]

    @property
    def is_scarce(self) -> bool:
        """Whether more than `SCARCE_SHARE` of the budget is used."""
        return 0 < SCARCE_SHARE * self.limit_bytes < self.held_bytes

    def hold(self, kind: HeldKind, size_bytes: int) -> None:
        """Add to the bytes in use; a negative size releases bytes."""
        self._held[kind] += size_bytes

    def begin_write(self, size_bytes: int, now_s: float) -> int:
        """Record bytes that a caller has yet to read; return the write's number."""
        self._last_reader += 1
        self._readers[self._last_reader] = _Reader(size_bytes, now_s)
        self.hold(HeldKind.RESPONSES, size_bytes)
        return self._last_reader

    def record_read(self, reader: int, size_bytes: int, now_s: float) -> None:
        """Record that a caller has read some of the bytes."""
        known = self._readers[reader]
        size_bytes = min(size_bytes, known.held_bytes)
        known.held_bytes -= size_bytes
        known.read_s = now_s
        self.hold(HeldKind.RESPONSES, -size_bytes)

    def end_write(self, reader: int) -> None:
        """Record that the caller has read all bytes, or has disconnected."""
        known = self._readers.pop(reader)
        self.hold(HeldKind.RESPONSES, -known.held_bytes)

    def silent_readers(self, now_s: float) -> list[int]:
        """Return the writes whose callers to disconnect, longest stalled first."""
        if not self.is_scarce:
            return []
        stalled_since_s = now_s - STALLED_READER_S
        found = [
            (each.read_s, number)
            for number, each in self._readers.items()
            if each.read_s <= stalled_since_s
        ]
        return [number for _, number in sorted(found)]
