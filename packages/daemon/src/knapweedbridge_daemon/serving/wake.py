"""Wakes one task, at once or at a time that may still be brought forward."""

import anyio


class Wake:
    """What one task waits on between two passes of its work."""

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._rest = anyio.CancelScope()

    def clear(self) -> None:
        """Begin a pass: what is set from here on is seen after it."""
        self._event = anyio.Event()

    def set(self) -> None:
        """Have the next pass begin at once."""
        self._event.set()

    def set_by(self, at_s: float) -> None:
        """Have a task that waits begin its next pass at a time at the latest."""
        if at_s < self._rest.deadline:
            self._rest.deadline = at_s

    async def wait_until(self, at_s: float) -> None:
        """Wait for the next pass."""
        if self._event.is_set():
            return
        with anyio.CancelScope(deadline=at_s) as self._rest:
            await self._event.wait()
