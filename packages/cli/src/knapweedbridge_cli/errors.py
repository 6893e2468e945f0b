"""Errors of the operators' command and the codes it ends with."""

from enum import IntEnum
from typing import Any


class ExitCode(IntEnum):
    """What the shell is told; documented in docs/operators.md."""

    OK = 0
    DIFFERENT = 1
    FAULTS = 2
    CONFLICT = 3
    REFUSED = 4
    UNREACHABLE = 5
    NOT_IN_FORCE = 6
    NOT_FOUND = 7
    REJECTED = 8
    USAGE = 64


class CommandError(Exception):
    """The command failed.

    Parameters
    ----------
    message : str
        Text for people.
    exit_code : ExitCode
        What the shell is told.
    details : dict
        What a program reads with ``--json``.
    """

    def __init__(
        self,
        message: str,
        exit_code: ExitCode,
        details: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(message)
        self.exit_code = exit_code
        self.details = details or {}
