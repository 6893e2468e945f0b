"""The command that tells from the hosts' logs what became of one call."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from knapweedbridge_cli.errors import CommandError, ExitCode
from knapweedbridge_cli.log_files import read_lines
from knapweedbridge_cli.options import Json
from knapweedbridge_cli.output import show

AROUND_S = 1.0
"""Time before a call's end from which lines of the engines it waited for are shown."""

ENGINE_LINES = frozenset({"engine.ordered", "engine.stuck", "engine.report_failed"})
HIDDEN = frozenset({"clock_s", "level"})


@cappa.command(name="explain")
@dataclass
class Explain:
    """Tell from the logs of all hosts what became of one call.

    Example: knapweedbridge explain 9c41d07be2a35f68 --logs ./logs
    """

    request: Annotated[str, cappa.Arg(help="The call's request id.")]
    logs: Annotated[
        Path, cappa.Arg(long=True, help="A log file, or a folder of *.log files.")
    ]
    as_json: Json = False

    def run(self) -> None:
        """Read the logs, then print the call's lines and what stands beside them."""
        lines = sorted(read_lines(self.logs), key=lambda line: line.get("time_s", 0.0))
        chain = [line for line in lines if line.get("request") == self.request]
        if not chain:
            message = f"{self.logs}: no line of request {self.request}"
            raise CommandError(message, ExitCode.NOT_FOUND)
        beside = _beside(chain, lines)
        text = [_text(line) for line in chain]
        if beside:
            text += ["", "the engines it waited for, on their owners:"]
            text += [_text(line) for line in beside]
        show({"chain": chain, "engines": beside}, text, self.as_json)


def _beside(
    chain: list[dict[str, Any]], lines: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return what owners logged of engines that the call waited for, meanwhile."""
    engines = {line["engine"] for line in chain if "engine" in line}
    last_s = max(line["time_s"] for line in chain)
    first_s = min(line["time_s"] for line in chain) - AROUND_S
    return [
        line
        for line in lines
        if line.get("message_type") in ENGINE_LINES
        and line.get("engine") in engines
        and first_s <= line.get("time_s", 0.0) <= last_s
    ]


def _text(line: dict[str, Any]) -> str:
    shown = {key: value for key, value in line.items() if key not in HIDDEN}
    kind, host = shown.pop("message_type", "?"), shown.pop("host", "?")
    at_s = shown.pop("time_s", 0.0)
    fields = " ".join(f"{key}={value}" for key, value in shown.items() if value != "")
    return f"{host} {at_s:.3f} {kind} {fields}"
