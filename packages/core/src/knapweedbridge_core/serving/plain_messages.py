"""What daemons tell each other of the requests that run at plain endpoints."""

from knapweedbridge_core.codec import message


@message(tag="PlainAsked")
class PlainLoadRequest:
    """A daemon asks an endpoint's counting daemon what runs there.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    started_ms : int
        Its start that this is about, as in `EndpointRecord`.
    ticket : int
        What the daemon knows its question by.
    calls : int
        Requests of the daemon there, with those that it is about to send.
    """

    endpoint: str
    started_ms: int
    ticket: int
    calls: int


@message(tag="PlainAnswered")
class PlainLoadResponse:
    """A counting daemon answers.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    ticket : int
        As in the question.
    others_calls : int
        Requests there of all daemons but the one that asked.
    work_s, typical_s : float
        As in `PlainState`.
    """

    endpoint: str
    ticket: int
    others_calls: int
    work_s: float
    typical_s: float


@message(tag="PlainRunning")
class PlainLoadReport:
    """A daemon tells an endpoint's counting daemon of its requests there.

    Parameters
    ----------
    endpoint, started_ms, calls
        As in `PlainLoadRequest`.
    ended, refused : int
        Requests that were answered, and that the endpoint did not run, since the last
        telling.
    """

    endpoint: str
    started_ms: int
    calls: int
    ended: int
    refused: int
