"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import contextlib
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketAttribute, SocketStream

CHUNK_BYTES = 65536
STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@dataclass(slots=True)
class Proxy:
    """Stands before one address; faults hold for new and open connections.

    Parameters
    ----------
    target : callable
        Returns the address that it leads to.
    """

    target: object
    address: str = ""
    delay_s: float = 0.0
    deaf: bool = False
    mute: bool = False
    links: list[anyio.CancelScope] = field(default_factory=list)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        task_status.started()
        await listener.serve(self._forward)

    def reset(self) -> None:
        """Break all open connections."""
        for link in self.links:
            link.cancel()

    def heal(self) -> None:
        """End all faults."""
        self.delay_s, self.deaf, self.mute = 0.0, False, False

    async def _forward(self, near: SocketStream) -> None:
        ip, _, port = self.target().rpartition(":")
        with contextlib.suppress(*STREAM_ERRORS):
            async with near, await anyio.connect_tcp(ip, int(port)) as far:
                async with anyio.create_task_group() as tasks:
                    self.links.append(tasks.cancel_scope)
                    tasks.start_soon(self._pump, near, far, "deaf", tasks)
                    tasks.start_soon(self._pump, far, near, "mute", tasks)
                self.links.remove(tasks.cancel_scope)

    async def _pump(self, source, sink, fault, tasks) -> None:
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                await anyio.sleep(self.delay_s)
                while getattr(self, fault):
                    await anyio.sleep(0.05)
                await sink.send(chunk)
        tasks.cancel_scope.cancel()
