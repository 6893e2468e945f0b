"""The calls an ASGI application has open, so that they can be cut cleanly.

Cancelling the web server's connection tasks makes the event loop print a
traceback for each of them. A call cancelled inside the application returns to
the web server instead, which closes the connection without a clean end.
"""

from typing import Any

import anyio
from starlette.types import Receive, Scope, Send

POLL_S = 0.05


class OpenCalls:
    """ASGI wrapper that counts open calls and can cut them.

    Parameters
    ----------
    app : ASGI application
        What serves the calls.
    """

    def __init__(self, app: Any) -> None:
        self._app = app
        self._scopes: set[anyio.CancelScope] = set()

    def __len__(self) -> int:
        return len(self._scopes)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        with anyio.CancelScope() as cancel:
            self._scopes.add(cancel)
            try:
                await self._app(scope, receive, send)
            finally:
                self._scopes.discard(cancel)

    async def wait_empty(self) -> None:
        """Wait until no call is open."""
        while self._scopes:
            await anyio.sleep(POLL_S)

    def cut(self) -> int:
        """Cancel every open call and return how many there were."""
        scopes = list(self._scopes)
        for scope in scopes:
            scope.cancel()
        return len(scopes)
