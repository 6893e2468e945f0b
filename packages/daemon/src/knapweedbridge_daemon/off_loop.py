"""Runs long work beside the event loop that streams.

A thread alone is not enough: while it makes hundreds of thousands of objects,
Python's cyclic collector runs over all of them again and again, and each full
pass holds the interpreter. It shows as gaps of 0.2 s in every stream of the
daemon while an operator applies a folder of 28,000 adapters. The work leaves no
cycles behind, so the collector waits until it is done.
"""

import gc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from threading import Lock
from typing import Any, TypeVar

from anyio import to_thread

Result = TypeVar("Result")

_lock = Lock()
_running = 0


@contextmanager
def collector_paused() -> Iterator[None]:
    """Keep the cyclic collector from running; may be entered more than once."""
    global _running
    with _lock:
        _running += 1
        gc.disable()
    try:
        yield
    finally:
        with _lock:
            _running -= 1
            if _running == 0:
                _age_objects()
                gc.enable()


def _age_objects() -> None:
    # All that was made meanwhile counts as young, and the first pass would go
    # over it at once, in 0.3 s. This moves it to the oldest generation.
    gc.freeze()
    gc.unfreeze()


async def run_off_loop(work: Callable[..., Result], *arguments: Any) -> Result:
    """Run work in a thread and return what it returns."""

    def run() -> Result:
        with collector_paused():
            return work(*arguments)

    return await to_thread.run_sync(run)
