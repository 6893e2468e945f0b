"""What a folder of the planned size costs the daemon that takes it.

Prints a table and writes bench/results/administration.json.
"""

import json
import subprocess
import sys
import time
from pathlib import Path

import anyio
from anyio import to_thread

from knapweedbridge_core.configuration import build
from knapweedbridge_core.differences import compare
from knapweedbridge_daemon.access import Caller
from knapweedbridge_daemon.off_loop import run_off_loop
from knapweedbridge_daemon.proposals import propose

ROOT = Path(__file__).parent.parent
RESULT = ROOT / "bench" / "results" / "administration.json"
ADAPTERS = 28_000
TEAMS = 40
ENDPOINTS = 330
REPEATS = 3
PAUSE_S = 0.001


def make_folder() -> dict[str, str]:
    """Make a folder of the planned size, one file a team."""
    files = {"00-teams.ini": "\n".join(f"[team team-{t}]" for t in range(TEAMS))}
    for team in range(TEAMS):
        lines = []
        for place in range(team, ADAPTERS, TEAMS):
            lines += [f"[adapter a-{place}]", f"team = team-{team}"]
            lines += ["base_model = base-0", f"[version a-{place}@1]"]
        files[f"10-team-{team:02d}.ini"] = "\n".join(lines)
    lines = []
    for place in range(ENDPOINTS):
        lines += [
            f"[endpoint e-{place}]",
            f"address = 10.0.{place // 250}.1:{place + 1}",
        ]
        lines += ["data_centre = dc1", "base_model = base-0"]
    files["20-endpoints.ini"] = "\n".join(lines)
    return files


def timed(work, *arguments):
    """Return what the work returns, and the seconds it took."""
    started_s = time.perf_counter()
    found = work(*arguments)
    return found, time.perf_counter() - started_s


async def longest_gap_s(run, work, *arguments) -> float:
    """Return the longest time the event loop stood still beside the work."""
    longest_s = 0.0
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            nonlocal longest_s
            while True:
                before_s = time.perf_counter()
                await anyio.sleep(PAUSE_S)
                gap_s = time.perf_counter() - before_s - PAUSE_S
                longest_s = max(longest_s, gap_s)

        tasks.start_soon(watch)
        await run(work, *arguments)
        tasks.cancel_scope.cancel()
    return longest_s


def measure() -> dict[str, float]:
    """Measure once."""
    files = make_folder()
    administrator = Caller("administrator", "team-0", administrator=True)
    operator = Caller("operator", "team-0", administrator=False)
    whole, whole_s = timed(propose, administrator, {}, files)
    own = {"own.ini": files["10-team-00.ini"]}
    _, team_s = timed(propose, operator, whole, own)
    changed = {**whole, "team team-0": {"share": "2"}}
    _, compare_s = timed(compare, whole, changed)
    _, build_s = timed(build, 1, whole)
    gaps_s = {
        name: anyio.run(longest_gap_s, run, propose, administrator, {}, files)
        for name, run in (("thread", to_thread.run_sync), ("off_loop", run_off_loop))
    }
    return {
        "folder_bytes": sum(map(len, files.values())),
        "check_whole_s": whole_s,
        "check_team_s": team_s,
        "compare_s": compare_s,
        "build_s": build_s,
        "longest_gap_plain_thread_s": gaps_s["thread"],
        "longest_gap_off_loop_s": gaps_s["off_loop"],
    }


def main() -> None:
    """Measure, print and write."""
    runs = [measure() for _ in range(REPEATS)]
    figures = {name: sorted(run[name] for run in runs) for name in runs[0]}
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    ).stdout.strip()
    for name, values in figures.items():
        print(f"{name:28} " + "  ".join(f"{value:12.4f}" for value in values))
    found = {
        "command": "make administration",
        "commit": commit,
        "adapters": ADAPTERS,
        "endpoints": ENDPOINTS,
        "figures": figures,
    }
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(found, indent=2) + "\n")


if __name__ == "__main__":
    sys.exit(main())
