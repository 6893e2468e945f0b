"""Plays a day of each kind of trouble on the users' bench, and prints a table.

    make kinds-days BENCH=... SITE=... ENGINES=... PLAIN=... [DAYS=name,name] [JOBS=3]

BENCH is the bench's program and SITE a site file of its; ENGINES and PLAIN are the
site's services that the days name ``{engines}`` and ``{plain}``. A day begins with two
comments: the mechanism that it tries, and that mechanism's test. Prints a line a day,
and writes all of them to ``results/kinds_days.json``.
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
RESULT = HERE / "results" / "kinds_days.json"
UNTIL_S = "18"
NOTE = re.compile(r"^# (mechanism|test): (.*)$", re.MULTILINE)
WORTH = re.compile(r"^worth (-?[\d.]+) =", re.MULTILINE)
BROKEN = re.compile(r"BROKEN: (.*)$", re.MULTILINE)


def play(day: Path) -> dict:
    """Play one day, and return its row of the table."""
    text = day.read_text()
    notes = dict(NOTE.findall(text))
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
                f"A day of {day.stem} alone",
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
    days = [
        day for day in sorted(DAYS.glob("*.toml")) if not named or day.stem in named
    ]
    rows = []
    with ThreadPoolExecutor(int(os.environ.get("JOBS", "3"))) as pool:
        for row in pool.map(play, days):
            rows.append(row)
            print(json.dumps(row), flush=True)
    RESULT.write_text(json.dumps(rows, indent=1) + "\n")
    bad = [row["day"] for row in rows if row["broken"] or row["error"]]
    print(f"{len(rows)} days, broken or not played: {', '.join(bad) or 'none'}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
