"""Which events become log lines, and where the lines go.

Counters come first: a line is written only for a change of state. Events of
single requests stand in the time line alone, unless the level is ``debug``.
"""

import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any, TextIO

from eliot import (
    FileDestination,
    Logger,
    add_destinations,
    log_message,
    remove_destination,
)

from knapweedbridge_daemon.errors import LocalFileError
from knapweedbridge_daemon.levels import Level

REQUEST_FAMILIES = ("attempt", "blame", "evict", "grant", "load", "request")
"""First words of the events of single requests and loads: `Level.DEBUG`."""

LEVELS: dict[str, Level] = {
    "configuration.accepted": Level.INFO,
    "configuration.changes_differ": Level.ERROR,
    "configuration.in_force": Level.INFO,
    "configuration.part_damaged": Level.ERROR,
    "configuration.service_differs": Level.ERROR,
    "configuration.service_is_older": Level.ERROR,
    "configuration.service_not_reached": Level.ERROR,
    "daemon.cut": Level.ERROR,
    "daemon.draining": Level.INFO,
    "daemon.isolated": Level.ERROR,
    "daemon.paused": Level.ERROR,
    "daemon.refuted_death": Level.INFO,
    "daemon.rejoined": Level.INFO,
    "daemon.started": Level.INFO,
    "daemon.stopped": Level.INFO,
    "drain.asked": Level.INFO,
    "endpoint.leaves": Level.INFO,
    "endpoint.ordered": Level.INFO,
    "endpoint.stays": Level.INFO,
    "holder.dead": Level.ERROR,
    "lease.begun": Level.INFO,
    "member.alive": Level.INFO,
    "member.dead": Level.ERROR,
    "owner.claimed": Level.INFO,
    "owner.handed_over": Level.INFO,
    "owner.lost": Level.ERROR,
    "peer.link_bad": Level.ERROR,
    "peer.linked": Level.INFO,
    "peer.unlinked": Level.INFO,
    "platform.lost": Level.ERROR,
    "platform.regained": Level.INFO,
    "tls.reload_failed": Level.ERROR,
    "tls.reloaded": Level.INFO,
}
"""Levels of the changes of state; an event that is not named is `DEBUG`."""

STREAMS = {"stderr": sys.stderr, "stdout": sys.stdout}


@contextmanager
def logging_to(destination: str) -> Iterator[None]:
    """Send log lines to ``stderr``, ``stdout`` or a file while entered.

    Raises
    ------
    LocalFileError
        If the file cannot be opened.
    """
    with ExitStack() as stack:
        stream = STREAMS.get(destination)
        if stream is None:
            stream = stack.enter_context(_open(destination))
        write = FileDestination(file=stream)
        add_destinations(write)
        stack.callback(remove_destination, write)
        yield


def _open(path: str) -> TextIO:
    try:
        return Path(path).open("a", encoding="utf-8")
    except OSError as error:
        raise LocalFileError(f"{path}: {error.strerror}") from error


class Log:
    """Writes eliot lines for events that reach a level.

    Parameters
    ----------
    host : str
        Name of this host, which every line carries.
    level : str
        ``error``, ``info`` or ``debug``.
    """

    def __init__(self, host: str, level: str) -> None:
        self._host = host
        self._level = Level[level.upper()]
        self._logger = Logger()

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Write one event if its level is reached."""
        level = LEVELS.get(kind, Level.DEBUG)
        if level < self._level:
            return
        request_id = request_of(fields)
        named = {"host": self._host, "level": level.name.lower(), **fields}
        if request_id:
            self._write_in_task(request_id, kind, named)
        else:
            log_message(kind, **named)

    def _write_in_task(self, request_id: str, kind: str, fields: dict) -> None:
        # The request id is the task's id on every host, so that the lines of
        # all processes make one task without a start or an end line a request.
        self._logger.write(
            {
                "timestamp": time.time(),
                "task_uuid": request_id,
                "task_level": [1],
                "message_type": kind,
                **fields,
            }
        )


def request_of(fields: dict[str, Any]) -> str:
    """Return the id of the request an event is of, or an empty text."""
    attempt = str(fields.get("attempt", ""))
    return str(fields.get("request", "")) or attempt.rpartition(".")[0]


def task_id(attempt_id: str) -> str:
    """Return eliot's task id that an endpoint may continue an attempt by."""
    request_id, _, place = attempt_id.rpartition(".")
    return f"{request_id}@/1/{place}"
