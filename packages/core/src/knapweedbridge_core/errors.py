"""Exceptions of the core layer."""


class CoreError(Exception):
    """Base class of all exceptions raised by the core."""


class NameFormatError(CoreError):
    """A name in a request or a configuration folder is malformed."""


class CheckError(CoreError):
    """Settings or a configuration folder are invalid.

    Parameters
    ----------
    faults : list of Fault
        Every fault found, in the order of the files.
    """

    def __init__(self, faults: list) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class MessageError(CoreError):
    """A peer sent bytes that are not a valid message."""


class UnknownMessageError(MessageError):
    """A peer sent a message whose tag this version does not know."""


class ContentError(CoreError):
    """The content of a configuration part does not match its digest."""
