"""Options that several commands share."""

from dataclasses import dataclass, field
from typing import Annotated

import cappa

from knapweedbridge_cli.administration import AdministrationClient

Json = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]


@dataclass
class Daemon:
    """Which daemon is asked, and by whom."""

    url: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("KNAPWEEDBRIDGE_URL"),
            help="URL of a daemon's administration API, or several with commas.",
        ),
    ]
    key: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("KNAPWEEDBRIDGE_KEY"),
            help="The operator's key; better by the environment than here.",
            show_default=False,
        ),
    ]
    ca_file: Annotated[
        str,
        cappa.Arg(
            long=["--ca", "--ca-file"],
            default=cappa.Env(
                "KNAPWEEDBRIDGE_CA", "KNAPWEEDBRIDGE_CA_FILE", default=""
            ),
            help="PEM file of the authorities that certificates are checked against.",
        ),
    ] = field(default="")

    def open(self) -> AdministrationClient:
        """Open a client of the daemon."""
        return AdministrationClient(self.url, self.key, self.ca_file)
