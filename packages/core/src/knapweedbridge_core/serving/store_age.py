"""Proven age of a daemon's knowledge of the store, measured end to end.

In a large pool a daemon follows the store through a relay. The arrival of a message
proves nothing about its age: it may have waited for seconds on a congested link, and a
relay that the store does not answer still forwards messages about engines. So a
subscriber sends the relay marks, which are times of its own clock. The relay echoes a
mark once a call to the store that began after the mark's arrival has been answered. The
subscriber then knows all that the store had acknowledged by the time of the mark. No
two clocks are compared.
"""

from collections import deque

STALE_S = 1.7
"""Age from which a daemon reads the store itself. Operators of large pools allow 3 s
for changes that the store has acknowledged; a read takes one call, which may have to be
retried after a second without a response. With a shorter age, subscribers would read
the store while their relays are healthy."""

MAX_PENDING_MARKS = 16
"""Marks of one subscriber that await the store: at one each 0.4 s, those of 6 s."""


class StoreAge:
    """The proven age of a daemon's knowledge of the store.

    All times are in seconds of this daemon's own clock.
    """

    __slots__ = ("_current_s", "_read_s", "_relays")

    def __init__(self) -> None:
        self._current_s = float("-inf")
        self._read_s = float("-inf")
        self._relays: dict[str, float] = {}

    def confirm(self, moment_s: float, relay: str = "") -> bool:
        """Record that all that the store had acknowledged by a moment is known.

        Parameters
        ----------
        relay : str
            Relay that proved it; empty if this daemon read the store itself.

        Returns
        -------
        bool
            Whether this is more recent than what was known.
        """
        is_newer = moment_s > self._current_s
        self._current_s = max(self._current_s, moment_s)
        if not relay:
            self._read_s = max(self._read_s, moment_s)
        elif relay in self._relays:
            self._relays[relay] = max(self._relays[relay], moment_s)
        return is_newer

    @property
    def known_s(self) -> float:
        """Time up to which all that the store had acknowledged is known."""
        return self._current_s

    def age_s(self, now_s: float) -> float:
        """Return for how long changes may be unknown; infinite before the first."""
        return now_s - self._current_s

    def is_stale(self, now_s: float) -> bool:
        """Return whether this daemon must read the store itself."""
        return self.age_s(now_s) >= STALE_S

    def is_cut_off(self, now_s: float) -> bool:
        """Return whether the store has long answered none of this daemon's calls."""
        return now_s - self._read_s >= STALE_S

    def stale_in_s(self, now_s: float) -> float:
        """Return the time until `is_stale`, unless more is confirmed before."""
        return max(0.0, STALE_S - self.age_s(now_s))

    def relays_to_mark(self, relays: list[str], now_s: float) -> list[str]:
        """Return the relays to which this daemon sends a mark now.

        This is the first of ``relays``, its own relay. While that one proves nothing,
        because its link is congested or the store does not answer it, it is all of
        them.
        """
        self._relays = {relay: self._relays.get(relay, now_s) for relay in relays}
        own = relays[:1]
        is_late = any(now_s - self._relays[relay] >= STALE_S for relay in own)
        return relays if is_late else own


class SubscriberMarks:
    """Marks that a relay's subscribers sent, until the store's responses cover them.

    A subscriber's marks are times of its own clock and are only echoed to it. The times
    at which they arrived and at which calls to the store began are of this daemon's
    clock.
    """

    __slots__ = ("_covered_s", "_pending")

    def __init__(self) -> None:
        self._pending: dict[str, deque[tuple[float, float]]] = {}
        self._covered_s: dict[str, float] = {}

    def record_mark(self, subscriber: str, mark_s: float, now_s: float) -> None:
        """Record a subscriber's mark that arrived now."""
        pending = self._pending.setdefault(subscriber, deque(maxlen=MAX_PENDING_MARKS))
        pending.append((now_s, mark_s))

    def answered(self, began_s: float) -> None:
        """Record that a call to the store which began at ``began_s`` was answered."""
        for subscriber, pending in self._pending.items():
            while pending and pending[0][0] <= began_s:
                self._covered_s[subscriber] = pending.popleft()[1]

    def covered_s(self, subscriber: str) -> float:
        """Return a subscriber's newest mark that is covered, or 0.0."""
        return self._covered_s.get(subscriber, 0.0)

    def retain(self, subscribers: set[str]) -> None:
        """Remove the marks of all but these subscribers."""
        for marks in (self._pending, self._covered_s):
            for subscriber in marks.keys() - subscribers:
                del marks[subscriber]
