"""The daemon: sockets, files and timers round the core."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from knapweedbridge_daemon.daemon import Daemon

__all__ = ["Daemon"]


def __getattr__(name: str) -> Any:
    # Imported when asked for: a daemon that serves by a platform's dialect needs
    # none of what this one brings, and starts 0.3 s of processor time sooner.
    if name == "Daemon":
        return import_module("knapweedbridge_daemon.daemon").Daemon
    raise AttributeError(name)
