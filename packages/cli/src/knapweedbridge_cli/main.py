"""The binary ``knapweedbridge``."""

import sys
from dataclasses import dataclass

import cappa

from knapweedbridge_cli.configuration_commands import (
    Apply,
    Check,
    Diff,
    Generations,
    Rollback,
)
from knapweedbridge_cli.errors import CommandError, ExitCode
from knapweedbridge_cli.explain_command import Explain
from knapweedbridge_cli.fleet_commands import (
    Adapters,
    Drain,
    Endpoints,
    Status,
    Version,
)
from knapweedbridge_cli.losses_command import Losses
from knapweedbridge_cli.output import show_error
from knapweedbridge_cli.timeline_command import ShowTimeline

CAPPA_USAGE_CODE = 2


@cappa.command(name="knapweedbridge")
@dataclass
class Knapweedbridge:
    """Operate knapweedbridge.

    Example: knapweedbridge apply ./folder --wait
    """

    chosen: cappa.Subcommands[
        Check
        | Diff
        | Apply
        | Rollback
        | Generations
        | Status
        | Adapters
        | Endpoints
        | Drain
        | ShowTimeline
        | Explain
        | Losses
        | Version
    ]


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    try:
        command = cappa.parse(Knapweedbridge, argv=arguments)
    except cappa.Exit as error:
        usage = error.code == CAPPA_USAGE_CODE
        return ExitCode.USAGE if usage else int(error.code or ExitCode.OK)
    try:
        command.chosen.run()
    except cappa.Exit as error:
        return int(error.code or ExitCode.OK)
    except CommandError as error:
        show_error(error, getattr(command.chosen, "as_json", False))
        return error.exit_code
    return ExitCode.OK


def main() -> None:
    """Run the command."""
    sys.exit(run(sys.argv[1:]))
