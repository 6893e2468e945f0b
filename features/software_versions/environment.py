import sys
from pathlib import Path

AREA = Path(__file__).parent

for folder in ("platform", "platform/steps", "accounts", "backpressure", "paths"):
    sys.path.insert(0, str(AREA.parent / folder))
sys.path.insert(0, str(AREA.parents[1] / "bench"))
sys.path.insert(0, str(AREA))

from whole_path import keep_failed_logs as after_scenario  # noqa: E402, F401
