"""Server-sent events: where they end, and how many carry a token."""

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 1 << 20

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
_PLAIN_END = b"\n\n"
_RETURN = b"\r"
_DATA = b"data:"
_DATA_LINE = b"\ndata:"
_DONE = frozenset({b"data: [DONE]", b"data:[DONE]"})


class BrokenEventsError(Exception):
    """The bytes are no stream of events."""


@dataclass(slots=True, frozen=True)
class Block:
    """Whole events that one chunk completed.

    Parameters
    ----------
    data : bytes
        The events, with their ends.
    events : int
        How many of them carry data, without the last word.
    done : bool
        Whether the last of them is the last word of a whole answer.
    """

    data: bytes
    events: int
    done: bool


def _is_one_event(chunk: bytes) -> bool:
    """Tell at little cost whether a chunk is one event, as most are."""
    return (
        chunk.find(_PLAIN_END) == len(chunk) - len(_PLAIN_END)
        and chunk.startswith(_DATA)
        and _RETURN not in chunk
        and chunk[: -len(_PLAIN_END)] not in _DONE
    )


class EventReader:
    """Cuts one connection's chunks into whole events.

    What follows the last word is dropped.
    """

    def __init__(self) -> None:
        self._held = b""

    def feed(self, chunk: bytes) -> Block:
        """Take a chunk and return the events that it completed.

        Raises
        ------
        BrokenEventsError
            If an event is longer than `MAX_EVENT_BYTES`: an endpoint that sends
            a line without an end would fill the daemon's memory.
        """
        if not self._held and _is_one_event(chunk):
            return Block(chunk, 1, False)
        buffer = self._held + chunk if self._held else chunk
        start = events = 0
        for end in END_OF_EVENT.finditer(buffer):
            event = buffer[start : end.start()]
            start = end.end()
            if event in _DONE:
                self._held = b""
                return Block(buffer[:start], events, True)
            if event.startswith(_DATA) or _DATA_LINE in event:
                events += 1
        self._held = buffer[start:]
        if len(self._held) > MAX_EVENT_BYTES:
            raise BrokenEventsError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return Block(buffer[:start], events, False)
