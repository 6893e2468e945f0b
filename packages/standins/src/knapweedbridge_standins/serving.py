"""Runs a stand-in's ASGI application on one address."""

import signal
from typing import Any

import anyio

from knapweedbridge_daemon.web import make_config, serve_until


async def serve_app(app: Any, address: str) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_at_signal, stop)
        await serve_until(app, make_config(address, 1.0), stop)
        tasks.cancel_scope.cancel()


async def _stop_at_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
