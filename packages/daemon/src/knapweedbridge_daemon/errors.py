"""Errors of the daemon's layer; each turns what came from a library."""


class DaemonError(Exception):
    """Base of every error of the daemon."""


class StoreError(DaemonError):
    """The key-value service did not answer.

    Parameters
    ----------
    may_have_applied : bool
        True where a write may have taken effect although no answer came.
    """

    def __init__(self, message: str, may_have_applied: bool = False) -> None:
        super().__init__(message)
        self.may_have_applied = may_have_applied


class EndpointError(DaemonError):
    """An endpoint refused an order or did not answer.

    Parameters
    ----------
    may_have_applied : bool
        True where the order may have taken effect, or may yet.
    """

    def __init__(self, message: str, may_have_applied: bool = False) -> None:
        super().__init__(message)
        self.may_have_applied = may_have_applied


class PeerError(DaemonError):
    """A peer stream could not be set up."""


class MissingPartError(StoreError):
    """A part of an old root was deleted while it was being read."""


class GenerationGoneError(DaemonError):
    """A generation that is not kept was asked for."""


class LocalFileError(DaemonError):
    """A file that the settings name cannot be read."""


class CertificateError(DaemonError):
    """A certificate or its key cannot be used."""
