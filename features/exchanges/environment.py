import sys
from pathlib import Path

AREAS = Path(__file__).parent.parent

# The daemons and stand-ins are those of the platform's features.
for folder in ("platform", "platform/steps", "accounts", "exchanges"):
    sys.path.insert(0, str(AREAS / folder))

from whole_path import keep_failed_logs as after_scenario  # noqa: E402, F401
