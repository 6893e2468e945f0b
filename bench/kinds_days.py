"""Plays a day of each kind of trouble on the users' bench, and prints a table.

    make kinds-days BENCH=... SITE=... ENGINES=... PLAIN=... [DAYS=name,name] [JOBS=3]
        [BESIDE=name]

BENCH is the bench's program and SITE a site file of its; ENGINES and PLAIN are the
site's services that the days name ``{engines}`` and ``{plain}``. A day begins with two
comments: the mechanism that it tries, and that mechanism's test. BESIDE is a day whose
planned work is played beside that of each other day. Prints a line a day, and writes
all of them to ``results/kinds_days.json``; those beside a day to
``results/kinds_days_beside_NAME.json``.
"""

import json
import os
import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

HERE = Path(__file__).parent
DAYS = HERE / "days"
UNTIL_S = "18"
NOTE = re.compile(r"^# (mechanism|test): (.*)$", re.MULTILINE)
WORTH = re.compile(r"^worth (-?[\d.]+) =", re.MULTILINE)
BROKEN = re.compile(r"BROKEN: (.*)$", re.MULTILINE)
PLAN = re.compile(r"^plan = \[\n(.*?)^\]\n", re.MULTILINE | re.DOTALL)


def add_plan(text: str, beside: str) -> str:
    """Add the planned work of one day's text to that of another."""
    rows = "".join(PLAN.findall(beside))
    if PLAN.search(text):
        return PLAN.sub(lambda found: f"plan = [\n{found[1]}{rows}]\n", text, count=1)
    return f"{text}plan = [\n{rows}]\n"


def play(day: Path) -> dict:
    """Play one day, and return its row of the table."""
    text = day.read_text()
    notes = dict(NOTE.findall(text))
    beside = os.environ.get("BESIDE", "")
    if beside:
        text = add_plan(text, (DAYS / f"{beside}.toml").read_text())
    for name in ("engines", "plain"):
        text = text.replace("{" + name + "}", os.environ[name.upper()])
    with tempfile.TemporaryDirectory() as folder:
        filled = Path(folder) / day.name
        filled.write_text(text)
        ended = subprocess.run(
            [
                os.environ["BENCH"],
                "run",
                os.environ["SITE"],
                str(filled),
                "--until",
                UNTIL_S,
                "--why",
                f"A day of {day.stem} {'beside ' + beside if beside else 'alone'}",
            ],
            capture_output=True,
            text=True,
        )
    worth = WORTH.search(ended.stdout)
    broken = BROKEN.search(ended.stdout)
    return {
        "day": day.stem,
        **notes,
        "worth": float(worth[1]) if worth else None,
        "broken": broken[1] if broken else "",
        "error": "" if worth else (ended.stdout + ended.stderr)[-300:],
    }


def main() -> int:
    """Play all days, or those named; 1 if a rule was broken or a day not played."""
    named = set(filter(None, os.environ.get("DAYS", "").split(",")))
    beside = os.environ.get("BESIDE", "")
    days = [
        day
        for day in sorted(DAYS.glob("*.toml"))
        if day.stem != beside and (not named or day.stem in named)
    ]
    rows = []
    with ThreadPoolExecutor(int(os.environ.get("JOBS", "3"))) as pool:
        for row in pool.map(play, days):
            rows.append(row)
            print(json.dumps(row), flush=True)
    name = f"kinds_days_beside_{beside}" if beside else "kinds_days"
    result = HERE / "results" / f"{name}.json"
    result.write_text(json.dumps(rows, indent=1) + "\n")
    bad = [row["day"] for row in rows if row["broken"] or row["error"]]
    print(f"{len(rows)} days, broken or not played: {', '.join(bad) or 'none'}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
