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

    def receive(self, stamp: Stamp, wall_us: int) -> Stamp:
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


@dataclass(slots=True, frozen=True)
class EventFilter:
    """Which events are wanted; an empty text stands for all.

    Parameters
    ----------
    request : str
        Request id; an event of one of its attempts fits too.
    adapter : str
        ``adapter`` for all its versions, or ``adapter@version``.
    endpoint : str
        Name of an endpoint.
    since_us, until_us : int
        Bounds of the wall clock in microseconds, both included.
    limit : int
        Most events given.
    """

    request: str = ""
    adapter: str = ""
    endpoint: str = ""
    since_us: int = 0
    until_us: int = 1 << 62
    limit: int = 1000

    def fits(self, event: TimelineEvent) -> bool:
        """Tell whether an event is wanted."""
        fields = event.fields
        return (
            self.since_us <= event.stamp.wall_us <= self.until_us
            and self.endpoint in ("", fields.get("endpoint"))
            and self._fits_request(fields)
            and self._fits_adapter(str(fields.get("model", "")))
        )

    def _fits_request(self, fields: dict[str, Any]) -> bool:
        if self.request in ("", fields.get("request")):
            return True
        return str(fields.get("attempt", "")).rpartition(".")[0] == self.request

    def _fits_adapter(self, model: str) -> bool:
        return self.adapter in ("", model, model.partition("@")[0])


class Timeline:
    """The last events of one host."""

    def __init__(self, host: str, events: int) -> None:
        self.host = host
        self._events: deque[TimelineEvent] = deque(maxlen=events)
        self.clock = HybridClock()

    def add(self, kind: str, fields: dict[str, Any], wall_us: int) -> None:
        """Add an event; the oldest falls out when the ring is full."""
        stamp = self.clock.next(wall_us)
        self._events.append(TimelineEvent(stamp, self.host, kind, fields))

    def __len__(self) -> int:
        return len(self._events)

    def select(self, wanted: EventFilter) -> list[TimelineEvent]:
        """Return the events that are wanted, the oldest first."""
        return [event for event in self._events if wanted.fits(event)]
