"""Invariants that every history must keep."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Violation:
    """A broken promise, and when it broke in virtual seconds."""

    at_s: float
    promise: str
    detail: str


@dataclass(slots=True)
class Checker:
    """Takes what happened and keeps what broke a promise."""

    violations: list[Violation] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    _numbers: dict[str, int] = field(default_factory=dict)
    _claimed: dict[tuple[str, int], str] = field(default_factory=dict)
    _finished: set[str] = field(default_factory=set)

    def broke(self, at_s: float, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.violations.append(Violation(at_s, promise, detail))

    def evicted(self, at_s: float, endpoint: str, model: str, running: int) -> None:
        """Take an eviction that an engine carried out."""
        self.counts["evicted"] += 1
        if running:
            detail = f"{endpoint} evicted {model} while it ran {running}"
            self.broke(at_s, "an adapter that serves is never evicted", detail)

    def ran(self, at_s: float, asked: str, ran: str) -> None:
        """Take the adapter version that an engine ran for a request."""
        self.counts["ran"] += 1
        if asked != ran:
            detail = f"{asked} was asked for, {ran} ran"
            self.broke(at_s, "a request runs on its adapter and version", detail)

    def recorded(self, at_s: float, endpoint: str, number: int) -> None:
        """Take a fencing number written to the service."""
        self.counts["recorded"] += 1
        before = self._numbers.get(endpoint, 0)
        self._numbers[endpoint] = number
        if number <= before:
            detail = f"{endpoint}: {number} after {before}"
            self.broke(at_s, "fencing numbers only rise", detail)

    def claimed(self, at_s: float, endpoint: str, number: int, holder: str) -> None:
        """Take that a daemon believes to own an endpoint under a number."""
        self.counts["claimed"] += 1
        other = self._claimed.setdefault((endpoint, number), holder)
        if other != holder:
            detail = f"{endpoint} {number}: {other} and {holder}"
            self.broke(at_s, "a fencing number has one owner", detail)

    def finished(self, at_s: float, request_id: str, outcome: str) -> None:
        """Take a final answer."""
        self.counts[outcome] += 1
        if request_id in self._finished:
            self.broke(at_s, "each request has one final answer", request_id)
        self._finished.add(request_id)
