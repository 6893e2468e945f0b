import sys
from pathlib import Path

AREAS = Path(__file__).parent.parent

# Uses the daemons and stand-ins of the platform area.
for folder in ("platform", "platform/steps", "accounts", "backpressure"):
    sys.path.insert(0, str(AREAS / folder))

from whole_path import keep_failed_logs as after_scenario  # noqa: E402, F401
