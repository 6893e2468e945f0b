"""What daemons say to each other to open a tunnel to an endpoint.

A tunnel begins as a stream between daemons: the first message after the handshake asks
for it. A daemon that knows no tunnels ends the stream, as with any message that it does
not know.
"""

from knapweedbridge_core.codec import message


@message(tag="TunnelAsked")
class TunnelRequest:
    """A daemon asks another for a connection to an endpoint.

    Parameters
    ----------
    endpoint : str
        The endpoint, which the other must know.
    address : str
        Where it listens.
    """

    endpoint: str
    address: str


@message
class TunnelOpened:
    """The connection stands; what follows are its bytes.

    Parameters
    ----------
    tunnels : int
        Tunnels that the forwarder carries, with this one.
    """

    tunnels: int


@message
class TunnelRefused:
    """The forwarder makes no connection.

    Parameters
    ----------
    reason : str
        ``unreachable``: it reaches others, and not this endpoint. ``unsure``: it may
        have no links itself. ``cut``: its path to this endpoint is cut. ``unknown``: it
        does not know the endpoint. ``no_links``, ``busy``, ``draining``: it carries no
        tunnels now.
    """

    reason: str
