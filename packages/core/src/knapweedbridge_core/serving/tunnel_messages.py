"""Messages between daemons that open a tunnel to an endpoint.

A tunnel is a stream between daemons whose first message after the handshake is a
`TunnelRequest`. A daemon that does not support tunnels closes the stream, as with any
unknown message.
"""

from knapweedbridge_core.codec import message


@message(tag="TunnelAsked")
class TunnelRequest:
    """A daemon asks another daemon for a connection to an endpoint.

    Parameters
    ----------
    endpoint : str
        The endpoint, which the other daemon must know.
    address : str
        Address on which the endpoint listens.
    """

    endpoint: str
    address: str


@message
class TunnelOpened:
    """The connection is open; the bytes that follow are its data.

    Parameters
    ----------
    tunnels : int
        Tunnels that the forwarder carries, including this one.
    """

    tunnels: int


@message
class TunnelRefused:
    """The forwarder does not open a connection.

    Parameters
    ----------
    reason : str
        ``unreachable``: it reaches other endpoints but not this one. ``unsure``: it may
        itself have lost its links. ``cut``: its path to this endpoint is cut.
        ``unknown``: it does not know the endpoint. ``no_links``, ``busy``,
        ``draining``: it carries no tunnels at present.
    """

    reason: str
