"""Messages between daemons about the rate limits of endpoints, and permits.

Each endpoint has a coordinator: the daemon that enforces its limit over all daemons.
"""

from knapweedbridge_core.codec import message


@message(tag="LimitHeard")
class LimitReport:
    """A daemon reports to an endpoint's coordinator the limit that a response named.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    started_ms : int
        Start of the endpoint that this describes, as in `EndpointRecord`.
    limit_per_s : float or None
        Calls per second that it accepts from all daemons; None: it names no limit any
        more.
    age_s : float
        Time since the response.
    """

    endpoint: str
    started_ms: int
    limit_per_s: float | None
    age_s: float


@message(tag="LimitTold")
class LimitUpdate:
    """A coordinator or a relay publishes a limit; fields as in `LimitReport`."""

    endpoint: str
    started_ms: int
    limit_per_s: float | None
    age_s: float


@message(tag="PermitAsked")
class PermitRequest:
    """A daemon requests a permit of an endpoint's coordinator.

    Fields as in `LimitReport`.

    Parameters
    ----------
    ticket : int
        Identifies the request at the requesting daemon.
    """

    endpoint: str
    started_ms: int
    limit_per_s: float | None
    age_s: float
    ticket: int


@message(tag="PermitAnswered")
class PermitResponse:
    """A coordinator answers a request for a permit.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    ticket : int
        Ticket of the request.
    wait_s : float
        0.0 if the permit is granted, otherwise the time after which to ask again.
    """

    endpoint: str
    ticket: int
    wait_s: float


@message(tag="RoomAsked")
class CapacityRequest:
    """A daemon asks a brittle endpoint's coordinator whether it may send a call.

    The response is a `PermitResponse`.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    started_ms : int
        Start of the endpoint that this describes, as in `EndpointRecord`.
    turned_away_per_s : float
        Calls per second that the endpoint can reject, of all daemons together.
    ticket : int
        Identifies the request at the requesting daemon.
    """

    endpoint: str
    started_ms: int
    turned_away_per_s: float
    ticket: int


@message(tag="TurnedAway")
class CallRejected:
    """A daemon notifies a brittle endpoint's coordinator that it rejected a call."""

    endpoint: str
    started_ms: int
