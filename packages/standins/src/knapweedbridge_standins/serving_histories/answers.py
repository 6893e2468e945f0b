"""Entries of an endpoint, and what its answers ask for, in any order."""

import math
import random
from dataclasses import dataclass, replace

from knapweedbridge_core.serving import EndpointRecord, Fleet

STEPS = 200
LONGEST_STEP_S = 1.0
LONGEST_REST_S = 5.0
SERVICE, NAME = "s", "e0"
FIRST = EndpointRecord(NAME, SERVICE, "a:1", "d0", 8, False, started_ms=1000)


@dataclass(slots=True)
class _Expected:
    """What must hold of the endpoint's present start."""

    leaves: bool = False
    paused_until_s: float = -math.inf


class _History:
    """One seeded run, of one endpoint that is always listed."""

    def __init__(self, seed: int) -> None:
        self._luck = random.Random(seed)
        self._fleet = Fleet()
        self._record = FIRST
        self._expected = _Expected()
        self.now_s = 0.0
        self._fleet.listed(self._record, self.now_s)

    def step(self) -> None:
        """Let some time pass, and one thing happen."""
        self.now_s += self._luck.uniform(0.0, LONGEST_STEP_S)
        events = (
            self._listed,
            self._listed,
            self._lapsed_and_back,
            self._asks_for_rest,
            self._asks_for_rest,
            self._leaves,
            self._starts_again,
        )
        self._luck.choice(events)()

    def _listed(self) -> None:
        self._fleet.listed(self._record, self.now_s)

    def _lapsed_and_back(self) -> None:
        if not self._expected.leaves:
            self._fleet.unlisted(NAME, self.now_s, math.inf)
        self._listed()

    def _asks_for_rest(self) -> None:
        rest_s = self._luck.uniform(0.0, LONGEST_REST_S)
        self._fleet.endpoints[NAME].pressure.record_pause(rest_s, self.now_s)
        until_s = max(self._expected.paused_until_s, self.now_s + rest_s)
        self._expected.paused_until_s = until_s

    def _leaves(self) -> None:
        self._fleet.endpoints[NAME].pressure.record_draining()
        self._expected.leaves = True

    def _starts_again(self) -> None:
        started_ms = self._record.started_ms + 1000
        self._record = replace(self._record, started_ms=started_ms)
        self._expected = _Expected()
        self._listed()

    def broken(self) -> str | None:
        """Tell what does not hold now; None where all does."""
        expected = self._expected
        open_now = bool(self._fleet.reachable(SERVICE, self.now_s))
        if open_now and expected.leaves:
            return f"{self.now_s:.2f} s: sent calls, but it leaves"
        if open_now and expected.paused_until_s > self.now_s:
            return f"{self.now_s:.2f} s: sent calls, but it rests"
        if (
            not open_now
            and not expected.leaves
            and expected.paused_until_s < self.now_s
        ):
            return f"{self.now_s:.2f} s: sent no calls, for no reason"
        return None


def play_answers(seed: int) -> list[str]:
    """Return when an endpoint was sent calls that it wanted none of, or none at all."""
    history, broken = _History(seed), []
    for _ in range(STEPS):
        history.step()
        found = history.broken()
        if found is not None:
            broken.append(found)
    return broken
