"""Runs a step's whole story in one event loop, on the whole path."""

import functools

import anyio
from whole_path import WholePath, whole_path

WRITTEN_S = 0.15
"""Log lines are written shortly after their event."""


def played(begin=None, lease_ms=1000, kind=WholePath):
    """Make a step of a story; ``begin`` is awaited with the path before it."""

    def make(work):
        @functools.wraps(work)
        def step(context, **values):
            async def story():
                bounds = getattr(context, "bounds", {})
                made = whole_path(context.daemons, lease_ms, bounds, kind=kind)
                async with made as path:
                    context.path = path
                    if begin is not None:
                        await begin(path)
                    await work(context, path, **values)
                    await anyio.sleep(WRITTEN_S)
                    context.lines = path.lines()

            anyio.run(story)

        return step

    return make
