"""Endpoints that come, leave, fall out of the list and come back, beside outages."""

import random

from knapweedbridge_core.serving import EndpointRecord, Fleet, StoreOutage

LONGEST_STEP_S = 0.5
SETTLE_S = 3.0
LONGEST_OUTAGE_S = 8.0
LONGEST_CALL_S = 2.5


def _record(name: str, leaving: bool) -> EndpointRecord:
    return EndpointRecord(name, "s", "127.0.0.1:1", "d", 8, leaving)


class _Store:
    """A store with outages, and the calls to it that fail.

    Attributes
    ----------
    seen : StoreOutage
        What the daemon makes of its failed calls.
    bound_from_s : float
        From when on the daemon is held to the operators' bounds.
    """

    def __init__(self, luck: random.Random) -> None:
        self._luck = luck
        self._failures: list[tuple[float, float]] = []
        self.seen = StoreOutage(SETTLE_S)
        self.bound_from_s = float("-inf")

    def go_away(self, now_s: float) -> float:
        """Return when an outage that begins now is over."""
        over_s = now_s + self._luck.uniform(0.1, LONGEST_OUTAGE_S)
        for _ in range(self._luck.randrange(6)):
            began_s = self._luck.uniform(now_s, over_s)
            shows_s = began_s + self._luck.uniform(0.0, LONGEST_CALL_S)
            self._failures.append((shows_s, began_s))
        self.bound_from_s = over_s + SETTLE_S
        return over_s

    def fail_one(self, now_s: float) -> None:
        """Have one call fail that begins now, though the store is well."""
        self._failures.append((now_s + self._luck.uniform(0.0, LONGEST_CALL_S), now_s))

    def pass_until(self, now_s: float) -> None:
        """Answer a call at a moment, and tell of the failures that show by then."""
        self.seen.answered(now_s)
        for failure in [each for each in self._failures if each[0] <= now_s]:
            self._failures.remove(failure)
            self.seen.failed(failure[1])


def play_leaving(seed: int, steps: int = 400) -> list[str]:
    """Return uses of endpoints that had left, and may not be used any more."""
    luck = random.Random(seed)
    fleet, now_s = Fleet(), 100.0
    store = _Store(luck)
    unused_from_s: dict[str, float] = {}
    listed: set[str] = set()
    broken = []
    for _ in range(steps):
        now_s += luck.uniform(0.02, LONGEST_STEP_S)
        name = f"e{luck.randrange(4)}"
        happens = luck.random()
        if happens < 0.35:
            fleet.listed(_record(name, leaving=False), now_s)
            listed.add(name)
            unused_from_s.pop(name, None)
        elif happens < 0.5 and name in listed:
            fleet.listed(_record(name, leaving=True), now_s)
            unused_from_s.setdefault(name, now_s)
        elif happens < 0.8 and name in listed:
            fleet.unlisted(name, now_s, store.seen.lapsed_until_s)
            listed.discard(name)
            unused_from_s.setdefault(name, max(now_s, store.bound_from_s))
        elif happens < 0.85:
            now_s = store.go_away(now_s)
        elif happens < 0.9:
            store.fail_one(now_s)
        store.pass_until(now_s)
        if luck.random() < 0.5:
            fleet.forget_unlisted(now_s)
        for endpoint in fleet.of_service("s", now_s):
            if now_s >= unused_from_s.get(endpoint.name, now_s + 1.0):
                broken.append(f"{now_s:.2f} s: {endpoint.name} is used")
    return broken
