"""The binary ``knapweedbridged``."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, NoReturn

import anyio
import cappa

from knapweedbridge_core.errors import CheckError
from knapweedbridge_core.settings import Settings
from knapweedbridge_daemon.daemon import Daemon
from knapweedbridge_daemon.errors import LocalFileError
from knapweedbridge_daemon.local_files import load_settings, read_text
from knapweedbridge_daemon.logs import logging_to
from knapweedbridge_daemon.serving.main import serve
from knapweedbridge_daemon.serving.settings import (
    is_serving_settings,
    read_serving_settings,
)

EXIT_BAD_SETTINGS = 2
EXIT_CUT = 3


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
        text = self._text()
        if is_serving_settings(text):
            self._serve_by_dialect(text)
            return
        settings = self._read()
        if self.check:
            print(f"{self.settings}: no fault")
            return
        try:
            with logging_to(settings.get("logs", "destination")):
                self._serve(settings)
        except LocalFileError as error:
            _refuse(error)

    def _text(self) -> str:
        try:
            return read_text(self.settings)
        except LocalFileError as error:
            _refuse(error)

    def _serve_by_dialect(self, text: str) -> None:
        try:
            settings = read_serving_settings(str(self.settings), text)
        except CheckError as error:
            _refuse(error)
        if self.check:
            print(f"{self.settings}: no fault")
            return
        serve(settings)

    @staticmethod
    def _serve(settings: Settings) -> None:
        daemon = Daemon(settings)
        anyio.run(
            daemon.run,
            backend="asyncio",
            backend_options={"use_uvloop": True},
        )
        if daemon.cut_requests:
            print(f"cut {daemon.cut_requests} requests", file=sys.stderr)
            sys.exit(EXIT_CUT)

    def _read(self) -> Settings:
        try:
            return load_settings(self.settings)
        except (CheckError, LocalFileError) as error:
            _refuse(error)


def _refuse(error: Exception) -> NoReturn:
    print(error, file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)


def main() -> None:
    """Run the command."""
    cappa.parse(Knapweedbridged)()
