"""What daemons tell each other of the software versions that began streams."""

from knapweedbridge_core.codec import message


@message
class OriginsRecorded:
    """A daemon records the origins of streams at a keeper.

    Parameters
    ----------
    rows : list of list
        Of each stream its id, service, software version, and the time until the last
        attempt of its caller is over, in seconds.
    """

    rows: list


@message(tag="OriginAsked")
class OriginRequest:
    """A daemon asks a keeper which software version began a stream.

    Parameters
    ----------
    stream : str
        Id of the stream.
    service : str
        Service that the asking daemon would resume it at.
    age_s : float
        The most time that can have passed since the stream began, in seconds.
    ticket : int
        What the daemon knows its question by.
    """

    stream: str
    service: str
    age_s: float
    ticket: int


@message(tag="OriginAnswered")
class OriginResponse:
    """A keeper answers the question for a stream's origin.

    Parameters
    ----------
    ticket : int
        As in the question.
    service : str
        Service that the stream began at; empty where the keeper does not know.
    software : str or None
        Version that began it; None where the keeper does not know.
    left_s : float
        Time until the last attempt of its caller is over, in seconds.
    versions : list of str
        Versions of the asked service that streams may have begun on.
    is_current : bool
        Whether the keeper knows all versions since the stream began.
    """

    ticket: int
    service: str
    software: str | None
    left_s: float
    versions: list
    is_current: bool
