"""The daemon of knapweedbridge."""

from knapweedbridge_daemon.daemon import Daemon

__all__ = ["Daemon"]
