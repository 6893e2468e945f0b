"""Stand-in of something between two ends that loses track of connections."""

import asyncio
import contextlib

CHUNK_BYTES = 65536


class SilentProxy:
    """Forwards TCP connections; existing ones can go silent while new ones work.

    A silent connection stays open: what either end writes is taken and dropped.

    Parameters
    ----------
    listen, target : str
        Addresses of the form IP:port.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._epoch = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self.connections = 0

    async def start(self) -> None:
        """Listen."""
        ip, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def stop(self) -> None:
        """Close the listener and all connections; new ones are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.cut()

    def silence(self) -> None:
        """Let every present connection go silent for good."""
        self._epoch += 1

    def cut(self) -> None:
        """Reset every present connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        ip, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        epoch = self._epoch
        await asyncio.gather(
            self._forward(reader, far_writer, epoch),
            self._forward(far_reader, writer, epoch),
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, epoch: int
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if epoch == self._epoch:
                    writer.write(data)
                    await writer.drain()
        if epoch == self._epoch:
            writer.close()
        self._writers.discard(writer)
