"""Plays loads on modelled pools, with the product's placement and simpler ones.

    make bench-load [LOADS=0.5,1,2,4] [SITES=okavango,chaophraya] [PLAYED_S=15]

Arrivals are seeded, and the same for each policy. Prints a line a run, and writes
all of them to ``results/serving_load.json``.
"""

import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from knapweedbridge_core.serving import LeastCostPlacement
from knapweedbridge_standins.serving_load import (
    SITES,
    Figures,
    HashedPlacement,
    LeastCallsPlacement,
    play,
    quantile,
)

RESULT = Path(__file__).parent / "results" / "serving_load.json"
POLICIES = {
    "priced": LeastCostPlacement,
    "hashing": HashedPlacement,
    "least calls": LeastCallsPlacement,
}
PROCESSES = 4
SEED = 1


@dataclass(frozen=True)
class Run:
    """What is played."""

    site: str
    load: float
    policy: str
    played_s: float


def figures_of(run: Run) -> dict:
    """Play one run, and return its figures."""
    site, policy = SITES[run.site], POLICIES[run.policy]()
    found = play(site, policy, run.load, run.played_s, SEED)
    shares = {mix.name: round(found.share_of(mix.name), 3) for mix in site.mixes}
    return {
        **asdict(run),
        "asked": found.asked,
        "in_time_share": round(found.in_time_share, 3),
        "in_time_a_s": round(sum(found.in_time.values()) / run.played_s, 1),
        "late": sum(found.late.values()),
        "refused": sum(found.refused.values()),
        "refusals": found.refusals,
        "not_run": found.not_run,
        "fetched": found.fetched,
        "in_time_by_kind": shares,
        "in_time_of_big": round(found.big_in_time / max(1, found.big), 3),
        **times_of(found),
    }


def times_of(found: Figures) -> dict:
    """Return quantiles, in seconds."""
    return {
        "first_p50_s": round(quantile(found.first_s, 0.5), 3),
        "first_p99_s": round(quantile(found.first_s, 0.99), 3),
        "pause_p50_s": round(quantile(found.pauses_s, 0.5), 3),
        "pause_p99_s": round(quantile(found.pauses_s, 0.99), 3),
    }


def main() -> int:
    """Play all runs."""
    loads = [float(each) for each in os.environ.get("LOADS", "0.5,1,2,4").split(",")]
    sites = os.environ.get("SITES", "okavango,chaophraya").split(",")
    played_s = float(os.environ.get("PLAYED_S", "15"))
    runs = [
        Run(site, load, policy, played_s)
        for site in sites
        for load in loads
        for policy in POLICIES
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        found = []
        for figures in pool.map(figures_of, runs):
            found.append(figures)
            print(json.dumps(figures), flush=True)
    RESULT.write_text(json.dumps(found, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
