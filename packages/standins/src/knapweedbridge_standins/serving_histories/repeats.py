"""Calls whose attempts end in every way, over and over."""

import random

from knapweedbridge_core.serving import (
    AttemptEnd,
    CallKind,
    CallProgress,
    Route,
    may_retry,
)

ENDS = [
    AttemptEnd.ANSWERED,
    AttemptEnd.NOT_RUN,
    AttemptEnd.FAILED,
    AttemptEnd.BROKEN,
    AttemptEnd.BROKEN,
]


def play_repeats(seed: int, calls: int = 60) -> list[str]:
    """Return calls that ran too often, or were sent again after an answer."""
    luck = random.Random(seed)
    broken = []
    for number in range(calls):
        kind = luck.choice(list(CallKind))
        resumable = luck.random() < 0.5
        most = luck.choice([1, 2, 3])
        route = Route(
            "r", "h", "/", kind, (), 1.0, 1.0, max_attempts=most, resumable=resumable
        )
        repeatable = kind is CallKind.IDEMPOTENT or (
            kind is CallKind.STREAM and resumable
        )
        runs = _play_call(route, luck)
        allowed = most if repeatable else 1
        if runs > allowed:
            broken.append(f"call {number}: {runs} runs of a {kind.value} call")
    return broken


def _play_call(route: Route, luck: random.Random) -> int:
    """Send a call for as long as it may be, and return how often it ran."""
    progress, runs = CallProgress(), 0
    while True:
        progress.sends += 1
        end = luck.choice(ENDS)
        # An endpoint whose refusal is proved has not run it; any other may have.
        if end is not AttemptEnd.NOT_RUN:
            runs += 1
            progress.runs.add(f"e{progress.sends}")
        if end is AttemptEnd.ANSWERED:
            return runs
        if not may_retry(route, progress, end):
            return runs
