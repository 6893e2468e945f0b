"""Interface of connections to servers."""

from abc import ABC, abstractmethod


class ClientStream(ABC):
    """A connection to a server, made by this host or forwarded by another.

    Attributes
    ----------
    forwarder : str
        Host that forwards the connection; empty where it is this host's own.
    """

    forwarder: str = ""

    @property
    @abstractmethod
    def has_news(self) -> bool:
        """Whether data or the end of the stream can be read."""

    @abstractmethod
    def fileno(self) -> int:
        """Return the socket's file descriptor."""

    @abstractmethod
    async def receive(self) -> bytes:
        """Return the received bytes; empty at an orderly end of the stream.

        Raises
        ------
        ConnectionError
            If the connection ended otherwise.
        """

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Write bytes, and wait until the kernel has taken them.

        Raises
        ------
        ConnectionError
            If the connection is broken.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection; data under way is lost."""
