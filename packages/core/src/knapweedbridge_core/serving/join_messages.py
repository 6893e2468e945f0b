"""Messages between daemons about one that the store has listed."""

from knapweedbridge_core.codec import message


@message
class DaemonJoined:
    """A daemon announces to the possible holders of its duties that it is listed.

    Parameters
    ----------
    term : int
        Identifies the announcement at its sender; see `LeaseClock`.
    incarnation, address, data_centre
        As in `DaemonRecord`.
    protocol : int
        Protocol version of the sender.
    """

    term: int
    incarnation: int
    address: str
    data_centre: str
    protocol: int


@message
class JoinAcknowledged:
    """A daemon confirms that it no longer acts in the duties of one that is listed."""

    term: int
    incarnation: int
