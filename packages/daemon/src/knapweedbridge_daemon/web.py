"""Serves ASGI applications with hypercorn until told to stop."""

from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from knapweedbridge_daemon.tls import Certificates, TlsConfig

KEEP_ALIVE_S = 30.0
BACKLOG = 1024


def make_config(
    address: str,
    graceful_timeout_s: float,
    certificates: Certificates | None = None,
) -> Config:
    """Make the settings of one listener, with TLS where certificates are given."""
    config = Config() if certificates is None else TlsConfig(certificates)
    config.bind = [address]
    config.graceful_timeout = graceful_timeout_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    return config


async def serve_until(app: Any, config: Config, stop: anyio.Event) -> None:
    """Serve until `stop` is set, then finish what is in flight."""
    await serve(app, config, shutdown_trigger=stop.wait)
