"""Endpoints that take no new work, as listed by the platform or signalled earlier."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum


class LeavingSignal(Enum):
    """What showed that an endpoint takes no new work."""

    ANNOUNCED = "said"
    ORDERED = "ordered"


SIGNAL_TTL_S = {LeavingSignal.ANNOUNCED: 30.0, LeavingSignal.ORDERED: float("inf")}
UNREACHABLE_S = 2.0


@dataclass(slots=True, frozen=True)
class ObservedSignal:
    """A signal and when it was last seen."""

    signal: LeavingSignal
    seen_s: float


class Leaving:
    """Endpoints that are leaving, from the platform's list and from signals.

    The list lags, so signals take effect before it. What an endpoint announces expires
    unless it is renewed, so that one that stays is used again without further notice.
    An operator's order does not expire.

    An endpoint that refused a connection is treated as unreachable for a short time: it
    is used only where there is no other, as the fault may lie in this daemon's own path
    to it.
    """

    def __init__(self) -> None:
        self.listed: set[str] = set()
        self._signals: dict[str, ObservedSignal] = {}
        self._unreachable_s: dict[str, float] = {}

    def __contains__(self, endpoint: str) -> bool:
        return endpoint in self.listed or endpoint in self._signals

    def __iter__(self) -> Iterator[str]:
        return iter(self.listed | set(self._signals))

    def signal(self, endpoint: str) -> LeavingSignal | None:
        """Return the recorded signal of an endpoint, or None."""
        held = self._signals.get(endpoint)
        return held.signal if held else None

    def record(self, endpoint: str, signal: LeavingSignal, now_s: float) -> bool:
        """Record a signal; return whether it is new or replaces a weaker one."""
        held = self.signal(endpoint)
        if held is LeavingSignal.ORDERED:
            return False
        self._signals[endpoint] = ObservedSignal(signal, now_s)
        return held is not signal

    def clear(self, endpoint: str, ordered: bool = False) -> bool:
        """Remove a signal; an order is removed only if `ordered`."""
        held = self.signal(endpoint)
        if held is None or (held is LeavingSignal.ORDERED and not ordered):
            return False
        del self._signals[endpoint]
        return True

    def expire(self, now_s: float) -> None:
        """Remove the signals and unreachable endpoints that were not renewed."""
        for endpoint, held in list(self._signals.items()):
            if now_s - held.seen_s >= SIGNAL_TTL_S[held.signal]:
                del self._signals[endpoint]
        for endpoint, since_s in list(self._unreachable_s.items()):
            if now_s - since_s >= UNREACHABLE_S:
                del self._unreachable_s[endpoint]

    def record_unreachable(self, endpoint: str, now_s: float) -> None:
        """Record that an endpoint refused a connection."""
        self._unreachable_s[endpoint] = now_s

    def prefer_reachable(self, endpoints: list[str]) -> list[str]:
        """Return the endpoints that are not unreachable, or all if none is left."""
        reachable = [name for name in endpoints if name not in self._unreachable_s]
        return reachable or endpoints

    def signals(self) -> list[tuple[str, LeavingSignal]]:
        """Return the endpoints with a signal, to be sent to other daemons."""
        return [(endpoint, held.signal) for endpoint, held in self._signals.items()]
