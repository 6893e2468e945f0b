"""Log lines of decisions: bounded, and never in the way of serving.

Lines wait in memory for one writer. Where standard output takes none, they are
dropped and counted; a kind of line that comes too often is thinned out and counted.
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

WAITING_LINES = 5000
WRITE_PERIOD_S = 0.1
WRITE_BYTES = 65536


@dataclass(slots=True)
class _Allowance:
    """Lines of one kind in the present second."""

    second: int = 0
    lines: int = 0
    dropped: int = 0


class DecisionLog:
    """Writes one JSON object a line to standard output.

    Parameters
    ----------
    host : str
        Name of this host, which every line carries.
    level : str
        ``error``, ``info`` or ``debug``.
    lines_per_s : float
        Lines a second of one kind.
    descriptor : int
        Where to; standard output.
    """

    def __init__(
        self, host: str, level: str, lines_per_s: float, descriptor: int | None = None
    ) -> None:
        self._host = host
        self._level = Level[level.upper()]
        self._lines_per_s = lines_per_s
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: deque[bytes] = deque()
        self._kinds: dict[str, _Allowance] = defaultdict(_Allowance)
        self._logger = Logger()
        self.dropped: Counter[str] = Counter()
        self._blocked = b""

    def open(self) -> None:
        """Take eliot's messages, and make the descriptor non-blocking."""
        os.set_blocking(self._descriptor, False)
        add_destinations(self._take)

    def close(self) -> None:
        """Write what can be written at once, and take no more."""
        remove_destination(self._take)
        self._flush()

    def info(self, kind: str, **fields: Any) -> None:
        """Write a decision, or a change of what is believed."""
        self._write(Level.INFO, kind, fields)

    def error(self, kind: str, **fields: Any) -> None:
        """Write a failure."""
        self._write(Level.ERROR, kind, fields)

    def debug(self, kind: str, **fields: Any) -> None:
        """Write a step."""
        self._write(Level.DEBUG, kind, fields)

    def _write(self, level: Level, kind: str, fields: dict[str, Any]) -> None:
        if level < self._level:
            return
        now_s = loop_time_s()
        if not self._allows(kind, now_s):
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

    def _allows(self, kind: str, now_s: float) -> bool:
        allowance = self._kinds[kind]
        second = int(now_s)
        if allowance.second != second:
            allowance.second, allowance.lines = second, 0
        allowance.lines += 1
        if allowance.lines > self._lines_per_s:
            self.dropped[kind] += 1
            return False
        return True

    def _take(self, message: dict[str, Any]) -> None:
        if len(self._lines) >= WAITING_LINES:
            self.dropped[str(message.get("message_type"))] += 1
            return
        self._lines.append(orjson.dumps(message, default=str) + b"\n")

    async def run(self) -> None:
        """Write the lines as they come, until cancelled."""
        while True:
            self._flush()
            await anyio.sleep(WRITE_PERIOD_S)

    def _flush(self) -> None:
        while self._blocked or self._lines:
            batch = self._blocked
            while self._lines and len(batch) < WRITE_BYTES:
                batch += self._lines.popleft()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # A closed output takes nothing ever again; serving goes on.
                self.dropped["closed"] += batch.count(b"\n")
                self._blocked = b""
                return
            self._blocked = batch[written:]
            if self._blocked:
                return
