import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from whole_path import keep_failed_logs as after_scenario  # noqa: E402, F401
