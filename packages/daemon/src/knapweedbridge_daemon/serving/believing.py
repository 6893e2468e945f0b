"""Follows the platform's store, and keeps this daemon's beliefs up to it."""

import random
from collections.abc import Awaitable, Callable
from itertools import chain

import anyio

from knapweedbridge_core.serving import near, watchers
from knapweedbridge_core.serving.beliefs import (
    DeploymentNamed,
    EndpointGone,
    EndpointUnreadable,
)
from knapweedbridge_core.serving.messages import StoreTold
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.dialects import DialectError
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.own_records import read_own
from knapweedbridge_daemon.serving.store_telling import pack_items, unpack_items
from knapweedbridge_daemon.store import HistoryGoneError, StoreItem

WATCH_S = 1.5
"""Wait of a watch without changes. Its connection may go silent, which shows only when
the wait is over: a configuration must be in force within 2 s."""

SILENCE_S = 1.6
"""Silence of the daemons that watch for this one, after which it looks itself; they
tell at least once a watch. A configuration must be in force within 2 s."""

JOIN_S = 0.3
JOIN_FAR_S = 0.5
"""Pause after changes before the next watch, so that changes share a call: engines
tell of their adapters some five times a second, in a large pool fifty times. The
operators allow 2 s."""

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
"""Pauses between calls that fail: the store's return is seen within a second."""

OnGone = Callable[[str], Awaitable[None]]


class StoreFollower:
    """The task that reads the store and follows its changes.

    Parameters
    ----------
    hub : Hub
        What it keeps up to date.
    send : callable
        Sends a message to a daemon.
    on_gone : callable
        Takes the name of each endpoint that is listed no more.
    """

    def __init__(self, hub: Hub, send: Send, on_gone: OnGone) -> None:
        self._hub = hub
        self._send = send
        self._on_gone = on_gone
        self._gone: list[str] = []
        self._failures = 0
        self._watch: anyio.CancelScope | None = None
        self._revision = 0
        self._known: set[str] = set()
        self._told = anyio.Event()
        self._unreadable: set[str] = set()

    def watch_anew(self) -> None:
        """End the watch that waits: its connection may have gone silent."""
        if self._watch is not None:
            self._watch.cancel()

    def heard(self, message: StoreTold) -> None:
        """Take changes that another daemon heard from the store."""
        if not self._revision or message.since > self._revision:
            # Something between is missing: the next look at the store gets it.
            return
        if message.revision < self._revision:
            # Of one that is behind: it does not show that changes are heard of.
            return
        self._take([each for each in unpack_items(message) if self._is_new(each)])
        self._revision = message.revision
        self._told.set()

    def _is_new(self, item: StoreItem) -> bool:
        return item.revision > self._revision

    async def run(self) -> None:
        """Follow the store until cancelled."""
        prefix = self._hub.dialects.store_items.prefix
        while True:
            try:
                if not self._revision:
                    await self._read_all(prefix)
                if self._listens():
                    await self._listen(prefix)
                else:
                    await self._watch_once(prefix, WATCH_S)
                while self._gone:
                    await self._on_gone(self._gone.pop())
            except HistoryGoneError:
                self._hub.log.info("store.history_gone", revision=self._revision)
                self._revision = 0
            except StoreError as error:
                await self._failed(error)

    def _listens(self) -> bool:
        identity = self._hub.identity
        daemons = self._hub.beliefs.daemons
        if identity.name not in daemons:
            # Nobody tells a daemon that is not listed.
            return False
        return identity.name not in watchers(daemons.values(), identity.data_centre)

    async def _listen(self, prefix: str) -> None:
        self._told = anyio.Event()
        with anyio.move_on_after(SILENCE_S):
            await self._told.wait()
        if not self._told.is_set():
            # Those that watch are gone or cut off, or a telling was missed.
            await self._watch_once(prefix, 0.0)

    async def _watch_once(self, prefix: str, wait_s: float) -> None:
        store = self._hub.dialects.store
        with anyio.CancelScope() as self._watch:
            found = await store.read_changes(prefix, self._revision, wait_s)
            since = self._revision
            self._take(found.items)
            self._revision = max(self._revision, found.revision)
            self._answered()
            await self._hand_on(since, found.items)
            if found.items:
                small = self._hub.beliefs.is_small_pool
                await anyio.sleep(JOIN_S if small else JOIN_FAR_S)

    async def _hand_on(self, since: int, items: list[StoreItem]) -> None:
        identity, beliefs = self._hub.identity, self._hub.beliefs
        daemons = list(beliefs.daemons.values())
        if beliefs.is_small_pool or self._listens():
            return
        told = StoreTold(since, self._revision, pack_items(items))
        for name in near(daemons, identity.data_centre):
            if name != identity.name:
                await self._send(name, told)

    async def _read_all(self, prefix: str) -> None:
        found = await self._hub.dialects.store.read_items(prefix)
        keys = {item.key for item in found.items}
        removed = [StoreItem(key, None, found.revision) for key in self._known - keys]
        self._take(list(chain(found.items, removed)))
        self._revision = found.revision
        self._hub.synced = True
        self._hub.log.info(
            "store.read", items=len(found.items), revision=found.revision
        )
        self._answered()

    def _answered(self) -> None:
        if self._failures:
            self._hub.log.info("store.regained", failures=self._failures)
        self._failures = 0

    async def _failed(self, error: StoreError) -> None:
        if not self._failures:
            self._hub.log.error("store.lost", error=str(error))
        self._failures += 1
        self._hub.measures.count("store_failures")
        self._hub.store_disturbed()
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self._failures)
        # Spread: at the store's return all daemons would else call at once.
        await anyio.sleep(pause_s * random.uniform(0.5, 1.0))

    def _take(self, items: list[StoreItem]) -> None:
        changed = False
        for item in items:
            changed = self._take_one(item) or changed
        if changed:
            self._hub.beliefs_changed.tell()
            self._hub.engines_changed.tell()

    def _note_unreadable(self, item: StoreItem, cause: str) -> None:
        # Another writer may repeat itself each second: one line tells it.
        if item.key not in self._unreadable:
            self._unreadable.add(item.key)
            self._hub.log.error(
                "store.unreadable", key=item.key, revision=item.revision, error=cause
            )

    def _take_one(self, item: StoreItem) -> bool:
        hub = self._hub
        if item.value is None:
            self._known.discard(item.key)
        else:
            self._known.add(item.key)
        keys = hub.dialects.own_keys
        try:
            if item.key.startswith(keys.prefix):
                belief = read_own(keys, item.key, item.value, item.revision)
            else:
                belief = hub.dialects.store_items.read(
                    item.key, item.value, item.revision
                )
        except DialectError as error:
            # What was believed before stays in force.
            self._note_unreadable(item, str(error))
            return False
        if isinstance(belief, EndpointUnreadable):
            self._note_unreadable(item, belief.cause)
        elif item.key in self._unreadable:
            self._unreadable.discard(item.key)
            hub.log.info("store.readable", key=item.key, revision=item.revision)
        if belief is None:
            return False
        if isinstance(belief, EndpointGone):
            self._gone.append(belief.endpoint)
        now_s = anyio.current_time()
        changed = hub.beliefs.take(belief, now_s, hub.is_store_disturbed)
        if changed and isinstance(belief, DeploymentNamed):
            hub.rates.accept_pauses(belief.deployment.longest_pauses_s())
        if changed:
            hub.log.info(
                "belief.changed",
                key=item.key,
                belief=type(belief).__name__,
                revision=item.revision,
            )
        return changed
