"""One embedded platform for all features of the area."""

import logging
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from eliot import add_destinations  # noqa: E402
from embedded_platform import EmbeddedPlatform  # noqa: E402


def before_all(context):
    logging.getLogger("httpx").setLevel(logging.WARNING)
    context.log_lines = []
    add_destinations(context.log_lines.append)
    context.platform = EmbeddedPlatform()


def after_all(context):
    context.platform.close()
