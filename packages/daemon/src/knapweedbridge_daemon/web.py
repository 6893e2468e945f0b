"""Serves ASGI applications with hypercorn until told to stop."""

from typing import Any

import anyio
from hypercorn.config import Config

from knapweedbridge_core.connection_limit import ConnectionLimit
from knapweedbridge_daemon.face_server import FaceServer
from knapweedbridge_daemon.open_calls import OpenCalls
from knapweedbridge_daemon.tls import Certificates, TlsConfig

KEEP_ALIVE_S = 30.0
BACKLOG = 1024
CLOSING_S = 2.0
QUEUED_MESSAGES = 2
"""Messages of a call that wait for the application; each may hold a part of a body."""


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
    config.max_app_queue_size = QUEUED_MESSAGES
    return config


async def serve_until(
    app: Any, config: Config, stop: anyio.Event, most_connections: int = 0
) -> None:
    """Serve until `stop` is set, then finish what is in flight.

    Beyond ``most_connections`` idle connections are closed for new ones; 0: no limit.

    Calls that are still open after the graceful timeout of `config` are cut, and
    so are all calls when this is cancelled.
    """
    calls = OpenCalls(app)
    server = FaceServer(calls, config, ConnectionLimit(most_connections))
    closing, ended = anyio.Event(), anyio.Event()
    graceful_s = config.graceful_timeout
    # hypercorn does not end cleanly when it is cancelled, nor when its own
    # timeout cancels its connections: the event loop prints a traceback for each
    # of them. So it is only ever told to stop, and the calls are cut before its
    # timeout, after which its connections end by themselves.
    config.graceful_timeout = graceful_s + CLOSING_S
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve, calls, server, closing, ended)
        try:
            await stop.wait()
            closing.set()
            with anyio.move_on_after(graceful_s):
                await ended.wait()
        finally:
            closing.set()
            calls.cut()


async def _serve(
    calls: OpenCalls, server: FaceServer, closing: anyio.Event, ended: anyio.Event
) -> None:
    # A task of its own: hypercorn leaves the count of cancellations of its task
    # wrong, and a task group in the same task then takes its own cancellation
    # for a foreign one.
    with anyio.CancelScope(shield=True):
        await server.serve(closing.wait)
        # A connection that was accepted as the listener closed is not among
        # those that hypercorn waits for.
        await calls.wait_empty()
    ended.set()
