"""Follow the platform's store and keep this daemon's cluster state up to date."""

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
from knapweedbridge_core.serving.store_events import EraNamed, OriginsStored
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.item_reader import ItemReader
from knapweedbridge_daemon.serving.store_calls import StoreCalls
from knapweedbridge_daemon.serving.store_update_codec import unpack_items
from knapweedbridge_daemon.store import HistoryGoneError, StoreItem

WATCH_S = 1.5
"""Duration of a watch that returns no changes. A connection that has gone silent is
noticed only when the wait ends, and a configuration must be in force within 2 s."""

LARGE_POOL_WATCH_S = 0.4
"""The same in a large pool, where it adds to the age of what subscribers know."""

RELAY_TIMEOUT_S = 0.9
"""Silence of the relay after which a daemon subscribes to another one and reads the
store itself. A relay sends two updates in that time, even if nothing changed."""

BATCH_S = 0.3
LARGE_POOL_BATCH_S = 0.6
"""Pause after changes before the next watch, to batch changes: the engines of a small
pool publish about five adapter changes a second, those of a large pool fifty. Changes
must be known within 2 s in a small pool and 3 s in a large one."""

REGISTRATION_TIMEOUT_S = 3.0
"""How long the records that a store lost by a rollback still count as valid. Each
daemon renews its lease within 1.2 s, finds it gone and writes its record again, and
endpoints publish their entries again."""

Subscribe = Callable[[str], Awaitable[None]]
OnRemoved = Callable[[str], Awaitable[None]]
OnStoreChanges = Callable[[int, int, list[StoreItem], float], None]


class StoreFollower:
    """Task that reads the store and follows its changes.

    Parameters
    ----------
    hub : Hub
        Shared state that is kept up to date.
    subscribe : callable
        Asks another daemon to send its updates to this one.
    on_removed : callable
        Called with the name of each endpoint that is no longer listed.
    on_changes : callable
        Called with the changes for subscribers of this daemon: the revisions before and
        after them, the items, and when the call that returned them began.
    """

    def __init__(
        self,
        hub: Hub,
        subscribe: Subscribe,
        on_removed: OnRemoved,
        on_changes: OnStoreChanges,
    ) -> None:
        self._hub = hub
        self._subscribe = subscribe
        self._on_removed = on_removed
        self._on_changes = on_changes
        self._removed_endpoints: list[str] = []
        self._calls = StoreCalls(hub)
        self._watch: anyio.CancelScope | None = None
        self._revision = 0
        self._revision_before_loss = 0
        self._known_keys: set[str] = set()
        self._update_received = anyio.Event()
        self._last_relay = ""
        self._source_relay = ""
        self._relay_problem = ""
        self._keys_to_relay: set[str] = set()
        self._reader = ItemReader(hub)
        self._era = 0
        self._missing_until_s = 0.0
        self._missing_keys: set[str] = set()
        self._was_small_pool = True

    def restart_watch(self) -> None:
        """Cancel the pending watch, whose connection may have gone silent."""
        # A watch that is still connecting soon fails, which records the outage.
        if self._watch is not None and not self._calls.is_connecting:
            self._watch.cancel()

    def heard(self, relay: str, message: StoreUpdate) -> int:
        """Apply store changes that a relay has sent.

        Returns
        -------
        missed_after : int
            The last known revision if there is a gap between it and these changes, in
            which case none of them is applied; 0 otherwise.
        """
        if not self._revision or message.since > self._revision:
            return self._revision
        known_s = self._hub.store_age.known_s
        if message.mark_s and self._hub.store_age.confirm(message.mark_s, relay):
            self._hub.outage.answered(anyio.current_time())
        if message.revision:
            self._update_era(era_of(message.revision))
        if message.revision < self._revision:
            # The relay is behind: its updates do not show that changes arrive.
            return 0
        self._source_relay = relay
        items = [each for each in unpack_items(message) if self._is_new(each)]
        since = self._revision
        self._take(items, known_s)
        self._record_revision(message.revision)
        # A relay that the store rejects subscribes to another relay and passes its
        # updates on. The returned mark proves freshness to its own subscribers just as
        # a call to the store would.
        self._relay_changes(since, items, message.mark_s)
        self._last_relay = relay
        if self._relay_problem and not self._is_old():
            self._relay_problem = ""
            self._hub.log.info("relay.heard", relay=relay, revision=self._revision)
        self._update_received.set()
        return 0

    def _record_revision(self, revision: int) -> None:
        self._revision = self._hub.known_revision = revision

    def _is_new(self, item: StoreItem) -> bool:
        return item.revision > self._revision

    async def run(self) -> None:
        """Follow the store until cancelled."""
        prefix = self._hub.dialects.store_items.prefix
        while True:
            self._remove_missing()
            self._log_pool_change()
            try:
                if not self._revision:
                    await self._read_all(prefix)
                if self._find_relays():
                    await self._follow_relay(prefix)
                else:
                    small = self._hub.cluster.is_small_pool
                    await self._watch_once(
                        prefix, WATCH_S if small else LARGE_POOL_WATCH_S
                    )
                while self._removed_endpoints:
                    await self._on_removed(self._removed_endpoints.pop())
            except HistoryGoneError:
                self._hub.log.info("store.history_gone", revision=self._revision)
                self._revision_before_loss = (
                    self._revision_before_loss or self._revision
                )
                self._revision = 0
            except StoreError as error:
                await anyio.sleep(self._calls.record_failure(error))

    def _log_pool_change(self) -> None:
        """Log a change between a small pool, without relays, and a large one.

        It may also come with time alone.
        """
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

    def _find_relays(self) -> list[str]:
        identity = self._hub.identity
        return self._hub.cluster.relays_for(identity.name, identity.data_centre)

    async def _follow_relay(self, prefix: str) -> None:
        """Wait for an update of a relay; read the store if updates may be too old.

        Updates that keep coming may still be stale: they queue before a saturated link,
        or the relay gets no answer from the store. Calls then went to endpoints that
        had left 3 s before. The proven age covers both, whatever lies between the store
        and this daemon.
        """
        self._update_received = anyio.Event()
        stale_in_s = self._hub.store_age.stale_in_s(self._hub.steady_s())
        with anyio.move_on_after(min(RELAY_TIMEOUT_S, stale_in_s)):
            await self._update_received.wait()
        if self._is_old():
            self._log_relay_problem("relay.late")
        elif not self._update_received.is_set():
            # The relay has stopped or is unreachable, or an update was lost.
            self._log_relay_problem("relay.silent")
            await self._request_other_relays()
        else:
            return
        await self._watch_once(prefix, 0.0)

    def _is_old(self) -> bool:
        return self._hub.store_age.is_stale(self._hub.steady_s())

    def _log_relay_problem(self, kind: str) -> None:
        if self._relay_problem != kind:
            self._relay_problem = kind
            self._hub.log.info(
                kind,
                relay=self._last_relay,
                revision=self._revision,
                age_s=self._age_s(),
            )

    async def _request_other_relays(self) -> None:
        for relay in self._find_relays():
            if relay != self._last_relay:
                await self._subscribe(relay)

    async def _watch_once(self, prefix: str, wait_s: float) -> None:
        store = self._hub.dialects.store
        with anyio.CancelScope() as self._watch:
            began_s = self._calls.begin()
            found = await store.read_changes(prefix, self._revision, wait_s)
            # An update of a relay may have overtaken the response: older items would
            # put an endpoint back into use that has begun to drain since.
            items = [item for item in found.items if self._is_new(item)]
            since = self._revision
            self._source_relay = ""
            self._take(items, self._hub.store_age.known_s)
            self._record_revision(max(self._revision, found.revision))
            self._calls.record_answer(began_s)
            self._relay_changes(since, items, began_s)
            if found.items:
                small = self._hub.cluster.is_small_pool
                await anyio.sleep(BATCH_S if small else LARGE_POOL_BATCH_S)

    def _age_s(self) -> float:
        return round(self._hub.store_age.age_s(self._hub.steady_s()), 3)

    def _relay_changes(
        self, since: int, items: list[StoreItem], began_s: float
    ) -> None:
        relayed = [item for item in items if item.key in self._keys_to_relay]
        self._on_changes(since, self._revision, relayed, began_s)

    async def _read_all(self, prefix: str) -> None:
        began_s = self._calls.begin()
        found = await self._hub.dialects.store.read_items(prefix)
        self._source_relay = ""
        self._update_era(era_of(found.revision))
        keys = {item.key for item in found.items} | self._missing_keys
        removed = [
            StoreItem(key, None, found.revision) for key in self._known_keys - keys
        ]
        items = list(chain(found.items, removed))
        self._take(items, self._hub.store_age.known_s)
        self._record_revision(found.revision)
        if self._revision_before_loss:
            # Subscribers continue from the revision they know. Otherwise each of them
            # would read the whole store once its history was compacted.
            self._relay_changes(self._revision_before_loss, items, began_s)
            self._revision_before_loss = 0
        self._hub.synced = True
        self._hub.log.info(
            "store.read",
            items=len(found.items),
            revision=found.revision,
            processor_s=round(time.process_time(), 3),
        )
        self._calls.record_answer(began_s)

    def _update_era(self, era: int) -> None:
        """Record the era of the items that are about to be applied.

        Daemons whose records were lost together with their leases stay listed for some
        seconds. Without them each daemon would take the pool for a small one: as the
        store returns, all of them would read it and send everything to everyone.
        """
        if era == self._era:
            return
        self._hub.note_store_era(era)
        if self._hub.synced:
            keys = self._hub.dialects.daemon_keys
            self._missing_until_s = anyio.current_time() + REGISTRATION_TIMEOUT_S
            daemons = self._hub.cluster.daemons
            self._missing_keys = {keys.daemon(name) for name in daemons}
        self._era = era

    def _remove_missing(self) -> None:
        """Remove the daemons that have not registered again after a rollback."""
        if self._missing_keys and anyio.current_time() >= self._missing_until_s:
            gone = [StoreItem(key, None, self._revision) for key in self._missing_keys]
            self._take(gone, self._hub.store_age.known_s)

    def _take(self, items: list[StoreItem], known_s: float) -> None:
        """Apply items, none of which had been acknowledged at ``known_s``."""
        self._keys_to_relay.clear()
        changed = [item for item in items if self._take_one(item, known_s)]
        self._keys_to_relay.update(item.key for item in changed)
        if changed:
            self._hub.cluster_changed.tell()
            self._hub.engines_changed.tell()
        if changed and self._hub.cluster.fleet.has_losses:
            self._hub.losses_changed.tell()

    def _relay_adapter_entry(self, key: str, endpoint: str, now_s: float) -> None:
        """Relay an engine's entry in which only the adapters have changed, if needed.

        Subscribers need it only if the engine's owner sends no updates. Relaying the
        entries of all engines each time would cost every daemon a tenth of its time.
        """
        known = self._hub.cluster.fleet.endpoints.get(endpoint)
        if known is not None and not known.has_recent_update(now_s):
            self._keys_to_relay.add(key)

    def _log_unlisted(self, endpoint: str, revision: int, now_s: float) -> None:
        """Log whether an endpoint whose entry was removed stays in use."""
        self._hub.log.info(
            "endpoint.unlisted",
            endpoint=endpoint,
            revision=revision,
            in_use=endpoint in self._hub.cluster.fleet.endpoints,
            outage_over_s=round(self._hub.outage.over_for_s(now_s), 3),
        )

    def _notify_components(self, store_event: StoreEvent, now_s: float) -> None:
        """Pass a change on to the components that keep state derived from it."""
        hub = self._hub
        match store_event:
            case CallRefused(mark, for_s):
                hub.crashes.record_published(mark, for_s, now_s)
            case CallAllowed(mark):
                hub.crashes.record_unpublished(mark, now_s)
            case EraNamed(era, since_s):
                hub.record_era(era, since_s)
            case VersionNamed(model):
                hub.first_byte_timeouts.record_version(model)
            case DeploymentNamed(deployment):
                hub.rates.set_accepted_gaps(deployment.longest_pauses_s())

    def _is_leaving(self, endpoint: str) -> bool:
        known = self._hub.cluster.fleet.endpoints.get(endpoint)
        return known is not None and known.leaves

    def _take_one(self, item: StoreItem, known_s: float) -> bool:
        hub = self._hub
        self._missing_keys.discard(item.key)
        if item.value is None:
            self._known_keys.discard(item.key)
        else:
            self._known_keys.add(item.key)
        store_event = self._reader.read(item)
        if store_event is None:
            return False
        if isinstance(store_event, EndpointGone) and not self._is_leaving(
            store_event.endpoint
        ):
            self._removed_endpoints.append(store_event.endpoint)
        now_s = anyio.current_time()
        if isinstance(store_event, OriginsStored):
            # Not relayed: other hosts ask the streams' coordinators.
            hub.origins.record_rows(store_event.origins, now_s)
            return False
        if isinstance(store_event, EndpointNamed) and now_s < self._missing_until_s:
            store_event = EndpointNamed(
                hub.cluster.fleet.keep_leaving(store_event.record)
            )
        changed = hub.cluster.take(
            store_event, now_s, hub.outage.lapsed_until_s, known_s
        )
        if isinstance(store_event, EndpointGone):
            self._log_unlisted(store_event.endpoint, item.revision, now_s)
        if isinstance(store_event, EndpointNamed) and not changed:
            self._relay_adapter_entry(item.key, store_event.record.endpoint, now_s)
        if changed:
            self._notify_components(store_event, now_s)
            hub.log.info(
                "belief.changed",
                key=item.key,
                belief=type(store_event).__name__,
                revision=item.revision,
                relay=self._source_relay,
                age_s=self._age_s(),
            )
        return changed
