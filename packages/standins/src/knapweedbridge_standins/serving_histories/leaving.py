"""Endpoints that come, leave, fall out of the list and come back."""

import random

from knapweedbridge_core.serving import EndpointRecord, Fleet

SWEEP_S = 0.5
"""Longest pause between a daemon's looks for endpoints to forget."""

USE_S = 2.0
"""Longest time that the operators allow an endpoint to be used after it left."""


def _record(name: str, leaving: bool) -> EndpointRecord:
    return EndpointRecord(name, "s", "127.0.0.1:1", "d", 8, leaving)


def play_leaving(seed: int, steps: int = 400) -> list[str]:
    """Return uses of endpoints that had left for longer than is allowed."""
    luck = random.Random(seed)
    fleet, now_s = Fleet(), 100.0
    left_s: dict[str, float] = {}
    listed: set[str] = set()
    broken = []
    for _ in range(steps):
        now_s += luck.uniform(0.02, SWEEP_S)
        name = f"e{luck.randrange(4)}"
        happens = luck.random()
        if happens < 0.35:
            fleet.listed(_record(name, leaving=False), now_s)
            listed.add(name)
            left_s.pop(name, None)
        elif happens < 0.5 and name in listed:
            fleet.listed(_record(name, leaving=True), now_s)
            left_s.setdefault(name, now_s - USE_S)
        elif happens < 0.8 and name in listed:
            in_outage = luck.random() < 0.5
            fleet.unlisted(name, now_s, in_outage)
            listed.discard(name)
            left_s.setdefault(name, now_s if in_outage else now_s - USE_S)
        fleet.forget_unlisted(now_s)
        for endpoint in fleet.of_service("s"):
            since_s = now_s - left_s.get(endpoint.name, now_s)
            if since_s >= USE_S:
                broken.append(
                    f"{now_s:.2f} s: {endpoint.name} left {since_s:.2f} s ago"
                )
    return broken
