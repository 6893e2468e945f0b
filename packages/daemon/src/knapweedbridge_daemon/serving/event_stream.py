"""Splits event streams of endpoints into complete events.

Only complete events are forwarded, so that a stream that breaks in the middle of one
can be continued by another endpoint after the last event that the caller has.
"""

import re
from dataclasses import dataclass

from knapweedbridge_daemon.sse import END_OF_EVENT, MAX_EVENT_BYTES, BrokenEventsError

_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_LF_END = b"\n\n"


@dataclass(slots=True, frozen=True)
class CompleteEvents:
    """The events that one chunk completed.

    Parameters
    ----------
    data : bytes
        The events with their terminators.
    count : int
        Number of events.
    last_id : str or None
        Id of the last event that has one.
    """

    data: bytes
    count: int
    last_id: str | None


def _split_simple(chunk: bytes) -> CompleteEvents | None:
    """Return the events of a chunk in the common case, by a fast path.

    The chunk must consist of complete events with LF line ends, the last of them with
    an id; None is returned for any other chunk.
    """
    first = chunk.find(_LF_END)
    if first < 1 or b"\r" in chunk:
        return None
    count, last = 1, chunk
    if first != len(chunk) - len(_LF_END):
        if not chunk.endswith(_LF_END) or b"\n\n\n" in chunk:
            return None
        count = chunk.count(_LF_END)
        last = chunk[chunk.rfind(_LF_END, 0, -1) + len(_LF_END) :]
    found = _ID.search(last)
    if found is None:
        return None
    return CompleteEvents(chunk, count, found[1].decode("latin-1"))


class EventSplitter:
    """Splits the chunks of one response into complete events.

    Parameters
    ----------
    after : str or None
        Id of the last event that the caller has; events up to it are dropped.
    """

    def __init__(self, after: str | None = None) -> None:
        self._buffer = b""
        self._after = _rank(after) if after and after.isdecimal() else None

    @property
    def rest(self) -> bytes:
        """Data after the last complete event."""
        return self._buffer

    def feed(self, chunk: bytes) -> CompleteEvents:
        """Add a chunk and return the events that it completes.

        Raises
        ------
        BrokenEventsError
            If an event is longer than `MAX_EVENT_BYTES`.
        """
        if not self._buffer and self._after is None:
            simple = _split_simple(chunk)
            if simple is not None:
                return simple
        data = self._buffer + chunk
        events: list[bytes] = []
        start = 0
        for end in END_OF_EVENT.finditer(data):
            events.append(data[start : end.end()])
            start = end.end()
        self._buffer = data[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise BrokenEventsError(
                f"{len(self._buffer)} bytes without the end of an event"
            )
        return self._drop_known(events)

    def _drop_known(self, events: list[bytes]) -> CompleteEvents:
        kept: list[bytes] = []
        last_id = None
        for event in events:
            found = _ID.search(event)
            event_id = found[1].decode("latin-1") if found else None
            if self._is_known(event_id):
                continue
            kept.append(event)
            last_id = event_id if event_id is not None else last_id
        return CompleteEvents(b"".join(kept), len(kept), last_id)

    def _is_known(self, event_id: str | None) -> bool:
        if self._after is None or event_id is None or not event_id.isdecimal():
            return False
        return _rank(event_id) <= self._after


def _rank(event_id: str) -> tuple[int, str]:
    """Return a value by which decimal ids of any length are ordered."""
    digits = event_id.lstrip("0")
    return len(digits), digits
