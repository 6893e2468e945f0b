"""Rate-limited, non-blocking log of decisions.

Lines are queued in memory for one writer. If standard output blocks for too long, they
are dropped and counted; kinds of lines that occur too often are rate-limited, and the
dropped lines are counted.
"""

import os
import sys
import time
from collections import Counter, defaultdict, deque
from dataclasses import dataclass
from typing import Any

import anyio
import orjson
from eliot import Logger, add_destinations, remove_destination

from knapweedbridge_daemon.levels import Level
from knapweedbridge_daemon.serving.clock import loop_time_s

MAX_QUEUED_LINES = 5000
WRITE_PERIOD_S = 0.1
MAX_BATCH_BYTES = 65536


@dataclass(slots=True)
class _RateWindow:
    """Number of lines of one kind in the current second."""

    second: int = 0
    lines: int = 0
    dropped: int = 0


class DecisionLog:
    """Writes one JSON object per line to standard output.

    Parameters
    ----------
    host : str
        Name of this host, which is part of every line.
    level : str
        Lowest level that is written: ``error``, ``info`` or ``debug``.
    lines_per_s : float
        Maximum number of lines of one kind per second.
    descriptor : int or None
        File descriptor to write to; None for standard output.

    Attributes
    ----------
    dropped : Counter
        Number of dropped lines by kind.
    """

    def __init__(
        self, host: str, level: str, lines_per_s: float, descriptor: int | None = None
    ) -> None:
        self._host = host
        self._level = Level[level.upper()]
        self._lines_per_s = lines_per_s
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: deque[bytes] = deque()
        self._windows: dict[str, _RateWindow] = defaultdict(_RateWindow)
        self._logger = Logger()
        self.dropped: Counter[str] = Counter()
        self._unwritten = b""

    def open(self) -> None:
        """Subscribe to eliot's messages and make the descriptor non-blocking."""
        os.set_blocking(self._descriptor, False)
        add_destinations(self._enqueue)

    def close(self) -> None:
        """Unsubscribe from eliot and write the queued lines without blocking."""
        remove_destination(self._enqueue)
        self._flush()

    def info(self, kind: str, **fields: Any) -> None:
        """Log a decision or a change of the known state."""
        self._write(Level.INFO, kind, fields)

    def error(self, kind: str, **fields: Any) -> None:
        """Log a failure."""
        self._write(Level.ERROR, kind, fields)

    def debug(self, kind: str, **fields: Any) -> None:
        """Log a step of an operation."""
        self._write(Level.DEBUG, kind, fields)

    def _write(self, level: Level, kind: str, fields: dict[str, Any]) -> None:
        if level < self._level:
            return
        now_s = loop_time_s()
        if not self._is_within_limit(kind, now_s):
            return
        self._logger.write(
            {
                "message_type": kind,
                "host": self._host,
                "level": level.name.lower(),
                "time_s": round(time.time(), 4),
                "clock_s": round(now_s, 4),
                **fields,
            }
        )

    def _is_within_limit(self, kind: str, now_s: float) -> bool:
        window = self._windows[kind]
        second = int(now_s)
        if window.second != second:
            window.second, window.lines = second, 0
        window.lines += 1
        if window.lines > self._lines_per_s:
            self.dropped[kind] += 1
            return False
        return True

    def _enqueue(self, message: dict[str, Any]) -> None:
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped[str(message.get("message_type"))] += 1
            return
        self._lines.append(orjson.dumps(message, default=str) + b"\n")

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        while True:
            self._flush()
            await anyio.sleep(WRITE_PERIOD_S)

    def _flush(self) -> None:
        while self._unwritten or self._lines:
            batch = self._unwritten
            while self._lines and len(batch) < MAX_BATCH_BYTES:
                batch += self._lines.popleft()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # A closed output stays closed; the lines are dropped and serving
                # continues.
                self.dropped["closed"] += batch.count(b"\n")
                self._unwritten = b""
                return
            self._unwritten = batch[written:]
            if self._unwritten:
                return
