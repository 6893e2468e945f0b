"""The bounded ring of events of one daemon, with a hybrid logical clock."""

from collections import deque
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True, order=True)
class Stamp:
    """Time of an event, comparable over all hosts.

    Parameters
    ----------
    wall_us : int
        Wall clock in microseconds, never running backwards.
    count : int
        Orders events of the same microsecond.
    """

    wall_us: int
    count: int


class HybridClock:
    """Stamps that follow cause and effect over hosts whose clocks differ."""

    def __init__(self) -> None:
        self._last = Stamp(0, 0)

    def next(self, wall_us: int) -> Stamp:
        """Stamp an event of this host."""
        if wall_us > self._last.wall_us:
            self._last = Stamp(wall_us, 0)
        else:
            self._last = Stamp(self._last.wall_us, self._last.count + 1)
        return self._last

    def heard(self, stamp: Stamp, wall_us: int) -> Stamp:
        """Stamp the arrival of a message, after its sending."""
        if stamp > self._last:
            self._last = stamp
        return self.next(wall_us)


@dataclass(slots=True, frozen=True)
class TimelineEvent:
    """One event of one host."""

    stamp: Stamp
    host: str
    kind: str
    fields: dict[str, Any]


class Timeline:
    """The last events of one host."""

    def __init__(self, host: str, events: int) -> None:
        self._host = host
        self._events: deque[TimelineEvent] = deque(maxlen=events)
        self.clock = HybridClock()

    def add(self, kind: str, fields: dict[str, Any], wall_us: int) -> None:
        """Add an event; the oldest falls out when the ring is full."""
        stamp = self.clock.next(wall_us)
        self._events.append(TimelineEvent(stamp, self._host, kind, fields))

    def select(self, **wanted: str) -> list[TimelineEvent]:
        """Return events whose fields have the wanted values."""
        return [
            event
            for event in self._events
            if all(str(event.fields.get(key)) == value for key, value in wanted.items())
        ]
