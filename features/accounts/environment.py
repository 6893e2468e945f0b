import sys
from pathlib import Path

AREAS = Path(__file__).parent.parent

# Its daemons and stand-ins are those of the whole path on the platform's wire.
for folder in (AREAS / "platform", AREAS / "platform/steps", AREAS / "accounts/steps"):
    sys.path.insert(0, str(folder))
