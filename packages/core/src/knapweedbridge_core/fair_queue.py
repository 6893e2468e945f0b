"""Queue of waiting requests, ordered by priority and by the shares of teams."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import merge

from knapweedbridge_core.events import Request

PRIORITIES = ("interactive", "normal", "batch")


@dataclass(slots=True)
class _TeamQueue:
    """Waiting requests of a team in one priority, served round robin over callers."""

    start_tag: float = 0.0
    callers: dict[str, deque[Request]] = field(default_factory=dict)

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self.callers.values())

    def in_order(self) -> Iterator[Request]:
        """Yield the waiting requests in the order of `pop`, without removing them."""
        iterators = [iter(waiting) for waiting in self.callers.values()]
        while iterators:
            remaining = []
            for iterator in iterators:
                request = next(iterator, None)
                if request is not None:
                    remaining.append(iterator)
                    yield request
            iterators = remaining

    def tagged(self, name: str, weight: float) -> Iterator[tuple[float, str, Request]]:
        """Yield the waiting requests, each with the start tag at which it is popped."""
        for position, request in enumerate(self.in_order()):
            yield self.start_tag + position / weight, name, request

    def pop(self) -> Request:
        """Remove and return the oldest request of the next caller in turn."""
        caller, waiting = next(iter(self.callers.items()))
        request = waiting.popleft()
        del self.callers[caller]
        if waiting:
            self.callers[caller] = waiting
        return request


@dataclass(slots=True)
class _PriorityQueue:
    """Waiting requests of one priority; start-time fair queueing over teams."""

    teams: dict[str, _TeamQueue] = field(default_factory=dict)
    virtual_time: float = 0.0

    def __len__(self) -> int:
        return sum(len(team) for team in self.teams.values())


class FairQueue:
    """Orders waiting requests.

    A higher priority goes first. Within a priority each team is served in proportion to
    its share, however much it sends, and within a team the callers take turns.
    """

    def __init__(self) -> None:
        self._priorities = {name: _PriorityQueue() for name in PRIORITIES}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._priorities.values())

    def __iter__(self) -> Iterator[Request]:
        for queue in self._priorities.values():
            for team in queue.teams.values():
                for waiting in team.callers.values():
                    yield from waiting

    def in_order(self, shares: dict[str, float]) -> Iterator[Request]:
        """Yield the waiting requests in the order of `pop`, without removing them."""
        for queue in self._priorities.values():
            tagged = [
                team.tagged(name, max(shares.get(name, 1.0), 1e-3))
                for name, team in queue.teams.items()
            ]
            for _, _, request in merge(*tagged, key=lambda entry: entry[:2]):
                yield request

    def add(self, request: Request) -> None:
        """Add a request at the end of its caller's queue."""
        queue = self._priorities[request.priority]
        team = queue.teams.setdefault(request.team, _TeamQueue(queue.virtual_time))
        team.callers.setdefault(request.caller, deque()).append(request)

    def pop(self, shares: dict[str, float]) -> Request | None:
        """Remove and return the next request, or None if none waits."""
        for queue in self._priorities.values():
            if queue.teams:
                return self._pop(queue, shares)
        return None

    @staticmethod
    def _pop(queue: _PriorityQueue, shares: dict[str, float]) -> Request:
        name = min(queue.teams, key=lambda team: (queue.teams[team].start_tag, team))
        team = queue.teams[name]
        queue.virtual_time = team.start_tag
        team.start_tag += 1.0 / max(shares.get(name, 1.0), 1e-3)
        request = team.pop()
        if not team.callers:
            del queue.teams[name]
        return request

    def remove(self, request: Request) -> bool:
        """Remove a request; return False if it does not wait."""
        queue = self._priorities[request.priority]
        team = queue.teams.get(request.team)
        waiting = team.callers.get(request.caller) if team else None
        if team is None or waiting is None or request not in waiting:
            return False
        waiting.remove(request)
        if not waiting:
            del team.callers[request.caller]
        if not team.callers:
            del queue.teams[request.team]
        return True

    def count_of_caller(self, request: Request) -> int:
        """Return how many requests of the same caller and priority wait."""
        team = self._priorities[request.priority].teams.get(request.team)
        waiting = team.callers.get(request.caller) if team else None
        return len(waiting) if waiting else 0

    def count_ahead(self, request: Request, shares: dict[str, float]) -> float:
        """Return how many requests go before one that is added now."""
        higher = 0
        for name in PRIORITIES:
            if name == request.priority:
                break
            higher += len(self._priorities[name])
        queue = self._priorities[request.priority]
        teams = set(queue.teams) | {request.team}
        weights = {name: max(shares.get(name, 1.0), 1e-3) for name in teams}
        own = len(queue.teams.get(request.team, _TeamQueue()))
        by_share = own * sum(weights.values()) / weights[request.team]
        return higher + min(float(len(queue)), by_share)

    def last(self) -> Request | None:
        """Return the newest request of the largest team of the lowest priority."""
        for queue in reversed(self._priorities.values()):
            if queue.teams:
                team = max(queue.teams.values(), key=len)
                return max(team.callers.values(), key=len)[-1]
        return None
