"""Compares ways of choosing a plain endpoint in a large pool, in virtual time.

``SEEDS`` is read from the environment.
"""

import os
from statistics import quantiles

from knapweedbridge_standins.plain_pool import WAYS, PlainFigures, PlainPool, PlainSite

ENGINE_SPEEDS = (1.0, 1.6, 0.6, 1.0)

SITES = {
    "alike, no queue": PlainSite(),
    "alike, queue of 6": PlainSite(waiting=6),
    "speeds differ, no queue": PlainSite(factors=ENGINE_SPEEDS),
    "speeds differ, queue of 6": PlainSite(factors=ENGINE_SPEEDS, waiting=6),
    "objective 0.15 s, no queue": PlainSite(work_s=0.04, objective_s=0.15),
}


def main() -> None:
    """Print a row a site and way: the sums of all seeds."""
    seeds = int(os.environ.get("SEEDS", "10"))
    print(f"{seeds} seeds")
    print("| site | way | late | not served | 503s | median | p99 | messages |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for site_name, site in SITES.items():
        for way_name, way in WAYS.items():
            found = PlainFigures()
            for seed in range(seeds):
                found.add(PlainPool(site, way(), seed).play())
            cuts = quantiles(found.took_s, n=100)
            print(
                f"| {site_name} | {way_name} "
                f"| {found.late / found.requests:.2%} "
                f"| {found.unserved / found.requests:.2%} "
                f"| {found.refusals / found.requests:.2%} "
                f"| {cuts[49]:.3f} s | {cuts[98]:.3f} s "
                f"| {found.messages / found.requests:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
