"""Errors of the core layer."""


class CoreError(Exception):
    """Base of every error the core raises."""


class NameFormatError(CoreError):
    """A name in a request or a folder is malformed."""


class CheckError(CoreError):
    """Settings or a folder hold faults.

    Parameters
    ----------
    faults : list of Fault
        Every fault found, in the order of the files.
    """

    def __init__(self, faults: list) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class MessageError(CoreError):
    """A peer sent bytes that are no message of ours."""


class UnknownMessageError(MessageError):
    """A message of a kind that a later version has."""


class ContentError(CoreError):
    """A part of the configuration is not what its name says."""
