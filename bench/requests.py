"""The life of a request, measured: all parts of one run, with their baselines."""

import importlib
import importlib.util
import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

PARTS = ("requests_attempts", "requests_overload")
RESULTS = Path(__file__).parent / "results" / "requests.json"


def main() -> int:
    """Run the parts that are there, or those named, and write their figures."""
    named = sys.argv[1:] or PARTS
    found: dict[str, Any] = {
        "command": "make bench-requests",
        "commit": _commit(),
        "parts": {},
    }
    for part in named:
        if importlib.util.find_spec(part) is None:
            print(f"{part}: not there")
            continue
        began_s = time.monotonic()
        found["parts"][part] = importlib.import_module(part).run()
        print(f"\n{part}: {time.monotonic() - began_s:.0f} s")
    if named == PARTS:
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_text(json.dumps(found, indent=1) + "\n")
    return 0


def _commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    ended = subprocess.run(command, capture_output=True, text=True, cwd=RESULTS.parent)
    return ended.stdout.strip()


if __name__ == "__main__":
    sys.exit(main())
