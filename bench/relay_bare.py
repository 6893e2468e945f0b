"""The bare relay that the daemon is measured beside: hypercorn in, httpx out.

Usage: relay_bare.py PORT ENGINE_PORT LOOP, where LOOP is asyncio or uvloop.
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


async def main() -> None:
    limits = httpx.Limits(max_connections=2000)
    async with httpx.AsyncClient(timeout=60, limits=limits, trust_env=False) as client:
        app = BareRelay(client, f"http://127.0.0.1:{sys.argv[2]}")
        config = make_config(f"127.0.0.1:{sys.argv[1]}", 0.1)
        await serve_until(app, config, anyio.Event())


if __name__ == "__main__":
    uvloop.run(main()) if sys.argv[3] == "uvloop" else asyncio.run(main())
