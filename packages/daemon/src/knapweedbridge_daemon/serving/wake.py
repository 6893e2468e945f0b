"""Wake a task, at once or at a deadline that may be brought forward."""

import anyio


class Wake:
    """Event with a deadline that a task waits for between two passes of its work."""

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._wait_scope = anyio.CancelScope()

    def clear(self) -> None:
        """Begin a pass; a later `set` starts the pass after it."""
        self._event = anyio.Event()

    def set(self) -> None:
        """Start the next pass at once."""
        self._event.set()

    def set_by(self, at_s: float) -> None:
        """Bring the deadline of the waiting task forward to a time, if it is later."""
        if at_s < self._wait_scope.deadline:
            self._wait_scope.deadline = at_s

    async def wait_until(self, at_s: float) -> None:
        """Wait until the event is set, or for the deadline."""
        if self._event.is_set():
            return
        with anyio.CancelScope(deadline=at_s) as self._wait_scope:
            await self._event.wait()
