"""How old a daemon's knowledge of the store is, proved from end to end.

In a large pool a daemon hears of the store by a relay. That a message arrives says
nothing of its age: it may have waited for seconds before a full link, and a relay that
the store does not answer goes on talking of engines. So a hearer marks moments of its
own clock. The relay gives a mark back with what it tells once a call to the store that
began after the mark came has been answered: all that the store had acknowledged by the
marked moment is then known to the hearer. No two clocks are compared.
"""

from collections import deque

STALE_S = 1.7
"""Age past which a daemon looks at the store itself. Operators of large pools allow 3 s
for what the store acknowledged; a look takes a call, which may have to be repeated
after a second without an answer. Less would have hearers look whose relays are well."""

MARKS_KEPT = 16
"""Marks of one hearer that wait for the store: at 0.4 s each, those of 6 s."""


class StoreAge:
    """What a daemon has proved of the age of its knowledge.

    All times are of this daemon's own clock, in seconds.
    """

    __slots__ = ("_current_s", "_looked_s", "_relays")

    def __init__(self) -> None:
        self._current_s = float("-inf")
        self._looked_s = float("-inf")
        self._relays: dict[str, float] = {}

    def confirm(self, moment_s: float, relay: str = "") -> bool:
        """Take that all that the store had acknowledged by a moment is known.

        Parameters
        ----------
        relay : str
            Who proved it; empty where this daemon read the store itself.

        Returns
        -------
        bool
            Whether that is more than was known.
        """
        is_more = moment_s > self._current_s
        self._current_s = max(self._current_s, moment_s)
        if not relay:
            self._looked_s = max(self._looked_s, moment_s)
        elif relay in self._relays:
            self._relays[relay] = max(self._relays[relay], moment_s)
        return is_more

    @property
    def known_s(self) -> float:
        """Moment up to which all that the store had acknowledged is known."""
        return self._current_s

    def age_s(self, now_s: float) -> float:
        """Return for how long changes may be unknown; infinite before the first."""
        return now_s - self._current_s

    def is_stale(self, now_s: float) -> bool:
        """Tell whether this daemon must look at the store itself."""
        return self.age_s(now_s) >= STALE_S

    def is_cut_off(self, now_s: float) -> bool:
        """Tell whether the store has answered none of this daemon's calls for long."""
        return now_s - self._looked_s >= STALE_S

    def stale_in_s(self, now_s: float) -> float:
        """Return in how many seconds it must, unless more is proved until then."""
        return max(0.0, STALE_S - self.age_s(now_s))

    def relays_to_mark(self, heard: list[str], now_s: float) -> list[str]:
        """Name the relays at which this daemon marks this moment.

        The first of those that it can hear, which is its own; and the others too while
        that one proves nothing, as its link is full or the store does not answer it.
        """
        self._relays = {relay: self._relays.get(relay, now_s) for relay in heard}
        own = heard[:1]
        is_late = any(now_s - self._relays[relay] >= STALE_S for relay in own)
        return heard if is_late else own


class SubscriberMarks:
    """The marks that a relay's hearers set, until the store's answers cover them.

    A hearer's marks are of its own clock, and are only given back to it. When they came
    and when calls to the store began are of this daemon's clock.
    """

    __slots__ = ("_covered_s", "_waiting")

    def __init__(self) -> None:
        self._waiting: dict[str, deque[tuple[float, float]]] = {}
        self._covered_s: dict[str, float] = {}

    def record_mark(self, hearer: str, mark_s: float, now_s: float) -> None:
        """Take a hearer's mark that came now."""
        waiting = self._waiting.setdefault(hearer, deque(maxlen=MARKS_KEPT))
        waiting.append((now_s, mark_s))

    def answered(self, began_s: float) -> None:
        """Take that a call to the store that began at a moment has been answered."""
        for hearer, waiting in self._waiting.items():
            while waiting and waiting[0][0] <= began_s:
                self._covered_s[hearer] = waiting.popleft()[1]

    def covered_s(self, hearer: str) -> float:
        """Return a hearer's newest mark that is covered, 0.0 where none is."""
        return self._covered_s.get(hearer, 0.0)

    def retain(self, subscribers: set[str]) -> None:
        """Forget all but these hearers."""
        for marks in (self._waiting, self._covered_s):
            for hearer in marks.keys() - subscribers:
                del marks[hearer]
