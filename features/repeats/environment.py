import sys
from pathlib import Path

AREAS = Path(__file__).parent.parent

for folder in ("platform", "platform/steps", "accounts", "backpressure", "paths"):
    sys.path.insert(0, str(AREAS / folder))
sys.path.insert(0, str(AREAS / "repeats"))
sys.path.insert(0, str(AREAS.parent / "bench"))

from whole_path import keep_failed_logs as after_scenario  # noqa: E402, F401
