"""Longer seeded histories of faults by chance, with the checker as the oracle."""

import json
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

from knapweedbridge_standins.configuration_runs import run_configuration
from knapweedbridge_standins.history.faults import random_history

SEEDS = 60
CONFIGURATION_A_SEED = 10
RESULT = Path(__file__).parent / "results" / "fuzz.json"


def main() -> int:
    """Run the histories and print what broke; 1 if anything did."""
    first = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    seeds = int(sys.argv[2]) if len(sys.argv) > 2 else SEEDS
    began_s = time.perf_counter()
    counts: Counter[str] = Counter()
    broken: list[str] = []
    virtual_s = 0.0
    for seed in range(first, first + seeds):
        for checks in (False, True):
            world = random_history(seed, checks)
            counts.update(world.checker.counts)
            virtual_s += world.now_s
            for violation in world.checker.violations:
                broken.append(f"seed {seed}, checks {checks}: {violation}")
                print(broken[-1], flush=True)
    wall_s = time.perf_counter() - began_s
    began_s = time.perf_counter()
    ran = run_configuration(first, seeds * CONFIGURATION_A_SEED)
    configuration_s = time.perf_counter() - began_s
    if ran.broken:
        broken.append(f"configuration, seed {first}: {ran.broken}")
        print(broken[-1], flush=True)
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    result = {
        "command": f"bench/fuzz.py {first} {seeds}",
        "commit": commit,
        "histories": 2 * seeds,
        "virtual_s": round(virtual_s),
        "wall_s": round(wall_s, 1),
        "configuration_histories": ran.histories,
        "configuration_virtual_s": round(ran.virtual_s),
        "configuration_wall_s": round(configuration_s, 1),
        "counts": dict(counts),
        "broken": broken,
    }
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(result, indent=1) + "\n")
    print(f"{2 * seeds} histories, {virtual_s:.0f} s virtual, {wall_s:.1f} s wall")
    print(
        f"{ran.histories} histories of the configuration, "
        f"{ran.virtual_s:.0f} s virtual, {configuration_s:.1f} s wall"
    )
    print(dict(counts))
    print(f"{len(broken)} broken promises")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
