"""Messages between daemons about the requests that run at plain endpoints.

Each plain endpoint has a counting daemon, which counts the requests of all daemons.
"""

from knapweedbridge_core.codec import message


@message(tag="PlainAsked")
class PlainLoadRequest:
    """A daemon asks an endpoint's counting daemon for the load of the endpoint.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    started_ms : int
        Start of the endpoint that this describes, as in `EndpointRecord`.
    ticket : int
        Identifies the request at the requesting daemon.
    calls : int
        Requests of the daemon there, including those that it is about to send.
    """

    endpoint: str
    started_ms: int
    ticket: int
    calls: int


@message(tag="PlainAnswered")
class PlainLoadResponse:
    """A counting daemon answers a request for the load of an endpoint.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    ticket : int
        Ticket of the request.
    others_calls : int
        Requests there of all daemons except the requesting one.
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
    """A daemon reports its requests at an endpoint to the counting daemon.

    Parameters
    ----------
    endpoint, started_ms, calls
        As in `PlainLoadRequest`.
    ended, refused : int
        Requests that completed, and requests that the endpoint did not run, since the
        previous report.
    """

    endpoint: str
    started_ms: int
    calls: int
    ended: int
    refused: int
