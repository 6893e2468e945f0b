"""Ways of knowing how much runs at a plain endpoint."""

from abc import ABC, abstractmethod
from collections import defaultdict
from dataclasses import dataclass, field

from knapweedbridge_core.serving import (
    Endpoint,
    PlainAsk,
    PlainCounter,
    PlainState,
    choose_counted,
    choose_plain,
    is_clearly_best,
)

ANSWER_S = (0.002, 0.004)
"""Time from a question to a daemon of the pool to its answer."""


@dataclass(slots=True)
class Chosen:
    """Where a request goes, after which delay, and the messages that it took."""

    endpoint: Endpoint
    delay_s: float = 0.0
    messages: int = 0


class Way(ABC):
    """One way; it holds what all daemons of the pool know."""

    @abstractmethod
    def choose(
        self, daemon: str, ask: PlainAsk, endpoints: list[Endpoint], now_s: float
    ) -> Chosen:
        """Choose the endpoint of a request of one daemon."""

    def began(self, daemon: str, endpoint: Endpoint, now_s: float) -> None:
        """Take that a request was sent, and counted in the daemon's own calls."""

    def ended(
        self, daemon: str, endpoint: Endpoint, took_s: float | None, now_s: float
    ) -> int:
        """Take that a request ended (None: was refused); return messages sent."""
        return 0


class OwnCounts(Way):
    """Each daemon knows its own requests."""

    def choose(
        self, daemon: str, ask: PlainAsk, endpoints: list[Endpoint], now_s: float
    ) -> Chosen:
        """See `Way.choose`."""
        found = choose_plain(ask, endpoints, now_s)
        assert found is not None
        return Chosen(found)


LEARNT_HALF_LIFE_S = 2.0
FULL_S = 0.5
FULL_CALLS = 6.0


@dataclass(slots=True)
class _Learnt:
    took_s: float = 0.0
    weight: float = 0.0
    seen_s: float = 0.0
    full_until_s: float = 0.0


@dataclass(slots=True)
class Learning(Way):
    """Each daemon learns from the responses that it got itself."""

    _learnt: dict[tuple[str, str], _Learnt] = field(
        default_factory=lambda: defaultdict(_Learnt)
    )

    def choose(
        self, daemon: str, ask: PlainAsk, endpoints: list[Endpoint], now_s: float
    ) -> Chosen:
        """See `Way.choose`."""
        typical_s = 0.25 * ask.objective_s

        def cost(endpoint: Endpoint) -> float:
            known = self._learnt[daemon, endpoint.name]
            weight = known.weight * 0.5 ** ((now_s - known.seen_s) / LEARNT_HALF_LIFE_S)
            took_s = (known.took_s * weight + typical_s) / (weight + 1.0)
            remote = endpoint.record.data_centre != ask.data_centre
            full = FULL_CALLS * (now_s < known.full_until_s)
            calls = endpoint.own_calls + full
            return took_s * (1 + calls / 6) + 0.05 * ask.objective_s * remote

        fresh = [each for each in endpoints if each.name not in ask.tried]
        return Chosen(min(fresh or endpoints, key=cost))

    def ended(
        self, daemon: str, endpoint: Endpoint, took_s: float | None, now_s: float
    ) -> int:
        """See `Way.ended`."""
        known = self._learnt[daemon, endpoint.name]
        if took_s is None:
            known.full_until_s = now_s + FULL_S
            return 0
        weight = known.weight * 0.5 ** ((now_s - known.seen_s) / LEARNT_HALF_LIFE_S)
        known.took_s = (known.took_s * weight + took_s) / (weight + 1.0)
        known.weight, known.seen_s = weight + 1.0, now_s
        return 0


@dataclass(slots=True)
class Counting(Way):
    """One daemon for each endpoint counts the requests of all, and is asked."""

    counters: dict[str, PlainCounter] = field(default_factory=dict)
    _own: dict[tuple[str, str], int] = field(default_factory=lambda: defaultdict(int))
    _heard: dict[str, dict[str, PlainState]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def _counter(self, endpoint: Endpoint) -> PlainCounter:
        return self.counters.setdefault(
            endpoint.name, PlainCounter(endpoint.record.slots)
        )

    def choose(
        self, daemon: str, ask: PlainAsk, endpoints: list[Endpoint], now_s: float
    ) -> Chosen:
        """See `Way.choose`."""
        first = choose_plain(ask, endpoints, now_s)
        assert first is not None
        heard = self._heard[daemon]
        heard[first.name] = self._counter(first).state(now_s)
        if is_clearly_best(ask, first, endpoints, heard, now_s):
            return Chosen(first, ANSWER_S[1], 2)
        for each in endpoints:
            heard[each.name] = self._counter(each).state(now_s)
        found = choose_counted(ask, endpoints, heard, now_s)
        assert found is not None
        return Chosen(found, 2 * ANSWER_S[1], 2 * len(endpoints) + 1)

    def began(self, daemon: str, endpoint: Endpoint, now_s: float) -> None:
        """See `Way.began`."""
        self._own[daemon, endpoint.name] += 1
        calls = self._own[daemon, endpoint.name]
        self._counter(endpoint).take(daemon, calls, now_s)

    def ended(
        self, daemon: str, endpoint: Endpoint, took_s: float | None, now_s: float
    ) -> int:
        """See `Way.ended`."""
        self._own[daemon, endpoint.name] -= 1
        calls = self._own[daemon, endpoint.name]
        refused = int(took_s is None)
        self._counter(endpoint).take(daemon, calls, now_s, 1 - refused, refused)
        return 1


WAYS: dict[str, type[Way]] = {
    "own counts": OwnCounts,
    "learning": Learning,
    "counting": Counting,
}
