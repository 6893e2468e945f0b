"""TCP forwarders that cut or silence standing connections; new ones work."""

import contextlib
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream

CHUNK_BYTES = 65536
STREAM_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)


@dataclass(slots=True)
class _Link:
    scope: anyio.CancelScope
    silent: bool = False
    ended: int = 0


@dataclass(slots=True)
class Forwarder:
    """Stands before one address.

    Parameters
    ----------
    listen, target : str
        Addresses as IP:port.
    """

    listen: str
    target: str
    links: list[_Link] = field(default_factory=list)

    async def run(self) -> None:
        """Forward until cancelled."""
        ip, _, port = self.listen.rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=ip, local_port=int(port))
        await listener.serve(self._forward)

    def cut(self) -> int:
        """End the standing connections, and return how many there were."""
        links = list(self.links)
        for link in links:
            link.scope.cancel()
        return len(links)

    def silence(self) -> int:
        """Swallow all that passes on the standing connections from now on."""
        for link in self.links:
            link.silent = True
        return len(self.links)

    async def _forward(self, near: SocketStream) -> None:
        ip, _, port = self.target.rpartition(":")
        async with near:
            try:
                far = await anyio.connect_tcp(ip, int(port))
            except OSError:
                return
            async with far, anyio.create_task_group() as tasks:
                link = _Link(tasks.cancel_scope)
                self.links.append(link)
                tasks.start_soon(self._pump, near, far, link)
                tasks.start_soon(self._pump, far, near, link)
            self.links.remove(link)

    @staticmethod
    async def _pump(source: SocketStream, sink: SocketStream, link: _Link) -> None:
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                try:
                    data = await source.receive(CHUNK_BYTES)
                except anyio.EndOfStream:
                    break
                if not link.silent:
                    await sink.send(data)
        link.ended += 1
        # What lost track of a connection does not pass on the end of one side.
        if link.ended == 2 or not link.silent:
            link.scope.cancel()
