"""The key-value service of a history: compare-and-swap, leases, outages."""

from collections.abc import Callable
from dataclasses import dataclass, field

from knapweedbridge_core.actions import StoreRead, StoreWrite
from knapweedbridge_core.events import StoreResponse


@dataclass(slots=True)
class FakeStore:
    """Values with revisions; a key on a lease goes when the lease lapses.

    Parameters
    ----------
    down : bool
        No call is carried out or answered.
    lose_replies : int
        This many next writes without a lease take effect and are not answered.
    delay_s : float
        One way of a call, in seconds.
    unreachable : set of str
        Hosts whose calls do not arrive.
    """

    wrote: Callable[[str, bytes], None]
    values: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    ends_s: dict[str, float] = field(default_factory=dict)
    revision: int = 0
    down: bool = False
    lose_replies: int = 0
    delay_s: float = 0.002
    unreachable: set[str] = field(default_factory=set)
    leased: set[str] = field(default_factory=set)
    calls: int = 0

    def expire(self, now_s: float) -> None:
        """Drop the keys whose lease lapsed; an outage stops the leases' time."""
        for key, ends_s in list(self.ends_s.items()):
            if ends_s <= now_s:
                del self.ends_s[key]
                self.values.pop(key, None)

    def call(
        self, action: StoreRead | StoreWrite, now_s: float
    ) -> StoreResponse | None:
        """Carry out a call; None where the reply is lost."""
        self.calls += 1
        self.expire(now_s)
        if isinstance(action, StoreRead):
            found = {key: self.values[key] for key in action.keys if key in self.values}
            return StoreResponse(action.token, True, True, found)
        applied = self._write(action, now_s)
        if self.lose_replies > 0 and not action.lease_s:
            self.lose_replies -= 1
            return None
        return StoreResponse(action.token, True, applied, {})

    def _write(self, action: StoreWrite, now_s: float) -> bool:
        for key, revision in action.compares.items():
            if self.values.get(key, (b"", 0))[1] != revision:
                return False
        if action.lease_s:
            return self._renew(action, now_s)
        for key, value in action.puts.items():
            self._put(key, value)
        return True

    def _renew(self, action: StoreWrite, now_s: float) -> bool:
        for key, value in action.puts.items():
            if key in self.leased and key not in self.values:
                self.leased.discard(key)
                return False
            self.leased.add(key)
            self.ends_s[key] = now_s + action.lease_s
            if self.values.get(key, (b"", 0))[0] != value:
                self._put(key, value)
        return True

    def _put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.values[key] = (value, self.revision)
        self.wrote(key, value)
