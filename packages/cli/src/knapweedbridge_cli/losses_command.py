"""The command that tells from the hosts' logs where answers in time were lost."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from knapweedbridge_cli.errors import CommandError, ExitCode
from knapweedbridge_cli.log_files import read_lines
from knapweedbridge_cli.loss_dips import Dip, EndedCall, find_dips
from knapweedbridge_cli.options import Json
from knapweedbridge_cli.output import show

IN_TIME = "in time"
LATE_FIRST = "late: first event"
LATE_PAUSE = "late: pause"


@cappa.command(name="losses")
@dataclass
class Losses:
    """Count the calls of a log by route, moment and what became of them.

    Example: knapweedbridge losses --logs ./logs --first-s 0.6 --pause-s 0.25
    """

    logs: Annotated[
        Path, cappa.Arg(long=True, help="A log file, or a folder of *.log files.")
    ]
    first_s: Annotated[
        float, cappa.Arg(long=True, help="First events after this are late, seconds.")
    ] = 0.6
    pause_s: Annotated[
        float, cappa.Arg(long=True, help="Longer pauses make a stream late, seconds.")
    ] = 0.25
    every_s: Annotated[
        float, cappa.Arg(long=True, help="Length of a moment, seconds.")
    ] = 2.0
    as_json: Json = False

    def run(self) -> None:
        """Read the logs, then print three tables."""
        if self.every_s <= 0:
            raise CommandError("--every-s must be above 0", ExitCode.USAGE)
        lines = [
            line
            for line in read_lines(self.logs)
            if line.get("message_type") == "request.ended"
        ]
        if not lines:
            message = f"{self.logs}: no line tells how a call ended"
            raise CommandError(message, ExitCode.NOT_FOUND)
        by_route: dict[str, Counter[str]] = defaultdict(Counter)
        by_moment: dict[str, Counter[str]] = defaultdict(Counter)
        began_s = min(line["time_s"] for line in lines)
        for line in lines:
            reason = self._reason(line)
            by_route[line.get("route", "?")][reason] += 1
            moment = int((line["time_s"] - began_s) / self.every_s) * self.every_s
            by_moment[f"{moment:08.1f}"][reason] += 1
        dips = find_dips([self._ended(line, began_s) for line in lines], IN_TIME)
        found = {"routes": by_route, "moments": by_moment, "dips": dips}
        text = [*_table("route", by_route), "", *_table("from, s", by_moment)]
        text += ["", *_dip_lines(dips)]
        show(found, text, self.as_json)

    def _ended(self, line: dict[str, Any], began_s: float) -> EndedCall:
        came_s = line["time_s"] - line.get("took_s", 0.0) - began_s
        return EndedCall(came_s, self._reason(line))

    def _reason(self, line: dict[str, Any]) -> str:
        if line.get("outcome") != "answered":
            return str(line.get("outcome"))
        if (line.get("first_s") or 0.0) > self.first_s:
            return LATE_FIRST
        return LATE_PAUSE if line.get("pause_s", 0.0) > self.pause_s else IN_TIME


def _dip_lines(dips: list[Dip]) -> list[str]:
    """Return a line for each time in which fewer calls were answered in time."""
    lines = ["from, s   back after, s  before  calls that came meanwhile"]
    for dip in dips:
        lasted_s = dip.until_s - dip.from_s
        reasons = ", ".join(f"{n} {reason}" for reason, n in dip.reasons.most_common())
        lines.append(
            f"{dip.from_s:7.1f}  {lasted_s:14.1f}  {dip.share_before:6.2f}  {reasons}"
        )
    return lines


def _table(head: str, rows: dict[str, Counter[str]]) -> list[str]:
    """Return a table with a column for each reason, the most frequent first."""
    total: Counter[str] = sum(rows.values(), Counter())
    reasons = [reason for reason, _ in total.most_common()]
    width = max(len(head), *(len(name) for name in rows))
    lines = ["  ".join([head.ljust(width), *reasons])]
    for name, counts in sorted(rows.items()):
        cells = [str(counts[reason]).rjust(len(reason)) for reason in reasons]
        lines.append("  ".join([name.ljust(width), *cells]))
    return lines
