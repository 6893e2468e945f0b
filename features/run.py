"""Runs every area's features and prints one verdict.

A scenario listed in KNOWN-RED.txt (``area: scenario name | cause | issue``, a
line each) may fail; it is printed all the same.
"""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
AREAS_AT_ONCE = 4
ALONE = frozenset({"crowds"})
"""Areas that run by themselves, after the others: they measure their processes."""

AREA_TIMEOUT_S = 1200
"""Ends an area that hangs. The longest one needs minutes of processor time alone."""


@dataclass
class Verdict:
    """What one area's run found."""

    area: str
    output: str = ""
    passed: int = 0
    failed: list[str] = field(default_factory=list)


def run_area(area: Path) -> Verdict:
    """Run one area; an area that prints no result counts as failed."""
    verdict = Verdict(area.name)
    with tempfile.TemporaryDirectory() as folder:
        found = Path(folder) / "found.json"
        command = [sys.executable, "-m", "behave", str(area), "--no-capture"]
        command += ["--format", "json", "--outfile", str(found)]
        command += ["--format", "plain"]
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        try:
            ended = subprocess.run(
                command,
                cwd=ROOT,
                env=environment,
                capture_output=True,
                text=True,
                timeout=AREA_TIMEOUT_S,
            )
            verdict.output = ended.stdout + ended.stderr
            features = json.loads(found.read_text() or "[]")
        except (subprocess.TimeoutExpired, OSError, ValueError) as error:
            verdict.failed.append(f"{area.name}: no result: {error!r:.200}")
            return verdict
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] != "background":
                _add(verdict, element)
    if ended.returncode != 0 and not verdict.failed:
        verdict.failed.append(f"{area.name}: behave ended with {ended.returncode}")
    return verdict


def _add(verdict: Verdict, element: dict) -> None:
    if element.get("status") == "passed":
        verdict.passed += 1
    else:
        verdict.failed.append(f"{verdict.area}: {element['name']}")


def main() -> int:
    """Run all areas, or those named, and return 1 if any scenario failed."""
    named = set(sys.argv[1:])
    areas = [
        path.parent
        for path in sorted((ROOT / "features").glob("*/steps"))
        if not named or path.parent.name in named
    ]
    shared = [area for area in areas if area.name not in ALONE]
    with ThreadPoolExecutor(AREAS_AT_ONCE) as pool:
        verdicts = list(pool.map(run_area, shared))
    verdicts += [run_area(area) for area in areas if area.name in ALONE]
    known = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    expected = {line.partition("|")[0].strip() for line in known if line.strip()}
    failed = [name.strip() for verdict in verdicts for name in verdict.failed]
    for verdict in verdicts:
        print(f"{verdict.area}: {verdict.passed} passed, {len(verdict.failed)} failed")
        if verdict.failed:
            print(verdict.output)
    for name in failed:
        print("KNOWN RED" if name in expected else "FAILED", name)
    unexpected = [name for name in failed if name not in expected]
    passed = sum(verdict.passed for verdict in verdicts)
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
