"""News of members, sent a bounded number of times inside heartbeats."""

from collections import Counter
from dataclasses import dataclass, field

from knapweedbridge_core.members import MemberState

STATES_A_HEARTBEAT = 8
SENDS_A_NEIGHBOUR = 2


@dataclass(slots=True)
class _News:
    state: MemberState
    sends: Counter = field(default_factory=Counter)
    total: int = 0


class Deltas:
    """The news this daemon still passes on, the least sent first.

    Each daemon passes news on to each of its neighbours, which crosses the pool
    whatever its size; what is lost all the same shows in the checksum.
    """

    def __init__(self) -> None:
        self._news: dict[str, _News] = {}

    def add(self, state: MemberState) -> None:
        """Pass on a word on a member; an older word on it is dropped."""
        self._news[state.host] = _News(state)

    def next(self, neighbour: str) -> list[MemberState]:
        """Return what goes into the next heartbeat to a neighbour."""
        if not self._news:
            return []
        due = [
            news
            for news in self._news.values()
            if news.sends[neighbour] < SENDS_A_NEIGHBOUR
        ]
        due.sort(key=lambda news: news.total)
        for news in due[:STATES_A_HEARTBEAT]:
            news.sends[neighbour] += 1
            news.total += 1
        return [news.state for news in due[:STATES_A_HEARTBEAT]]

    def discard_sent(self, neighbours: list[str]) -> None:
        """Drop the news that every neighbour was sent often enough."""
        for host, news in list(self._news.items()):
            if all(news.sends[name] >= SENDS_A_NEIGHBOUR for name in neighbours):
                del self._news[host]
