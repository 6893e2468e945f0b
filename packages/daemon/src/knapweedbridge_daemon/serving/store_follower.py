"""Follows the platform's store, and keeps this daemon's beliefs up to it."""

import time
from collections.abc import Awaitable, Callable
from itertools import chain

import anyio

from knapweedbridge_core.serving import era_of
from knapweedbridge_core.serving.cluster_state import (
    CallAllowed,
    CallRefused,
    DeploymentNamed,
    EndpointGone,
    EndpointNamed,
    StoreEvent,
    VersionNamed,
)
from knapweedbridge_core.serving.messages import StoreUpdate
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.item_reader import ItemReader
from knapweedbridge_daemon.serving.store_calls import StoreCalls
from knapweedbridge_daemon.serving.store_update_codec import unpack_items
from knapweedbridge_daemon.store import HistoryGoneError, StoreItem

WATCH_S = 1.5
"""Wait of a watch without changes. Its connection may go silent, which shows only when
the wait is over: a configuration must be in force within 2 s."""

FAR_WATCH_S = 0.4
"""The same in a large pool, where it adds to the age of what hearers of relays know."""

SILENCE_S = 0.9
"""Silence of this daemon's relay, after which it asks the other one and looks at the
store itself: a relay tells twice in that time, also where nothing changed."""

JOIN_S = 0.3
JOIN_FAR_S = 0.6
"""Pause after changes before the next watch, so that changes share a call: engines
tell of their adapters some five times a second, in a large pool fifty times. The
operators of a small pool allow 2 s, those of a large one 3 s."""

LISTED_AGAIN_S = 3.0
"""How long what a store lost that came back older counts as known: each daemon renews
its lease within 1.2 s, finds it gone and writes its record again; endpoints say again
what they said."""

AskRelay = Callable[[str], Awaitable[None]]
OnGone = Callable[[str], Awaitable[None]]
OnChanges = Callable[[int, int, list[StoreItem], float], None]


class StoreFollower:
    """The task that reads the store and follows its changes.

    Parameters
    ----------
    hub : Hub
        What it keeps up to date.
    subscribe : callable
        Asks another daemon to be this one's relay.
    on_gone : callable
        Takes the name of each endpoint that is listed no more.
    on_changes : callable
        Takes the changes that hearers of this daemon must know: the revisions after and
        up to which they are, the items, and when the call that told them began.
    """

    def __init__(
        self, hub: Hub, subscribe: AskRelay, on_gone: OnGone, on_changes: OnChanges
    ) -> None:
        self._hub = hub
        self._ask_relay = subscribe
        self._on_gone = on_gone
        self._on_changes = on_changes
        self._gone: list[str] = []
        self._calls = StoreCalls(hub)
        self._watch: anyio.CancelScope | None = None
        self._revision = 0
        self._lost_revision = 0
        self._known: set[str] = set()
        self._update_received = anyio.Event()
        self._heard_from = ""
        self._source = ""
        self._trouble = ""
        self._to_tell: set[str] = set()
        self._reader = ItemReader(hub)
        self._era = 0
        self._settled_s = 0.0
        self._missing: set[str] = set()
        self._was_small_pool = True

    def restart_watch(self) -> None:
        """End the watch that waits: its connection may have gone silent."""
        # One that is still connecting ends by itself soon, and tells of the outage.
        if self._watch is not None and not self._calls.is_connecting:
            self._watch.cancel()

    def heard(self, relay: str, message: StoreUpdate) -> int:
        """Take changes that a relay heard from the store.

        Returns
        -------
        missed_after : int
            The revision after which something is missing before these changes, so that
            none of them is taken; 0 where nothing is.
        """
        if not self._revision or message.since > self._revision:
            return self._revision
        known_s = self._hub.store_age.known_s
        if message.mark_s and self._hub.store_age.confirm(message.mark_s, relay):
            self._hub.outage.answered(anyio.current_time())
        if message.revision:
            self._note_era(era_of(message.revision))
        if message.revision < self._revision:
            # Of one that is behind: it does not show that changes are heard of.
            return 0
        self._source = relay
        items = [each for each in unpack_items(message) if self._is_new(each)]
        since = self._revision
        self._take(items, known_s)
        self._revision = message.revision
        # Handed on by a relay that hears another one, as the store turns it away. What
        # its mark proves holds for its own hearers as a call to the store would.
        self._hand_on(since, items, message.mark_s)
        self._heard_from = relay
        if self._trouble and not self._is_old():
            self._trouble = ""
            self._hub.log.info("relay.heard", relay=relay, revision=self._revision)
        self._update_received.set()
        return 0

    def _is_new(self, item: StoreItem) -> bool:
        return item.revision > self._revision

    async def run(self) -> None:
        """Follow the store until cancelled."""
        prefix = self._hub.dialects.store_items.prefix
        while True:
            self._drop_missing()
            self._note_pool()
            try:
                if not self._revision:
                    await self._read_all(prefix)
                if self._relays():
                    await self._listen(prefix)
                else:
                    small = self._hub.cluster.is_small_pool
                    await self._watch_once(prefix, WATCH_S if small else FAR_WATCH_S)
                while self._gone:
                    await self._on_gone(self._gone.pop())
            except HistoryGoneError:
                self._hub.log.info("store.history_gone", revision=self._revision)
                self._lost_revision = self._lost_revision or self._revision
                self._revision = 0
            except StoreError as error:
                await anyio.sleep(self._calls.failed(error))

    def _note_pool(self) -> None:
        """Note whether all daemons hear all, which also changes by time alone."""
        cluster = self._hub.cluster
        cluster.update_clock(anyio.current_time())
        if cluster.is_small_pool != self._was_small_pool:
            self._was_small_pool = cluster.is_small_pool
            self._hub.log.info(
                "pool.changed",
                small=self._was_small_pool,
                daemons=len(cluster.daemons),
                endpoints=len(cluster.fleet.endpoints),
            )

    def _relays(self) -> list[str]:
        identity = self._hub.identity
        return self._hub.cluster.relays_for(identity.name, identity.data_centre)

    async def _listen(self, prefix: str) -> None:
        """Hear a relay; look at the store where its news may be too old.

        That a relay talks does not show that its news is new. Calls went to endpoints
        that had left 3 s before, as tellings waited before a full link but never
        stopped, or came of a relay that the store did not answer. The proved age shows
        both, whatever lies between the store and this daemon.
        """
        self._update_received = anyio.Event()
        stale_in_s = self._hub.store_age.stale_in_s(self._hub.steady_s())
        with anyio.move_on_after(min(SILENCE_S, stale_in_s)):
            await self._update_received.wait()
        if self._is_old():
            self._note_trouble("relay.late")
        elif not self._update_received.is_set():
            # This daemon's relay is gone or cut off, or a telling was missed.
            self._note_trouble("relay.silent")
            await self._ask_others()
        else:
            return
        await self._watch_once(prefix, 0.0)

    def _is_old(self) -> bool:
        return self._hub.store_age.is_stale(self._hub.steady_s())

    def _note_trouble(self, kind: str) -> None:
        if self._trouble != kind:
            self._trouble = kind
            self._hub.log.info(
                kind,
                relay=self._heard_from,
                revision=self._revision,
                age_s=self._age_s(),
            )

    async def _ask_others(self) -> None:
        for relay in self._relays():
            if relay != self._heard_from:
                await self._ask_relay(relay)

    async def _watch_once(self, prefix: str, wait_s: float) -> None:
        store = self._hub.dialects.store
        with anyio.CancelScope() as self._watch:
            began_s = self._calls.begin()
            found = await store.read_changes(prefix, self._revision, wait_s)
            # A telling may have overtaken the answer: what is older than that would put
            # an endpoint back into use that has said since that it leaves.
            items = [item for item in found.items if self._is_new(item)]
            since = self._revision
            self._source = ""
            self._take(items, self._hub.store_age.known_s)
            self._revision = max(self._revision, found.revision)
            self._calls.answered(began_s)
            self._hand_on(since, items, began_s)
            if found.items:
                small = self._hub.cluster.is_small_pool
                await anyio.sleep(JOIN_S if small else JOIN_FAR_S)

    def _age_s(self) -> float:
        return round(self._hub.store_age.age_s(self._hub.steady_s()), 3)

    def _hand_on(self, since: int, items: list[StoreItem], began_s: float) -> None:
        told = [item for item in items if item.key in self._to_tell]
        self._on_changes(since, self._revision, told, began_s)

    async def _read_all(self, prefix: str) -> None:
        began_s = self._calls.begin()
        found = await self._hub.dialects.store.read_items(prefix)
        self._source = ""
        self._note_era(era_of(found.revision))
        keys = {item.key for item in found.items} | self._missing
        removed = [StoreItem(key, None, found.revision) for key in self._known - keys]
        items = list(chain(found.items, removed))
        self._take(items, self._hub.store_age.known_s)
        self._revision = found.revision
        if self._lost_revision:
            # Hearers go on from what they knew. Without this each of them read all of
            # the store when its history was gone.
            self._hand_on(self._lost_revision, items, began_s)
            self._lost_revision = 0
        self._hub.synced = True
        self._hub.log.info(
            "store.read",
            items=len(found.items),
            revision=found.revision,
            processor_s=round(time.process_time(), 3),
        )
        self._calls.answered(began_s)

    def _note_era(self, era: int) -> None:
        """Take the era of what is about to be believed.

        Daemons whose records are gone with their leases stay listed for some seconds.
        Without them each daemon took itself for one of a small pool: all of them read
        the store, and told everything to everyone, at the moment of its return.
        """
        if era == self._era:
            return
        self._hub.note_store_era(era)
        if self._hub.synced:
            keys = self._hub.dialects.daemon_keys
            self._settled_s = anyio.current_time() + LISTED_AGAIN_S
            daemons = self._hub.cluster.daemons
            self._missing = {keys.daemon(name) for name in daemons}
        self._era = era

    def _drop_missing(self) -> None:
        """Take that daemons which have not come back to the list are gone."""
        if self._missing and anyio.current_time() >= self._settled_s:
            gone = [StoreItem(key, None, self._revision) for key in self._missing]
            self._take(gone, self._hub.store_age.known_s)

    def _take(self, items: list[StoreItem], known_s: float) -> None:
        """Take items of which none had been acknowledged at ``known_s``."""
        self._to_tell.clear()
        changed = [item for item in items if self._take_one(item, known_s)]
        self._to_tell.update(item.key for item in changed)
        if changed:
            self._hub.cluster_changed.tell()
            self._hub.engines_changed.tell()
        if changed and self._hub.cluster.fleet.has_losses:
            self._hub.losses_changed.tell()

    def _note_listing(self, key: str, endpoint: str, now_s: float) -> None:
        """Take that an engine's entry tells of its adapters alone.

        Hearers need it only where the engine's owner tells nothing. Handed on each
        time, the entries of all engines took every daemon a tenth of its time.
        """
        known = self._hub.cluster.fleet.endpoints.get(endpoint)
        if known is not None and not known.has_recent_update(now_s):
            self._to_tell.add(key)

    def _note_unlisted(self, endpoint: str, revision: int, now_s: float) -> None:
        """Tell whether an endpoint whose entry was removed stays in use."""
        self._hub.log.info(
            "endpoint.unlisted",
            endpoint=endpoint,
            revision=revision,
            in_use=endpoint in self._hub.cluster.fleet.endpoints,
            outage_over_s=round(self._hub.outage.over_for_s(now_s), 3),
        )

    def _draw_conclusions(self, store_event: StoreEvent, now_s: float) -> None:
        """Have those know who keep something of what has changed."""
        hub = self._hub
        match store_event:
            case CallRefused(mark, for_s):
                hub.crashes.record_published(mark, for_s, now_s)
            case CallAllowed(mark):
                hub.crashes.record_unpublished(mark, now_s)
            case VersionNamed(model):
                hub.first_byte_timeouts.record_version(model)
            case DeploymentNamed(deployment):
                hub.rates.set_accepted_gaps(deployment.longest_pauses_s())

    def _is_leaving(self, endpoint: str) -> bool:
        known = self._hub.cluster.fleet.endpoints.get(endpoint)
        return known is not None and known.leaves

    def _take_one(self, item: StoreItem, known_s: float) -> bool:
        hub = self._hub
        self._missing.discard(item.key)
        if item.value is None:
            self._known.discard(item.key)
        else:
            self._known.add(item.key)
        store_event = self._reader.read(item)
        if store_event is None:
            return False
        if isinstance(store_event, EndpointGone) and not self._is_leaving(
            store_event.endpoint
        ):
            self._gone.append(store_event.endpoint)
        now_s = anyio.current_time()
        if isinstance(store_event, EndpointNamed) and now_s < self._settled_s:
            store_event = EndpointNamed(
                hub.cluster.fleet.keep_leaving(store_event.record)
            )
        changed = hub.cluster.take(
            store_event, now_s, hub.outage.lapsed_until_s, known_s
        )
        if isinstance(store_event, EndpointGone):
            self._note_unlisted(store_event.endpoint, item.revision, now_s)
        if isinstance(store_event, EndpointNamed) and not changed:
            self._note_listing(item.key, store_event.record.endpoint, now_s)
        if changed:
            self._draw_conclusions(store_event, now_s)
            hub.log.info(
                "belief.changed",
                key=item.key,
                belief=type(store_event).__name__,
                revision=item.revision,
                relay=self._source,
                age_s=self._age_s(),
            )
        return changed
