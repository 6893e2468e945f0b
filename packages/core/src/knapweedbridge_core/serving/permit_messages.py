"""What daemons tell each other of the limits that endpoints name, and of permits."""

from knapweedbridge_core.codec import message


@message(tag="LimitHeard")
class LimitReport:
    """A daemon tells an endpoint's keeper of the limit that an answer named.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    started_ms : int
        Its start that this is about, as in `EndpointRecord`.
    limit_per_s : float or None
        Calls a second that it takes from all daemons; None: it names no limit any more.
    age_s : float
        How long ago that was heard.
    """

    endpoint: str
    started_ms: int
    limit_per_s: float | None
    age_s: float


@message(tag="LimitTold")
class LimitUpdate:
    """A keeper tells of a limit, or a relay hands it on; fields as in `LimitReport`."""

    endpoint: str
    started_ms: int
    limit_per_s: float | None
    age_s: float


@message(tag="PermitAsked")
class PermitRequest:
    """A daemon asks an endpoint's keeper for a permit; fields as in `LimitReport`.

    Parameters
    ----------
    ticket : int
        What the daemon knows its question by.
    """

    endpoint: str
    started_ms: int
    limit_per_s: float | None
    age_s: float
    ticket: int


@message(tag="PermitAnswered")
class PermitResponse:
    """A keeper answers a question for a permit.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    ticket : int
        As in the question.
    wait_s : float
        0.0 where the permit is given, else when to ask again.
    """

    endpoint: str
    ticket: int
    wait_s: float


@message(tag="RoomAsked")
class CapacityRequest:
    """A daemon asks a brittle endpoint's keeper whether it may send a call.

    The answer is a `PermitResponse`.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    started_ms : int
        Its start that this is about, as in `EndpointRecord`.
    turned_away_per_s : float
        Calls a second that it can turn away, of all daemons together.
    ticket : int
        What the daemon knows the question by.
    """

    endpoint: str
    started_ms: int
    turned_away_per_s: float
    ticket: int


@message(tag="TurnedAway")
class CallRejected:
    """A daemon notifies a brittle endpoint's keeper that it had no room for a call."""

    endpoint: str
    started_ms: int
