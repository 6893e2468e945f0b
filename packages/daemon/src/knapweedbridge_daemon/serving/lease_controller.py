"""Hold this daemon's lease and record in the store, and claim engines under it."""

import random
import secrets
import sys
import time

import anyio

from knapweedbridge_core.serving import (
    PROTOCOL,
    DaemonRecord,
    Endpoint,
    may_claim,
)
from knapweedbridge_core.serving.ownership import CLAIM_INTERVAL_S
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.serving.engine_owner import ORDER_TIMEOUT_S
from knapweedbridge_daemon.serving.hub import Hub, suspended_clock_s
from knapweedbridge_daemon.serving.lost_links import (
    LostLinks,
    StopOwning,
    give_up_engine,
)
from knapweedbridge_daemon.serving.own_records import (
    pack_daemon,
    pack_era,
    pack_owner,
    pack_protocol,
)
from knapweedbridge_daemon.serving.store_follower import StoreFollower
from knapweedbridge_daemon.store import LeaseGoneError, Transaction

RENEWALS_PER_LEASE = 3
"""Renewals in the duration of a lease: if one is lost, the next is still in time."""

MAX_RENEWAL_INTERVAL_S = 1.2
"""Longest interval between renewals. A lease is at most this old when an outage of the
store begins, so with a lease of 10 s owners keep ordering for 8.2 s. It costs the store
0.8 calls per second and daemon, at a tenth of the price."""

FIRST_CLAIM_DELAY_S = 0.3
"""Delay of the first claim: daemons that start together must all be listed, or the
first would own every engine."""

CHECK_INTERVAL_S = 0.4
"""Interval between checks for engines without an owner while nothing changes."""

SECRET_BYTES = 32


class LeaseController:
    """Tasks that hold the lease, and the records that depend on it.

    Parameters
    ----------
    hub : Hub
        Shared state.
    follower : StoreFollower
        Its watch is restarted when the store answers again.
    stop_owning : callable, optional
        Stops the orders to an engine that is released.
    """

    def __init__(
        self,
        hub: Hub,
        follower: StoreFollower,
        stop_owning: StopOwning | None = None,
    ) -> None:
        self._hub = hub
        self._lost_links = LostLinks(hub, stop_owning)
        self._follower = follower
        self._lease_s = hub.lease_s
        self._lease = ""
        self._lease_era = 0
        self._failing = False
        self._started_s = anyio.current_time()
        self._claimed_s: dict[str, float] = {}
        self._deferred_until_s: dict[str, float] = {}
        self._candidates: list[Endpoint] = []
        self._candidates_of: tuple[int, int] | None = None

    async def run(self) -> None:
        """Hold the lease until cancelled."""
        while True:
            pause_s = min(MAX_RENEWAL_INTERVAL_S, self._lease_s / RENEWALS_PER_LEASE)
            began_s = anyio.current_time()
            try:
                await self._hold()
                self._record_answer()
            except LeaseGoneError:
                self._drop_lease()
                pause_s = 0.05
            except StoreError as error:
                self._record_failure(error, began_s)
                pause_s = random.uniform(0.2, 0.5)
            await anyio.sleep(pause_s)

    def _require_era(self) -> None:
        """Raise LeaseGoneError if the lease is of an earlier era of the store.

        A store that was rolled back issues lease ids again. Claims would then depend on
        another daemon's lease, and outlive their own daemon.
        """
        self._hub.note_store_era(self._hub.dialects.store.era)
        if self._lease and self._lease_era != self._hub.store_era:
            raise LeaseGoneError("the lease is of an earlier era")

    async def _hold(self) -> None:
        store = self._hub.dialects.store
        sent_s = suspended_clock_s()
        self._require_era()
        if not self._lease:
            self._lease = await store.grant_lease(self._lease_s)
            self._hub.note_store_era(store.era)
            self._lease_era = store.era
            self._hub.lease_revision = sys.maxsize
            self._hub.log.info("lease.begun", lease=self._lease)
        else:
            left_s = await store.keep_lease(self._lease)
            self._require_era()
            if not left_s:
                raise LeaseGoneError("the lease has ended")
            self._hub.lease.record_renewal(sent_s, left_s)
            if self._is_recorded():
                return
            # The write of the record got no response, or the store has deleted the
            # keys without an error: others then know nothing of this daemon.
            self._hub.log.info("lease.record_missing", lease=self._lease)
        revision = await self._put_record()
        if self._hub.lease_revision == sys.maxsize:
            self._hub.lease_revision = revision
        self._hub.lease.record_listing(sent_s, self._lease_s, suspended_clock_s())

    def _is_recorded(self) -> bool:
        identity = self._hub.identity
        known = self._hub.cluster.daemons.get(identity.name)
        written = self._hub.lease_revision < sys.maxsize
        seen = known is not None and known.incarnation == identity.incarnation
        return written and (seen or not self._hub.synced)

    async def _put_record(self) -> int:
        """Write this daemon's record, and return its revision."""
        identity = self._hub.identity
        record = DaemonRecord(
            identity.name,
            identity.incarnation,
            identity.peers_address,
            identity.data_centre,
            self._hub.draining,
        )
        keys = self._hub.dialects.daemon_keys
        puts = {
            keys.daemon(identity.name): pack_daemon(record),
            keys.protocol(identity.name): pack_protocol(identity.incarnation, PROTOCOL),
        }
        await self._record_era()
        done = await self._hub.dialects.store.commit(
            Transaction(puts=puts, lease=self._lease)
        )
        return done.revision

    async def _record_era(self) -> None:
        """Record since when no record of the store can have been lost."""
        hub = self._hub
        if hub.era_since_s is None:
            return
        key = hub.dialects.daemon_keys.era
        value = pack_era(hub.store_era, hub.era_since_s)
        await hub.dialects.store.commit(Transaction(puts={key: value}))
        hub.recorded_era = hub.store_era
        hub.era_since_s = None

    def _drop_lease(self) -> None:
        self._hub.log.error("lease.lost", lease=self._lease)
        self._lease = ""
        self._hub.lease.record_loss()
        self._hub.lease_revision = sys.maxsize
        self._hub.cluster_changed.tell()

    def _record_answer(self) -> None:
        self._hub.outage.answered(anyio.current_time())
        if self._failing:
            self._follower.restart_watch()
        self._failing = False

    def _record_failure(self, error: StoreError, began_s: float) -> None:
        if not self._failing:
            self._hub.log.error("lease.not_renewed", error=str(error))
        self._failing = True
        self._hub.outage.failed(began_s)

    async def claim(self) -> None:
        """Claim engines that have no owner, until cancelled."""
        while True:
            await self._hub.cluster_changed.wait(CHECK_INTERVAL_S)
            if self._hub.draining or not self._lease or not self._hub.synced:
                continue
            await self._lost_links.publish(self._lease)
            await self._lost_links.release_unreachable(self._lease)
            await self._record_unrecorded_era()
            for endpoint in self._due():
                if self._lease_era == self._hub.store_era:
                    await self._claim(endpoint)

    async def _record_unrecorded_era(self) -> None:
        """Record the era in which this daemon has started, if nobody has.

        Daemons that start later then know when all leases of earlier eras have ended.
        """
        hub = self._hub
        is_unknown = anyio.current_time() < hub.succession.unknown_until_s
        # The first daemon records the era together with the secret.
        is_served = bool(hub.cluster.secret)
        if not is_unknown or not is_served or hub.recorded_era == hub.store_era:
            return
        hub.era_since_s = time.time()
        try:
            await self._record_era()
        except StoreError as error:
            hub.log.info("lease.era_not_recorded", error=str(error))

    def _due(self) -> list[Endpoint]:
        hub, now_s = self._hub, anyio.current_time()
        own = hub.cluster.daemons.get(hub.identity.name)
        if own is None or hub.paths.has_lost_links:
            # Only listed daemons claim: others have no place in the order of claims.
            return []
        return [
            endpoint
            for endpoint in self._find_candidates()
            if self._is_free(endpoint, now_s) and self._is_due(own, endpoint, now_s)
        ]

    def _is_due(self, own: DaemonRecord, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether this daemon may claim an engine now."""
        hub, name = self._hub, endpoint.name
        if self._held_last(name) and now_s >= hub.succession.unknown_until_s:
            return True
        last = hub.cluster.owners.get(name)
        had_another = last is not None or now_s < hub.outage.lapsed_until_s
        may_return_s = hub.succession.may_return_s(name, had_another)
        free_s = max(may_return_s, self._free_since_s(endpoint))
        if last is not None and last.owner in hub.cluster.daemons:
            # The host of the last owner has started again and comes first.
            free_s += CLAIM_INTERVAL_S
        if now_s < may_return_s:
            self._log_deferred(name, may_return_s)
            return False
        able = hub.cluster.possible_claimants(name, now_s, hub.succession)
        return may_claim(own, name, endpoint.record.data_centre, able, now_s - free_s)

    def _held_last(self, engine: str) -> bool:
        """Return whether the last owner of an engine was this daemon's host."""
        last, identity = self._hub.cluster.owners.get(engine), self._hub.identity
        if last is None:
            return False
        released_here = not last.owner and last.incarnation == identity.incarnation
        return last.owner == identity.name or released_here

    def _free_since_s(self, endpoint: Endpoint) -> float:
        free_s = self._hub.cluster.free_since_s.get(endpoint.name)
        if free_s is not None:
            return free_s
        return max(endpoint.first_listed_s, self._started_s + FIRST_CLAIM_DELAY_S)

    def _log_deferred(self, engine: str, until_s: float) -> None:
        """Log once that an engine is left to others for a turn."""
        if self._deferred_until_s.get(engine) == until_s:
            return
        now_s, deferred = anyio.current_time(), self._deferred_until_s.items()
        self._deferred_until_s = {each: at_s for each, at_s in deferred if at_s > now_s}
        self._deferred_until_s[engine] = until_s
        self._hub.metrics.count("claims_deferred")
        last = self._hub.cluster.owners.get(engine)
        self._hub.log.info(
            "owner.deferred",
            engine=engine,
            last_number=last.number if last else 0,
            for_s=round(until_s - now_s, 3),
        )

    def _find_candidates(self) -> list[Endpoint]:
        """Return the engines that no other living daemon owns.

        The result is cached until owners, daemons or endpoints change.
        """
        cluster = self._hub.cluster
        state = cluster.owner_changes, cluster.fleet.changes
        if state != self._candidates_of:
            self._candidates_of = state
            self._candidates = [
                each for each in cluster.fleet.engines() if self._may_be_free(each.name)
            ]
        return self._candidates

    def _may_be_free(self, endpoint: str) -> bool:
        record = self._hub.cluster.owners.get(endpoint)
        is_own = record is not None and record.owner == self._hub.identity.name
        return is_own or self._hub.cluster.is_ownerless(endpoint)

    def _is_free(self, endpoint: Endpoint, now_s: float) -> bool:
        if self._hub.engine_limits(endpoint.record.service) is None:
            return False
        if endpoint.leaves or not self._lost_links.may_own(endpoint, now_s):
            return False
        ownerless = self._hub.cluster.is_ownerless(endpoint.name)
        if not ownerless and not self._is_outdated_own(endpoint.name):
            return False
        return now_s - self._claimed_s.get(endpoint.name, -10.0) > 1.0

    def _is_outdated_own(self, endpoint: str) -> bool:
        """Return whether the record names this daemon but is older than its lease.

        No other daemon claims such an engine, as its owner is listed.
        """
        record = self._hub.cluster.owners.get(endpoint)
        if record is None or record.owner != self._hub.identity.name:
            return False
        return record.number < self._hub.lease_revision < sys.maxsize

    async def _claim(self, endpoint: Endpoint) -> None:
        hub, now_s = self._hub, anyio.current_time()
        self._claimed_s[endpoint.name] = now_s
        key = hub.dialects.daemon_keys.owner(endpoint.name)
        known = hub.cluster.owners.get(endpoint.name)
        value = pack_owner(hub.identity.name, hub.identity.incarnation)
        transaction = Transaction(
            {key: known.number if known else 0}, {key: value}, lease=self._lease
        )
        try:
            done = await hub.dialects.store.commit(transaction)
        except LeaseGoneError:
            self._drop_lease()
            return
        except StoreError as error:
            # It may have been written all the same; the watch will show it.
            hub.log.info("owner.claim_failed", engine=endpoint.name, error=str(error))
            return
        hub.log.info(
            "owner.claimed",
            engine=endpoint.name,
            applied=done.applied,
            number=done.revision,
        )

    async def hand_over(self) -> None:
        """Release all engines, and record that this daemon drains."""
        hub = self._hub
        owned = {
            endpoint: record
            for endpoint, record in hub.cluster.owners.items()
            if record.owner == hub.identity.name
        }
        hub.lease.record_loss()
        if not self._lease:
            return
        # An order in flight must arrive before the successor's first.
        await anyio.sleep(ORDER_TIMEOUT_S)
        try:
            await self._put_record()
            for endpoint, record in owned.items():
                await give_up_engine(hub, endpoint, record, self._lease)
        except StoreError as error:
            # Successors wait until the lease expires.
            hub.log.error("owner.hand_over_failed", error=str(error))

    async def create_secret(self) -> None:
        """Write the secret that daemons share, unless there is one."""
        keys = self._hub.dialects.daemon_keys
        key = keys.secret
        while not self._hub.cluster.secret:
            if self._hub.synced:
                value = secrets.token_bytes(SECRET_BYTES)
                # Without a secret no daemon has served yet, so no record was lost.
                era = pack_era(self._hub.dialects.store.era, 0.0)
                try:
                    await self._hub.dialects.store.commit(
                        Transaction({key: 0}, {key: value, keys.era: era})
                    )
                except StoreError as error:
                    self._hub.log.error("secret.not_written", error=str(error))
            await self._hub.cluster_changed.wait(CHECK_INTERVAL_S)
