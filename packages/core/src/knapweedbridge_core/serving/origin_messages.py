"""Messages between daemons about the software versions that began streams."""

from knapweedbridge_core.codec import message


@message
class OriginsRecorded:
    """A daemon records the origins of streams at a coordinator.

    Parameters
    ----------
    rows : list of list
        For each stream its id, service, software version, and the time until its
        caller's last attempt is over, in seconds.
    """

    rows: list


@message(tag="OriginAsked")
class OriginRequest:
    """A daemon asks a coordinator which software version began a stream.

    Parameters
    ----------
    stream : str
        Id of the stream.
    service : str
        Service on which the requesting daemon would resume the stream.
    age_s : float
        Maximum time since the stream began, in seconds.
    ticket : int
        Identifies the request at the requesting daemon.
    """

    stream: str
    service: str
    age_s: float
    ticket: int


@message(tag="OriginAnswered")
class OriginResponse:
    """A coordinator answers a request for a stream's origin.

    Parameters
    ----------
    ticket : int
        Ticket of the request.
    service : str
        Service on which the stream began; empty if the coordinator does not know.
    software : str or None
        Version that began the stream; None if the coordinator does not know.
    left_s : float
        Time until its caller's last attempt is over, in seconds.
    versions : list of str
        Versions of the requested service on which streams may have begun.
    is_current : bool
        Whether the coordinator knows all versions since the stream began.
    """

    ticket: int
    service: str
    software: str | None
    left_s: float
    versions: list
    is_current: bool
