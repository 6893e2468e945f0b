"""Keeps the configuration current: reads and watches the service.

Only the few daemons that the core chooses watch. The others read at the start,
where a gap lasts that no peer fills, and once a long while.
"""

from contextlib import aclosing

import anyio

from knapweedbridge_core import events
from knapweedbridge_daemon.configurations import (
    ROOT_KEY,
    StoredRoot,
    read_parts,
    read_root,
)
from knapweedbridge_daemon.driver import Driver
from knapweedbridge_daemon.errors import DaemonError
from knapweedbridge_daemon.store import KeyValueStore

LOOK_S = 0.25
WATCH_LIFE_S = 4.0


class ConfigurationReader:
    """Reads the configuration as the core asks for it.

    Parameters
    ----------
    driver : Driver
        Takes what was read.
    store : KeyValueStore
        The platform's service.
    may_watch : bool
        Whether the settings let this daemon watch; else it polls.
    poll_s : float
        Pause between reads of one that may not watch, and after a failure.
    """

    def __init__(
        self, driver: Driver, store: KeyValueStore, may_watch: bool, poll_s: float
    ) -> None:
        self._driver = driver
        self._store = store
        self._may_watch = may_watch
        self._poll_s = poll_s

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                await self._turn()
            except DaemonError:
                self._driver.count("platform.key_value_failed")
                self._driver.note_platform("key_value", False)
                await anyio.sleep(self._poll_s)

    async def _turn(self) -> None:
        distribution = self._driver.bridge.distribution
        if distribution.should_watch():
            stored = await self._read()
            if self._may_watch:
                await self._watch(stored)
            else:
                await anyio.sleep(self._poll_s)
        elif distribution.should_read():
            await self._read()
            await anyio.sleep(self._poll_s)
        else:
            await anyio.sleep(LOOK_S)

    async def _read(self) -> StoredRoot:
        stored = await read_root(self._store)
        self._driver.note_platform("key_value", True)
        await self._driver.submit(events.RootRead(stored.root))
        held = self._driver.bridge.configuration
        if stored.generation > held.generation:
            parts = await read_parts(self._store, stored.root, held.parts)
            await self._driver.submit(events.PartsRead(stored.root, parts))
        return stored

    async def _watch(self, stored: StoredRoot) -> None:
        """Read at each change, until this daemon is no longer a watcher.

        A watch lives for a few seconds only: one that went silent for good
        shows no error, only that a change is never told.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._until_relieved, tasks.cancel_scope)
            changes = self._store.watch(ROOT_KEY, stored.revision)
            failure = None
            try:
                async with aclosing(changes):
                    async for _ in changes:
                        await self._read()
            except DaemonError as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _until_relieved(self, scope: anyio.CancelScope) -> None:
        ends_s = anyio.current_time() + WATCH_LIFE_S
        while anyio.current_time() < ends_s:
            if not self._driver.bridge.distribution.should_watch():
                break
            await anyio.sleep(LOOK_S)
        scope.cancel()
