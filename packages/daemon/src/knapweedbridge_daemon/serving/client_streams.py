"""What a connection to a server is to the code that writes requests to it."""

from abc import ABC, abstractmethod


class ClientStream(ABC):
    """A connection to a server, made by this host or carried by another.

    Attributes
    ----------
    forwarder : str
        Host that carries it; empty where it is this host's own.
    """

    forwarder: str = ""

    @property
    @abstractmethod
    def has_news(self) -> bool:
        """Whether bytes or an end wait to be read."""

    @abstractmethod
    def fileno(self) -> int:
        """Return the socket's descriptor."""

    @abstractmethod
    async def receive(self) -> bytes:
        """Return all bytes that came; none are returned at an orderly end.

        Raises
        ------
        ConnectionError
            If the connection ended otherwise.
        """

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Write bytes, and wait until the kernel has them.

        Raises
        ------
        ConnectionError
            If the connection is gone.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection; what it still carried is lost."""
