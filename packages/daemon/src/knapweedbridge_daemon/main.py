"""The binary ``knapweedbridged``."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa
from eliot import to_file

from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.settings import Settings, read_settings
from knapweedbridge_daemon.daemon import Daemon

EXIT_BAD_SETTINGS = 2


@cappa.command(name="knapweedbridged")
@dataclass
class Knapweedbridged:
    """Serve requests on this entry host.

    Example: knapweedbridged --settings /etc/knapweedbridge/daemon.ini
    """

    settings: Annotated[Path, cappa.Arg(long=True, help="The settings file.")]
    check: Annotated[bool, cappa.Arg(long=True, help="Check the settings and end.")] = (
        False
    )

    def __call__(self) -> None:
        """Check the settings, then serve until a signal."""
        settings = self._read()
        if self.check:
            return
        to_file(sys.stderr)
        anyio.run(
            Daemon(settings).run,
            backend="asyncio",
            backend_options={"use_uvloop": True},
        )

    def _read(self) -> Settings:
        try:
            return read_settings(str(self.settings), self.settings.read_text())
        except (CheckError, OSError) as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)


def main() -> None:
    """Run the command."""
    cappa.parse(Knapweedbridged)()
