"""Entry point of a daemon that serves by a platform's dialect."""

import sys
from pathlib import Path

import anyio

from knapweedbridge_core.errors import CheckError
from knapweedbridge_daemon.errors import DaemonError
from knapweedbridge_daemon.serving.host import ServingHost
from knapweedbridge_daemon.serving.settings import (
    ServingSettings,
    read_serving_settings,
)

EXIT_INVALID_SETTINGS = 2


def serve(settings: ServingSettings) -> None:
    """Serve until a stop signal."""
    anyio.run(
        ServingHost(settings).run,
        backend="asyncio",
        backend_options={"use_uvloop": True},
    )


def serve_file(path: Path) -> None:
    """Check a settings file and serve by it; exit if the file is invalid."""
    try:
        settings = read_serving_settings(str(path), path.read_text(encoding="utf-8"))
        serve(settings)
    except (CheckError, DaemonError, OSError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
