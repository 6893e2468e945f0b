"""The command that merges the time lines of all hosts."""

from dataclasses import dataclass, field
from typing import Annotated

import cappa

from knapweedbridge_cli.options import Daemon, Json
from knapweedbridge_cli.output import show


@cappa.command(name="timeline")
@dataclass
class ShowTimeline:
    """Show the events of all hosts in the order of cause and effect.

    Example: knapweedbridge timeline --request 5f0c
    """

    daemon: Annotated[Daemon, cappa.Arg(destructure=True)]
    request: Annotated[str, cappa.Arg(long=True, help="Request id.")] = ""
    as_json: Json = field(default=False)

    def run(self) -> None:
        """Print the events."""
        with self.daemon.open() as client:
            found = client.call("GET", "/v1/timeline", request=self.request)
        show(found, [str(event) for event in found["events"]], self.as_json)
