"""News of members, sent a bounded number of times inside heartbeats."""

from dataclasses import dataclass

from knapweedbridge_core.members import MemberState

STATES_A_HEARTBEAT = 8
SENDS_A_DOUBLING = 4


@dataclass(slots=True)
class _News:
    state: MemberState
    sends: int = 0


class Deltas:
    """The news this daemon still passes on, the least sent first."""

    def __init__(self) -> None:
        self._news: dict[str, _News] = {}

    def add(self, state: MemberState) -> None:
        """Pass on a word on a member; an older word on it is dropped."""
        self._news[state.host] = _News(state)

    def next(self, members: int) -> list[MemberState]:
        """Return what goes into the next heartbeat.

        Parameters
        ----------
        members : int
            Size of the pool: news is sent often enough to reach all of it.
        """
        if not self._news:
            return []
        enough = SENDS_A_DOUBLING * max(1, members.bit_length())
        chosen = sorted(self._news.values(), key=lambda news: news.sends)
        chosen = chosen[:STATES_A_HEARTBEAT]
        for news in chosen:
            news.sends += 1
            if news.sends >= enough:
                del self._news[news.state.host]
        return [news.state for news in chosen]
