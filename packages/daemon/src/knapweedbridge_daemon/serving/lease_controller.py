"""Keeps this daemon's lease and record in the store, and claims engines under it."""

import random
import secrets
import sys
from collections.abc import Iterable

import anyio

from knapweedbridge_core.serving import (
    PROTOCOL,
    DaemonRecord,
    Endpoint,
    may_claim,
)
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
    pack_owner,
    pack_protocol,
)
from knapweedbridge_daemon.serving.store_follower import StoreFollower
from knapweedbridge_daemon.store import LeaseGoneError, Transaction

RENEWALS_A_LEASE = 3
"""Renewals in the life of a lease: one may be lost, and the next is in time."""

RENEW_S = 1.2
"""Longest pause between renewals. An outage of the store finds a lease this much used
at most, so with a lease of 10 s owners go on ordering for 8.2 s; it costs the store 0.8
calls a second a daemon, at a tenth of the price."""

FIRST_CLAIM_S = 0.3
"""Pause before the first claim: daemons that start together must all be listed, or
the first would own every engine."""

LOOK_S = 0.4
"""Pause between looks for engines without an owner, where nothing changes."""

SECRET_BYTES = 32


class LeaseController:
    """The task that holds the lease and what hangs on it.

    Parameters
    ----------
    hub : Hub
        Beliefs and dialects.
    follower : StoreFollower
        Told when the store answers again.
    stop_owning : callable, optional
        Ends the orders to an engine that is given up.
    """

    def __init__(
        self,
        hub: Hub,
        follower: StoreFollower,
        stop_owning: StopOwning | None = None,
    ) -> None:
        self._hub = hub
        self._links = LostLinks(hub, stop_owning)
        self._follower = follower
        self._lease_s = hub.lease_s
        self._lease = ""
        self._lease_era = 0
        self._failing = False
        self._started_s = anyio.current_time()
        self._claimed_s: dict[str, float] = {}
        self._candidates: list[Endpoint] = []
        self._candidates_of: tuple[int, int] | None = None

    async def run(self) -> None:
        """Hold the lease until cancelled."""
        while True:
            pause_s = min(RENEW_S, self._lease_s / RENEWALS_A_LEASE)
            began_s = anyio.current_time()
            try:
                await self._hold()
                self._note_answer()
            except LeaseGoneError:
                self._lose()
                pause_s = 0.05
            except StoreError as error:
                self._note_failure(error, began_s)
                pause_s = random.uniform(0.2, 0.5)
            await anyio.sleep(pause_s)

    def _require_era(self) -> None:
        """Raise LeaseGoneError where the lease is of an era of the store that is over.

        A store that came back older gives ids of leases out again: claims hung on
        another daemon's lease, and stayed when their own daemon was gone.
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
            # The record's writing got no answer, or the store took the keys away
            # without a word: others then know nothing of this daemon.
            self._hub.log.info("lease.record_missing", lease=self._lease)
        revision = await self._put_record()
        if self._hub.lease_revision == sys.maxsize:
            self._hub.lease_revision = revision
        self._hub.lease.record_renewal(sent_s, self._lease_s)

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
        done = await self._hub.dialects.store.commit(
            Transaction(puts=puts, lease=self._lease)
        )
        return done.revision

    def _lose(self) -> None:
        self._hub.log.error("lease.lost", lease=self._lease)
        self._lease = ""
        self._hub.lease.record_loss()
        self._hub.lease_revision = sys.maxsize
        self._hub.cluster_changed.tell()

    def _note_answer(self) -> None:
        self._hub.outage.answered(anyio.current_time())
        if self._failing:
            self._follower.restart_watch()
        self._failing = False

    def _note_failure(self, error: StoreError, began_s: float) -> None:
        if not self._failing:
            self._hub.log.error("lease.not_renewed", error=str(error))
        self._failing = True
        self._hub.outage.failed(began_s)

    async def claim(self) -> None:
        """Claim engines that have no owner, until cancelled."""
        while True:
            await self._hub.cluster_changed.wait(LOOK_S)
            if self._hub.draining or not self._lease or not self._hub.synced:
                continue
            await self._links.publish(self._lease)
            await self._links.release_unreachable(self._lease)
            for endpoint in self._due():
                if self._lease_era == self._hub.store_era:
                    await self._claim(endpoint)

    def _due(self) -> list[Endpoint]:
        hub, now_s = self._hub, anyio.current_time()
        daemons = hub.cluster.daemons
        own = daemons.get(hub.identity.name)
        if own is None:
            # Those that are listed claim: a daemon that is not would come before none.
            return []
        due: list[Endpoint] = []
        if hub.paths.has_lost_links:
            return []
        for endpoint in self._find_candidates():
            if not self._is_free(endpoint, now_s):
                continue
            record = endpoint.record
            free_s = hub.cluster.free_since_s.get(record.endpoint)
            if free_s is None:
                free_s = max(endpoint.first_listed_s, self._started_s + FIRST_CLAIM_S)
            free_for_s = now_s - free_s
            able = self._able_to_own(record.endpoint)
            if may_claim(own, record.endpoint, record.data_centre, able, free_for_s):
                due.append(endpoint)
        return due

    def _able_to_own(self, engine: str) -> Iterable[DaemonRecord]:
        """Return the daemons that may claim a free engine.

        One that has given it up does not reach it, and others need not wait for its
        turn to pass.
        """
        cluster = self._hub.cluster
        without_links = cluster.without_links
        released = cluster.owners.get(engine)
        if released is None and not without_links:
            return cluster.daemons.values()
        given_up_by = released.incarnation if released else None
        return [
            each
            for each in cluster.daemons.values()
            if each.name not in without_links and each.incarnation != given_up_by
        ]

    def _find_candidates(self) -> list[Endpoint]:
        """Return the engines that no other living daemon owns.

        They are looked for anew only when owners, daemons or endpoints changed.
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
        if endpoint.leaves or not self._links.may_own(endpoint, now_s):
            return False
        ownerless = self._hub.cluster.is_ownerless(endpoint.name)
        if not ownerless and not self._is_left_over(endpoint.name):
            return False
        return now_s - self._claimed_s.get(endpoint.name, -10.0) > 1.0

    def _is_left_over(self, endpoint: str) -> bool:
        """Tell whether a record names this daemon that is not of its present lease.

        Nobody else claims such an engine, as its owner is listed.
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
            self._lose()
            return
        except StoreError as error:
            # It may have been written: then the watch tells.
            hub.log.info("owner.claim_failed", engine=endpoint.name, error=str(error))
            return
        hub.log.info(
            "owner.claimed",
            engine=endpoint.name,
            applied=done.applied,
            number=done.revision,
        )

    async def hand_over(self) -> None:
        """Give up all engines, and tell that this daemon ends."""
        hub = self._hub
        owned = {
            endpoint: record
            for endpoint, record in hub.cluster.owners.items()
            if record.owner == hub.identity.name
        }
        hub.lease.record_loss()
        if not self._lease:
            return
        # An order that is on its way must arrive before the successor's first.
        await anyio.sleep(ORDER_TIMEOUT_S)
        try:
            await self._put_record()
            for endpoint, record in owned.items():
                await give_up_engine(hub, endpoint, record, self._lease)
        except StoreError as error:
            # The lease lapses by itself; successors wait that long.
            hub.log.error("owner.hand_over_failed", error=str(error))

    async def create_secret(self) -> None:
        """Write the secret that daemons share, where there is none yet."""
        key = self._hub.dialects.daemon_keys.secret
        while not self._hub.cluster.secret:
            if self._hub.synced:
                value = secrets.token_bytes(SECRET_BYTES)
                try:
                    await self._hub.dialects.store.commit(
                        Transaction({key: 0}, {key: value})
                    )
                except StoreError as error:
                    self._hub.log.error("secret.not_written", error=str(error))
            await self._hub.cluster_changed.wait(LOOK_S)
