"""A ring buffer of the events of a daemon, with a hybrid logical clock."""

from collections import deque
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True, order=True)
class Stamp:
    """Hybrid logical timestamp of an event, comparable across hosts.

    Parameters
    ----------
    wall_us : int
        Wall clock in microseconds, monotonic.
    count : int
        Orders events in the same microsecond.
    """

    wall_us: int
    count: int


class HybridClock:
    """A hybrid logical clock: stamps respect causality even if wall clocks differ."""

    def __init__(self) -> None:
        self._last = Stamp(0, 0)

    def next(self, wall_us: int) -> Stamp:
        """Return the stamp of a local event."""
        if wall_us > self._last.wall_us:
            self._last = Stamp(wall_us, 0)
        else:
            self._last = Stamp(self._last.wall_us, self._last.count + 1)
        return self._last

    def receive(self, stamp: Stamp, wall_us: int) -> Stamp:
        """Return the stamp of a received message, later than that of its sender."""
        if stamp > self._last:
            self._last = stamp
        return self.next(wall_us)


@dataclass(slots=True, frozen=True)
class TimelineEvent:
    """An event of a host, with its stamp."""

    stamp: Stamp
    host: str
    kind: str
    fields: dict[str, Any]


@dataclass(slots=True, frozen=True)
class EventFilter:
    """Selects events; an empty string matches all.

    Parameters
    ----------
    request : str
        Request id; matches events of its attempts too.
    adapter : str
        ``adapter`` for all versions of it, or ``adapter@version``.
    endpoint : str
        Name of an endpoint.
    since_us, until_us : int
        Bounds of the wall clock in microseconds, both included.
    limit : int
        Maximum number of events returned.
    """

    request: str = ""
    adapter: str = ""
    endpoint: str = ""
    since_us: int = 0
    until_us: int = 1 << 62
    limit: int = 1000

    def matches(self, event: TimelineEvent) -> bool:
        """Return whether an event is selected."""
        fields = event.fields
        return (
            self.since_us <= event.stamp.wall_us <= self.until_us
            and self.endpoint in ("", fields.get("endpoint"))
            and self._matches_request(fields)
            and self._matches_adapter(str(fields.get("model", "")))
        )

    def _matches_request(self, fields: dict[str, Any]) -> bool:
        if self.request in ("", fields.get("request")):
            return True
        return str(fields.get("attempt", "")).rpartition(".")[0] == self.request

    def _matches_adapter(self, model: str) -> bool:
        return self.adapter in ("", model, model.partition("@")[0])


class Timeline:
    """The most recent events of a host, in a ring buffer."""

    def __init__(self, host: str, events: int) -> None:
        self.host = host
        self._events: deque[TimelineEvent] = deque(maxlen=events)
        self.clock = HybridClock()

    def add(self, kind: str, fields: dict[str, Any], wall_us: int) -> None:
        """Add an event; a full buffer drops the oldest."""
        stamp = self.clock.next(wall_us)
        self._events.append(TimelineEvent(stamp, self.host, kind, fields))

    def __len__(self) -> int:
        return len(self._events)

    def select(self, event_filter: EventFilter) -> list[TimelineEvent]:
        """Return the events that match the filter, the oldest first."""
        return [event for event in self._events if event_filter.matches(event)]
