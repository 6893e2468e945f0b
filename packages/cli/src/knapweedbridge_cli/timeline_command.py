"""The command that merges the time lines of all hosts."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from knapweedbridge_cli.errors import CommandError, ExitCode
from knapweedbridge_cli.options import Daemon, Json
from knapweedbridge_cli.output import show
from knapweedbridge_cli.timeline_collect import Collected, collect
from knapweedbridge_cli.timeline_page import make_page
from knapweedbridge_cli.timeline_picture import draw
from knapweedbridge_cli.timeline_text import timeline_lines
from knapweedbridge_cli.timeline_times import read_time_us

LIMIT = 300


@cappa.command(name="timeline")
@dataclass
class ShowTimeline:
    """Show the events of all hosts in the order of cause and effect.

    Example: knapweedbridge timeline --request 5f0c --html request.html
    """

    daemon: Annotated[Daemon, cappa.Arg(destructure=True)]
    request: Annotated[
        str, cappa.Arg(long=True, help="Request id, as in X-Request-Id.")
    ] = ""
    adapter: Annotated[
        str, cappa.Arg(long=True, help="An adapter, or adapter@version.")
    ] = ""
    endpoint: Annotated[str, cappa.Arg(long=True, help="Name of an endpoint.")] = ""
    since: Annotated[
        str, cappa.Arg(long=True, help="Earliest: 30s, 5m, 2h ago, or an ISO time.")
    ] = ""
    until: Annotated[str, cappa.Arg(long=True, help="Latest, likewise.")] = ""
    limit: Annotated[
        int, cappa.Arg(long=True, help="Most events; the newest are shown.")
    ] = LIMIT
    svg: Annotated[
        Path | None, cappa.Arg(long=True, help="Write the picture to this file.")
    ] = None
    html: Annotated[
        Path | None,
        cappa.Arg(long=True, help="Write a page with the picture to this file."),
    ] = None
    as_json: Json = False

    def run(self) -> None:
        """Collect, then print or write."""
        query = self._query()
        with self.daemon.open() as client:
            collected = collect(client, query, self.limit)
        if self.svg is not None:
            _write(self.svg, draw(collected, self._title()))
        if self.html is not None:
            _write(self.html, make_page(collected, self._title(), self.request))
        if self.svg is None and self.html is None:
            lines = timeline_lines(collected, self.request)
            show(_to_json(collected), lines, self.as_json)
        if self.request and not collected.events:
            message = f"no host holds an event of request {self.request}"
            raise CommandError(message, ExitCode.NOT_FOUND)

    def _query(self) -> dict[str, Any]:
        return {
            "request": self.request,
            "adapter": self.adapter,
            "endpoint": self.endpoint,
            "since_us": read_time_us(self.since, "since"),
            "until_us": read_time_us(self.until, "until"),
            "limit": self.limit,
        }

    def _title(self) -> str:
        named = [
            f"{name} {value}"
            for name, value in (
                ("request", self.request),
                ("adapter", self.adapter),
                ("endpoint", self.endpoint),
            )
            if value
        ]
        return "Time line of " + (", ".join(named) or "all events")


def _to_json(collected: Collected) -> dict[str, Any]:
    return {
        "events": [event.to_json() for event in collected.events],
        "truncated": collected.truncated,
        "missing": collected.missing,
    }


def _write(path: Path, text: str) -> None:
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", ExitCode.USAGE) from None
