"""Requests that wait for a place: by priority, then by the teams' shares."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import merge

from knapweedbridge_core.events import Request

PRIORITIES = ("interactive", "normal", "batch")


@dataclass(slots=True)
class _Team:
    """The waiting requests of a team in one class, a caller at a time."""

    tag: float = 0.0
    callers: dict[str, deque[Request]] = field(default_factory=dict)

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self.callers.values())

    def in_order(self) -> Iterator[Request]:
        """Yield what waits in the order of `pop`, without taking it."""
        turns = [iter(waiting) for waiting in self.callers.values()]
        while turns:
            left = []
            for turn in turns:
                request = next(turn, None)
                if request is not None:
                    left.append(turn)
                    yield request
            turns = left

    def tagged(self, name: str, weight: float) -> Iterator[tuple[float, str, Request]]:
        """Yield what waits with the tag at which each is taken."""
        for place, request in enumerate(self.in_order()):
            yield self.tag + place / weight, name, request

    def pop(self) -> Request:
        """Take the oldest of the caller whose turn it is."""
        caller, waiting = next(iter(self.callers.items()))
        request = waiting.popleft()
        del self.callers[caller]
        if waiting:
            self.callers[caller] = waiting
        return request


@dataclass(slots=True)
class _Class:
    """The waiting requests of one priority; start-time fair queueing over teams."""

    teams: dict[str, _Team] = field(default_factory=dict)
    virtual: float = 0.0

    def __len__(self) -> int:
        return sum(len(team) for team in self.teams.values())


class FairQueue:
    """Orders waiting requests.

    A higher priority goes first. Within a priority each team gets places by its
    share, whatever it sends, and within a team each caller has its turn.
    """

    def __init__(self) -> None:
        self._classes = {name: _Class() for name in PRIORITIES}

    def __len__(self) -> int:
        return sum(len(held) for held in self._classes.values())

    def __iter__(self) -> Iterator[Request]:
        for held in self._classes.values():
            for team in held.teams.values():
                for waiting in team.callers.values():
                    yield from waiting

    def in_order(self, shares: dict[str, float]) -> Iterator[Request]:
        """Yield the waiting requests in the order of `pop`, without taking them."""
        for held in self._classes.values():
            tagged = [
                team.tagged(name, max(shares.get(name, 1.0), 1e-3))
                for name, team in held.teams.items()
            ]
            for _, _, request in merge(*tagged, key=lambda entry: entry[:2]):
                yield request

    def add(self, request: Request) -> None:
        """Let a request wait."""
        held = self._classes[request.priority]
        team = held.teams.setdefault(request.team, _Team(held.virtual))
        team.callers.setdefault(request.caller, deque()).append(request)

    def pop(self, shares: dict[str, float]) -> Request | None:
        """Take the request whose turn it is, or None."""
        for held in self._classes.values():
            if held.teams:
                return self._pop(held, shares)
        return None

    @staticmethod
    def _pop(held: _Class, shares: dict[str, float]) -> Request:
        name = min(held.teams, key=lambda team: (held.teams[team].tag, team))
        team = held.teams[name]
        held.virtual = team.tag
        team.tag += 1.0 / max(shares.get(name, 1.0), 1e-3)
        request = team.pop()
        if not team.callers:
            del held.teams[name]
        return request

    def remove(self, request: Request) -> bool:
        """Drop a request; False if it does not wait."""
        held = self._classes[request.priority]
        team = held.teams.get(request.team)
        waiting = team.callers.get(request.caller) if team else None
        if team is None or waiting is None or request not in waiting:
            return False
        waiting.remove(request)
        if not waiting:
            del team.callers[request.caller]
        if not team.callers:
            del held.teams[request.team]
        return True

    def of_caller(self, request: Request) -> int:
        """Count the waiting requests of the same caller and priority."""
        team = self._classes[request.priority].teams.get(request.team)
        waiting = team.callers.get(request.caller) if team else None
        return len(waiting) if waiting else 0

    def ahead(self, request: Request, shares: dict[str, float]) -> float:
        """Return how many requests go before one that would be added now."""
        higher = 0
        for name in PRIORITIES:
            if name == request.priority:
                break
            higher += len(self._classes[name])
        held = self._classes[request.priority]
        teams = set(held.teams) | {request.team}
        weights = {name: max(shares.get(name, 1.0), 1e-3) for name in teams}
        own = len(held.teams.get(request.team, _Team()))
        by_share = own * sum(weights.values()) / weights[request.team]
        return higher + min(float(len(held)), by_share)

    def last(self) -> Request | None:
        """Return the newest of the largest team of the lowest priority."""
        for held in reversed(self._classes.values()):
            if held.teams:
                team = max(held.teams.values(), key=len)
                return max(team.callers.values(), key=len)[-1]
        return None
