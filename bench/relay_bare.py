"""The bare relay that the daemon is measured beside: hypercorn in, httpx out.

Usage: relay_bare.py PORT ENGINE_PORT WAY, where WAY is asyncio or uvloop (the loop),
or bytes: no HTTP at all, which is the floor that no relay in this language passes.
"""

import asyncio
import sys

import anyio
import httpx
import uvloop

from knapweedbridge_daemon.web import make_config, serve_until


class BareRelay:
    """Passes every request on and every chunk back."""

    def __init__(self, client: httpx.AsyncClient, engine: str) -> None:
        self._client = client
        self._engine = engine

    async def __call__(self, scope, receive, send) -> None:
        """Relay one request."""
        if scope["type"] == "lifespan":
            await self._lifespan(receive, send)
            return
        body = (await receive())["body"]
        url = self._engine + scope["path"]
        async with self._client.stream("POST", url, content=body) as response:
            headers = [(b"content-type", b"text/event-stream")]
            start = {"type": "http.response.start", "status": 200, "headers": headers}
            await send(start)
            async for chunk in response.aiter_raw():
                part = {"type": "http.response.body", "body": chunk, "more_body": True}
                await send(part)
        await send({"type": "http.response.body", "body": b""})

    async def _lifespan(self, receive, send) -> None:
        await receive()
        await send({"type": "lifespan.startup.complete"})
        await receive()
        await send({"type": "lifespan.shutdown.complete"})


class Pipe(asyncio.Protocol):
    """Passes bytes on to the other end of a pair."""

    def __init__(self, other: asyncio.Transport | None = None) -> None:
        self._other = other

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self._transport = transport
        if self._other is None:
            self._held: list[bytes] = []
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        far, _ = await loop.create_connection(
            lambda: Pipe(self._transport), "127.0.0.1", int(sys.argv[2])
        )
        far.writelines(self._held)
        self._other = far

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        if self._other is None:
            self._held.append(data)
            return
        self._other.write(data)
        if data.endswith(b"0\r\n\r\n"):
            self._other.close()

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        if self._other is not None:
            self._other.close()


async def pass_bytes() -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Pipe, "127.0.0.1", int(sys.argv[1]))
    await server.serve_forever()


async def main() -> None:
    limits = httpx.Limits(max_connections=2000)
    async with httpx.AsyncClient(timeout=60, limits=limits, trust_env=False) as client:
        app = BareRelay(client, f"http://127.0.0.1:{sys.argv[2]}")
        config = make_config(f"127.0.0.1:{sys.argv[1]}", 0.1)
        await serve_until(app, config, anyio.Event())


if __name__ == "__main__":
    if sys.argv[3] == "asyncio":
        asyncio.run(main())
    else:
        uvloop.run(pass_bytes() if sys.argv[3] == "bytes" else main())
