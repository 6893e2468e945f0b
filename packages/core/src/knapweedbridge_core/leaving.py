"""Which endpoints take no new work, by the list and by signs ahead of it."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum


class Sign(Enum):
    """What showed that an endpoint takes no new work."""

    SAID = "said"
    ORDERED = "ordered"


LAPSE_S = {Sign.SAID: 30.0, Sign.ORDERED: float("inf")}
DOUBT_S = 2.0


@dataclass(slots=True, frozen=True)
class SignSeen:
    """A sign and when it was last seen."""

    sign: Sign
    seen_s: float


class Leaving:
    """The endpoints that are leaving; the list lags, so signs go before it.

    An endpoint's own word lapses unless it is renewed, so that one that came
    back is used again though nobody told. An operator's order does not lapse.
    An endpoint that refused a connection is in doubt: it is used only where
    there is no other, since this daemon's own path may be what is cut.
    """

    def __init__(self) -> None:
        self.listed: set[str] = set()
        self._signs: dict[str, SignSeen] = {}
        self._doubted_s: dict[str, float] = {}

    def __contains__(self, endpoint: str) -> bool:
        return endpoint in self.listed or endpoint in self._signs

    def __iter__(self) -> Iterator[str]:
        return iter(self.listed | set(self._signs))

    def sign(self, endpoint: str) -> Sign | None:
        """Return the sign held for an endpoint, or None."""
        held = self._signs.get(endpoint)
        return held.sign if held else None

    def record(self, endpoint: str, sign: Sign, now_s: float) -> bool:
        """Take a sign; True where it is new or stronger than the one held."""
        held = self.sign(endpoint)
        if held is Sign.ORDERED:
            return False
        self._signs[endpoint] = SignSeen(sign, now_s)
        return held is not sign

    def clear(self, endpoint: str, ordered: bool = False) -> bool:
        """Drop the sign; an order is dropped only by another order."""
        held = self.sign(endpoint)
        if held is None or (held is Sign.ORDERED and not ordered):
            return False
        del self._signs[endpoint]
        return True

    def expire(self, now_s: float) -> None:
        """Drop the signs that nobody renewed."""
        for endpoint, held in list(self._signs.items()):
            if now_s - held.seen_s >= LAPSE_S[held.sign]:
                del self._signs[endpoint]
        for endpoint, since_s in list(self._doubted_s.items()):
            if now_s - since_s >= DOUBT_S:
                del self._doubted_s[endpoint]

    def doubt(self, endpoint: str, now_s: float) -> None:
        """Note that an endpoint refused a connection."""
        self._doubted_s[endpoint] = now_s

    def certain(self, endpoints: list[str]) -> list[str]:
        """Return those that are not in doubt, or all where every one is."""
        known = [name for name in endpoints if name not in self._doubted_s]
        return known or endpoints

    def signs(self) -> list[tuple[str, Sign]]:
        """Return the signs that other daemons should know."""
        return [(endpoint, held.sign) for endpoint, held in self._signs.items()]
