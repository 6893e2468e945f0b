"""Streams of events as an endpoint sends them: cut into whole events, with their ids.

Only whole events are passed on, so that a stream which breaks in the middle of one
can be continued, on another endpoint, after the last that the caller has.
"""

import re
from dataclasses import dataclass

from knapweedbridge_daemon.sse import END_OF_EVENT, MAX_EVENT_BYTES, BrokenEventsError

_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_PLAIN_END = b"\n\n"


@dataclass(slots=True, frozen=True)
class WholeEvents:
    """Events that one chunk completed.

    Parameters
    ----------
    data : bytes
        The events, with their ends.
    count : int
        How many.
    last_id : str or None
        Id of the last of them that has one.
    """

    data: bytes
    count: int
    last_id: str | None


def _plain_events(chunk: bytes) -> WholeEvents | None:
    """Take a chunk of whole events whose last has an id, as most are, in few steps.

    Returns None for any other chunk.
    """
    first = chunk.find(_PLAIN_END)
    if first < 1 or b"\r" in chunk:
        return None
    count, last = 1, chunk
    if first != len(chunk) - len(_PLAIN_END):
        if not chunk.endswith(_PLAIN_END) or b"\n\n\n" in chunk:
            return None
        count = chunk.count(_PLAIN_END)
        last = chunk[chunk.rfind(_PLAIN_END, 0, -1) + len(_PLAIN_END) :]
    found = _ID.search(last)
    if found is None:
        return None
    return WholeEvents(chunk, count, found[1].decode("latin-1"))


class EventSplitter:
    """Cuts the chunks of one answer into whole events.

    Parameters
    ----------
    after : str or None
        Id of the last event that the caller has; events up to it are dropped.
    """

    def __init__(self, after: str | None = None) -> None:
        self._held = b""
        self._after = int(after) if after and after.isdecimal() else None

    @property
    def rest(self) -> bytes:
        """What follows the last whole event."""
        return self._held

    def feed(self, chunk: bytes) -> WholeEvents:
        """Take a chunk and return the events that it completed.

        Raises
        ------
        BrokenEventsError
            If an event is longer than `MAX_EVENT_BYTES`.
        """
        if not self._held and self._after is None:
            plain = _plain_events(chunk)
            if plain is not None:
                return plain
        buffer = self._held + chunk
        events: list[bytes] = []
        start = 0
        for end in END_OF_EVENT.finditer(buffer):
            events.append(buffer[start : end.end()])
            start = end.end()
        self._held = buffer[start:]
        if len(self._held) > MAX_EVENT_BYTES:
            raise BrokenEventsError(f"{len(self._held)} bytes without an end")
        return self._wanted(events)

    def _wanted(self, events: list[bytes]) -> WholeEvents:
        kept: list[bytes] = []
        last_id = None
        for event in events:
            found = _ID.search(event)
            named = found[1].decode("latin-1") if found else None
            if self._is_known(named):
                continue
            kept.append(event)
            last_id = named if named is not None else last_id
        return WholeEvents(b"".join(kept), len(kept), last_id)

    def _is_known(self, named: str | None) -> bool:
        if self._after is None or named is None or not named.isdecimal():
            return False
        return int(named) <= self._after
