"""Errors of the operators' command, each with its exit code."""


class CommandError(Exception):
    """The command failed.

    Parameters
    ----------
    exit_code : int
        What the shell is told.
    """

    def __init__(self, message: str, exit_code: int) -> None:
        super().__init__(message)
        self.exit_code = exit_code


FAULTS_FOUND = 2
CONFLICT = 3
REFUSED = 4
UNREACHABLE = 5
NOT_IN_FORCE = 6
