"""An event loop on virtual time: seconds pass as soon as nothing is left to do."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _Patient(selectors.DefaultSelector):
    """Waits for nothing: where the loop would wait, virtual time goes on."""

    loop: "VirtualLoop | None" = None

    def select(self, timeout: float | None = None) -> list:
        ready = super().select(0)
        if not ready and timeout and self.loop is not None:
            self.loop.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock stands at ``now_s``, in seconds from its start."""

    def __init__(self) -> None:
        self.now_s = 0.0
        selector = _Patient()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now_s


def run_virtually(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a virtual clock, and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()
