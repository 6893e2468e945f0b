"""The decisions of knapweedbridge, as state machines without input or output."""

from knapweedbridge_core.bridge import Bridge
from knapweedbridge_core.configuration import Configuration
from knapweedbridge_core.errors import CheckError, CoreError
from knapweedbridge_core.names import AdapterVersion, parse_adapter_version
from knapweedbridge_core.outcomes import Complete, NotRun, Outcome, Reason, Unknown

__all__ = [
    "AdapterVersion",
    "Bridge",
    "CheckError",
    "Complete",
    "Configuration",
    "CoreError",
    "NotRun",
    "Outcome",
    "Reason",
    "Unknown",
    "parse_adapter_version",
]
