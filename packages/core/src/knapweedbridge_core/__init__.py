"""Decision logic of knapweedbridge, as state machines that perform no I/O."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
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

_MODULES = {
    "Bridge": "bridge",
    "Configuration": "configuration",
    "CheckError": "errors",
    "CoreError": "errors",
    "AdapterVersion": "names",
    "parse_adapter_version": "names",
    "Complete": "outcomes",
    "NotRun": "outcomes",
    "Outcome": "outcomes",
    "Reason": "outcomes",
    "Unknown": "outcomes",
}


def __getattr__(name: str) -> Any:
    # Imported on first use: serving a platform's dialect needs only a few of them.
    if name in _MODULES:
        module = import_module(f"knapweedbridge_core.{_MODULES[name]}")
        return getattr(module, name)
    raise AttributeError(name)
