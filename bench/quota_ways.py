"""Compares ways to bound a client account's use over all daemons, in virtual time.

``HOSTS`` and ``SEEDS`` are read from the environment.
"""

import os

from knapweedbridge_core.serving import QuotaTolerance
from knapweedbridge_standins.quota_pool import STORIES, WAYS, QuotaPool

TOLERANCE = QuotaTolerance(window_s=8.0, over=0.1, slack_units=11_000)
USES_PER_S = (1_500, 8_000, 77_000)


def main() -> None:
    """Print a row a story, account and way: the worst of all seeds, and means."""
    hosts = int(os.environ.get("HOSTS", "64"))
    seeds = int(os.environ.get("SEEDS", "10"))
    print(f"{hosts} hosts, {seeds} seeds")
    print("| story | tokens/s | way | worst window | missed | messages/s |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, story in STORIES.items():
        for use_per_s in USES_PER_S:
            for way_name, way in WAYS.items():
                found = [
                    QuotaPool(hosts, use_per_s, story, seed).play(way, TOLERANCE)
                    for seed in range(seeds)
                ]
                worst = max(each.worst_share for each in found)
                missed = sum(each.missed_share for each in found) / seeds
                messages = sum(each.messages for each in found) / seeds / 34
                print(
                    f"| {name} | {use_per_s:,} | {way_name} | {worst:.2f} "
                    f"| {missed:.3f} | {messages:.1f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
