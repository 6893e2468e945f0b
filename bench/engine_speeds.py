"""Plays the site "uneven" in virtual time, with learnt speeds of engines and without.

    python bench/engine_speeds.py [SEEDS=2] [LOAD=1.0]

Prints a line each: shares of requests in time, late by the first event, late by a pause
alone, and refused. Those of the first 12 s, in which speeds are learnt, do not count.
"""

import os

from knapweedbridge_core.serving import LeastCostPlacement
from knapweedbridge_standins.serving_load import SITES, Figures, play

WARM_S = 12.0
PLAYED_S = 30.0


def print_shares(title: str, found: list[Figures]) -> None:
    """Print the shares of several plays."""
    asked = sum(each.asked for each in found)
    paused = sum(each.paused for each in found)
    counts = {
        "in time": sum(sum(each.in_time.values()) for each in found),
        "late first event": sum(sum(each.late.values()) for each in found) - paused,
        "late pause": paused,
        "refused": sum(sum(each.refused.values()) for each in found),
    }
    shares = ", ".join(f"{name} {n / asked:.3f}" for name, n in counts.items())
    print(f"{title}: {shares} of {asked}", flush=True)


def main() -> None:
    """Play all seeds without learnt speeds and with them."""
    seeds = range(1, 1 + int(os.environ.get("SEEDS", "2")))
    load = float(os.environ.get("LOAD", "1.0"))
    for learn in (False, True):
        found = [
            play(
                SITES["uneven"],
                LeastCostPlacement(),
                load,
                PLAYED_S,
                seed,
                learn_speeds=learn,
                warm_s=WARM_S,
            )
            for seed in seeds
        ]
        print_shares("learnt" if learn else "taken for alike", found)


if __name__ == "__main__":
    main()
