"""Keeps the kernel from closing connections to peers that pause their reading."""

import asyncio
import socket
import struct
from abc import ABC, abstractmethod
from typing import Any
from weakref import WeakKeyDictionary

from knapweedbridge_core.serving.unacknowledged_output import UnacknowledgedOutput

CHECK_INTERVAL_S = 0.5
"""Interval between checks of connections with unacknowledged output, well below the
timeout for lost peers."""

_TCP_INFO = struct.Struct("=xxBB20xI116xI")
"""The parts of Linux's ``struct tcp_info`` that `UnacknowledgedOutput` needs."""


def read_output(raw: Any) -> UnacknowledgedOutput:
    """Return the kernel's counters of a connection.

    Raises
    ------
    OSError
        If the connection is closed.
    """
    info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    retransmissions, probes, segments, waiting_bytes = _TCP_INFO.unpack(info)
    return UnacknowledgedOutput(segments, waiting_bytes, retransmissions, probes)


class MonitoredStream(ABC):
    """A stream whose timeout depends on whether its peer answers."""

    @abstractmethod
    def update_timeout(self) -> bool:
        """Set the timeout for unacknowledged output; return whether there is any."""


class OutputMonitor:
    """Checks the streams of one event loop that have unacknowledged output."""

    _by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, "OutputMonitor"] = (
        WeakKeyDictionary()
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._call_later = loop.call_later
        self._streams: set[MonitoredStream] = set()
        self._is_scheduled = False

    @classmethod
    def of(cls, loop: asyncio.AbstractEventLoop) -> "OutputMonitor":
        """Return the monitor of an event loop."""
        monitor = cls._by_loop.get(loop)
        if monitor is None:
            monitor = cls._by_loop[loop] = cls(loop)
        return monitor

    def watch(self, stream: MonitoredStream) -> None:
        """Check a stream that has written until all its output is acknowledged."""
        self._streams.add(stream)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._streams = {each for each in self._streams if each.update_timeout()}
        self._is_scheduled = bool(self._streams)
        if self._is_scheduled:
            self._call_later(CHECK_INTERVAL_S, self._check)
