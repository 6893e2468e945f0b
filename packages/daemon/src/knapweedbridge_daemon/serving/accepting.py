"""Accepts connections for a server, also while descriptors are scarce."""

from collections.abc import Callable, Sequence
from typing import cast

import anyio
from anyio.abc import SocketAttribute, SocketListener

from knapweedbridge_daemon.listening import (
    CLOSED_ERRNOS,
    RETRY_INTERVAL_S,
    SCARCE_ERRNOS,
    limit_receive_buffer,
)
from knapweedbridge_daemon.serving.http_server import HttpServer


async def listen(ip: str, port: int, backlog: int) -> Sequence[SocketListener]:
    """Listen on an address; connections wait until they are accepted.

    Raises
    ------
    OSError
        If this fails.
    """
    listener = await anyio.create_tcp_listener(
        local_host=ip, local_port=port, backlog=backlog, reuse_port=False
    )
    listeners = cast(Sequence[SocketListener], listener.listeners)
    for each in listeners:
        limit_receive_buffer(each.extra(SocketAttribute.raw_socket))
    return listeners


async def accept_connections(
    listener: SocketListener,
    server: HttpServer,
    record_failure: Callable[[OSError], None],
) -> None:
    """Serve each connection in a task of its own until cancelled.

    Parameters
    ----------
    record_failure : callable
        Called with each error of accepting. Errors of one connection end that one, and
        without a free descriptor another connection is closed.
    """
    async with listener, anyio.create_task_group() as tasks:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                if error.errno in CLOSED_ERRNOS:
                    raise
                record_failure(error)
                if error.errno in SCARCE_ERRNOS:
                    server.evict_one()
                    await anyio.sleep(RETRY_INTERVAL_S)
                continue
            tasks.start_soon(server.serve, stream)
