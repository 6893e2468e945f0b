"""Reads the logs that daemons wrote."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson

from knapweedbridge_cli.errors import CommandError, ExitCode


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the lines of a log file, or of all ``*.log`` files of a folder.

    Raises
    ------
    CommandError
        If a file cannot be read.
    """
    files = sorted(path.glob("*.log")) if path.is_dir() else [path]
    for file in files:
        try:
            content = file.read_bytes()
        except OSError as error:
            message = f"{file}: {error.strerror}"
            raise CommandError(message, ExitCode.NOT_FOUND) from error
        for raw in content.splitlines():
            # What runs before the daemon, or collects logs, may put text before a line.
            start = raw.find(b'{"message_type"')
            if start >= 0:
                try:
                    yield orjson.loads(raw[start:])
                except ValueError:
                    continue
