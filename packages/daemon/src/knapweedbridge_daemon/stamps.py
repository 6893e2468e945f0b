"""Carries the time line's clock with the messages between daemons.

Before a batch of messages goes the sender's clock as ``[wall_us, count]``, so
that whatever a message causes is stamped after what caused it, on hosts whose
wall clocks differ. Batches of heartbeats alone go without: they cause nothing
that stands in a request's way, and are most of the idle traffic.
"""

import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import msgpack

from knapweedbridge_core.membership_messages import Heartbeat
from knapweedbridge_core.timeline import HybridClock, Stamp

MAX_AHEAD_US = 600_000_000
"""A stamp further ahead of the wall clock is dropped: one host whose clock is
years ahead would else take the clocks of all others along for good."""


def _wall_us() -> int:
    return time.time_ns() // 1000


class Stamping(ABC):
    """What goes before a batch of messages."""

    @abstractmethod
    def is_wanted(self, message: Any) -> bool:
        """Tell whether a message may cause an event that tells of its cause."""

    @abstractmethod
    def pack(self) -> bytes:
        """Return the stamp that goes before a batch."""

    @abstractmethod
    def take(self, value: Any) -> bool:
        """Take a stamp that was heard; False where the value is none."""


class NoStamps(Stamping):
    """Sends no stamps, and passes over those of daemons that do."""

    def is_wanted(self, message: Any) -> bool:
        """See `Stamping.is_wanted`."""
        return False

    def pack(self) -> bytes:
        """See `Stamping.pack`."""
        return b""

    def take(self, value: Any) -> bool:
        """See `Stamping.take`."""
        return _is_stamp(value)


def _is_stamp(value: Any) -> bool:
    if not isinstance(value, list) or len(value) != 2:
        return False
    return isinstance(value[0], int) and isinstance(value[1], int)


class PeerClock(Stamping):
    """The time line's clock, as the peer streams use it.

    Parameters
    ----------
    clock : HybridClock
        The clock that stamps this daemon's events.
    wall_us : callable
        The wall clock, in microseconds.
    """

    def __init__(
        self, clock: HybridClock, wall_us: Callable[[], int] = _wall_us
    ) -> None:
        self._clock = clock
        self._wall_us = wall_us

    def is_wanted(self, message: Any) -> bool:
        """See `Stamping.is_wanted`."""
        return not isinstance(message, Heartbeat)

    def pack(self) -> bytes:
        """See `Stamping.pack`; 11 bytes."""
        stamp = self._clock.next(self._wall_us())
        return msgpack.packb([stamp.wall_us, stamp.count])

    def take(self, value: Any) -> bool:
        """See `Stamping.take`."""
        if not _is_stamp(value):
            return False
        wall_us, count = value
        now_us = self._wall_us()
        if wall_us <= now_us + MAX_AHEAD_US:
            self._clock.receive(Stamp(wall_us, count), now_us)
        return True
