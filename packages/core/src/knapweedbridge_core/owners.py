"""Ownership of endpoints, each with a fencing number that only rises.

The owner record in the key-value service changes only when the owner changes, by
compare-and-swap over the record and the liveness keys of both daemons: a daemon with a
valid lease cannot lose an endpoint unless it hands it over.
"""

from knapweedbridge_core.actions import Action, Record, StoreRead, StoreWrite
from knapweedbridge_core.computed_owners import ComputedOwners
from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.events import StoreResponse
from knapweedbridge_core.leases import LIVENESS_PREFIX, DaemonLease, unpack_incarnation
from knapweedbridge_core.members import Members
from knapweedbridge_core.owner_claims import (
    HELD_STAGES,
    Claimed,
    HandedOver,
    Lost,
    OwnerClaim,
    OwnershipChange,
    Stage,
)
from knapweedbridge_core.owner_records import ANY_INCARNATION, OWNER_KEY, OwnerRecord
from knapweedbridge_core.times import CALL_TIMEOUT_S, RETRY_INTERVAL_S

__all__ = ["Claimed", "HandedOver", "Lost", "Owners", "OwnershipChange", "Stage"]


class Owners:
    """Claim, keep and hand over endpoints.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : int
        Number that rises with each start of the host.
    members : Members
        The daemons that may own endpoints.
    lease : DaemonLease
        Proof that this daemon is alive.
    """

    def __init__(
        self, host: str, incarnation: int, members: Members, lease: DaemonLease
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._computed = ComputedOwners(members)
        self._lease = lease
        self._claims: dict[str, OwnerClaim] = {}
        self._reply_handlers = {
            "owner-read": self._read,
            "owner-life": self._read_liveness,
            "owner-claim": self._claimed,
            "owner-back": self._read_back,
            "owner-verify": self._verified,
            "owner-hand-read": self._read_for_handover,
            "owner-hand": self._handover_written,
            "owner-hand-back": self._handover_read_back,
        }

    def number(self, endpoint: str) -> int | None:
        """Return the fencing number held for an endpoint, or None."""
        claim = self._claims.get(endpoint)
        if claim is None or claim.stage not in HELD_STAGES:
            return None
        return claim.number

    def holds(self, endpoint: str, now_s: float) -> bool:
        """Return whether no other daemon can own the endpoint at this time."""
        claim = self._claims.get(endpoint)
        if claim is None or claim.stage not in HELD_STAGES:
            return False
        return self._lease.is_valid(now_s) and claim.epoch == self._lease.epoch

    def is_handing_over(self, endpoint: str) -> bool:
        """Return whether the endpoint is being handed over."""
        claim = self._claims.get(endpoint)
        return claim is not None and claim.stage in HELD_STAGES - {Stage.OWNING}

    def computed_owner(self, entry: EndpointEntry) -> str | None:
        """Return the daemon that should own an endpoint."""
        return self._computed.owner(entry)

    def tick(self, endpoints: list[EndpointEntry], now_s: float) -> list[Action]:
        """Return the actions for claims and checks that are due."""
        if not self._lease.is_valid(now_s):
            return []
        actions: list[Action] = []
        for entry in endpoints:
            claim = self._claims.setdefault(entry.name, OwnerClaim())
            if claim.stage in HELD_STAGES:
                actions += self._verify_if_due(entry.name, claim, now_s)
            elif claim.stage is Stage.READING_BACK and self._is_due(claim, now_s):
                claim.since_s = now_s
                actions.append(self._read_record_back(entry.name))
            elif (
                self._is_due(claim, now_s) and self.computed_owner(entry) == self._host
            ):
                claim.stage, claim.since_s = Stage.READING, now_s
                keys = (OWNER_KEY + entry.name, self._lease.key)
                actions.append(StoreRead(f"owner-read:{entry.name}", keys))
        return actions

    @staticmethod
    def _is_due(claim: OwnerClaim, now_s: float) -> bool:
        settled = claim.stage in (Stage.IDLE, Stage.READING_BACK)
        pause_s = RETRY_INTERVAL_S if settled else CALL_TIMEOUT_S
        return now_s - claim.since_s >= pause_s

    def _verify_if_due(
        self, endpoint: str, claim: OwnerClaim, now_s: float
    ) -> list[Action]:
        # After the lease expired, another daemon may have claimed the endpoint. Once
        # this daemon's liveness key exists again no other daemon can, so the record
        # read after that is conclusive.
        if now_s - claim.since_s < RETRY_INTERVAL_S:
            return []
        if claim.stage is Stage.READING_BACK_HANDOVER:
            claim.since_s = now_s
            return [self._read_handover_back(endpoint)]
        if claim.epoch == self._lease.epoch:
            return []
        claim.since_s, claim.asked_epoch = now_s, self._lease.epoch
        return [StoreRead(f"owner-verify:{endpoint}", (OWNER_KEY + endpoint,))]

    def hand_over(self, endpoint: str, successor: str, now_s: float) -> list[Action]:
        """Begin to write a successor into the owner record."""
        claim = self._claims[endpoint]
        if claim.stage is not Stage.OWNING:
            return []
        claim.stage, claim.successor, claim.since_s = (
            Stage.HANDING_OVER,
            successor,
            now_s,
        )
        return [StoreRead(f"owner-hand-read:{endpoint}", (OWNER_KEY + endpoint,))]

    def accept_handover(self, endpoint: str, number: int) -> bool:
        """Own an endpoint that was handed over; return False if this is outdated."""
        claim = self._claims.setdefault(endpoint, OwnerClaim())
        if claim.number >= number:
            return False
        self._claims[endpoint] = OwnerClaim(Stage.OWNING, number, epoch=-1)
        return True

    def record_superseded(self, endpoint: str, number: int) -> list[OwnershipChange]:
        """Record that another daemon owns an endpoint under a fencing number."""
        claim = self._claims.get(endpoint)
        if claim is None or claim.number >= number:
            return []
        held = claim.stage in HELD_STAGES
        self._claims[endpoint] = OwnerClaim(number=number)
        return [Lost(endpoint)] if held else []

    def handle_reply(
        self, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[OwnershipChange]]:
        """Handle a reply of the service; return actions and changes of ownership."""
        step, _, endpoint = reply.token.partition(":")
        claim = self._claims.get(endpoint)
        handler = self._reply_handlers.get(step)
        if claim is None or handler is None:
            return [], []
        return handler(endpoint, claim, reply, now_s)

    @staticmethod
    def _record_in(reply: StoreResponse, endpoint: str) -> tuple[OwnerRecord, int]:
        value, revision = reply.values.get(OWNER_KEY + endpoint, (b"", 0))
        found = OwnerRecord.unpack(value) if value else OwnerRecord("", 0, 0)
        return found, revision

    def _read(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[OwnershipChange]]:
        if claim.stage is not Stage.READING:
            return [], []
        if not reply.known:
            claim.stage = Stage.IDLE
            return [], []
        claim.found, claim.revision = self._record_in(reply, endpoint)
        claim.liveness_revision = reply.values.get(self._lease.key, (b"", 0))[1]
        found = claim.found
        was_handed_over = (
            found.owner == self._host and found.incarnation == ANY_INCARNATION
        )
        claim.clean = not found.owner or was_handed_over
        if found.owner in ("", self._host):
            return [self._write_claim(endpoint, claim, {}, now_s)], []
        claim.stage = Stage.READING_LIVENESS
        key = LIVENESS_PREFIX + found.owner
        return [StoreRead(f"owner-life:{endpoint}", (key,))], []

    def _read_liveness(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[OwnershipChange]]:
        if claim.stage is not Stage.READING_LIVENESS or claim.found is None:
            return [], []
        key = LIVENESS_PREFIX + claim.found.owner
        value, revision = reply.values.get(key, (b"", 0))
        if not reply.known or self._is_owner_alive(claim.found, value):
            claim.stage = Stage.IDLE
            return [], []
        return [self._write_claim(endpoint, claim, {key: revision}, now_s)], []

    @staticmethod
    def _is_owner_alive(found: OwnerRecord, liveness: bytes) -> bool:
        if not liveness:
            return False
        return found.incarnation in (ANY_INCARNATION, unpack_incarnation(liveness))

    def _write_claim(
        self, endpoint: str, claim: OwnerClaim, liveness: dict[str, int], now_s: float
    ) -> Action:
        assert claim.found is not None
        claim.stage, claim.since_s = Stage.CLAIMING, now_s
        claim.number = claim.found.number + 1
        claim.asked_epoch = self._lease.epoch
        key = OWNER_KEY + endpoint
        compares = {key: claim.revision, self._lease.key: claim.liveness_revision}
        record = OwnerRecord(self._host, self._incarnation, claim.number)
        puts = {key: record.pack()}
        token = f"owner-claim:{endpoint}"
        claim.written = StoreWrite(token, {**compares, **liveness}, puts)
        return claim.written

    def _claimed(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[OwnershipChange]]:
        if claim.stage is not Stage.CLAIMING:
            return [], []
        if not reply.known or not reply.applied:
            claim.stage, claim.since_s = Stage.READING_BACK, now_s
            return [self._read_record_back(endpoint)], []
        return self._won(endpoint, claim)

    def _won(
        self, endpoint: str, claim: OwnerClaim
    ) -> tuple[list[Action], list[OwnershipChange]]:
        claim.stage, claim.epoch = Stage.OWNING, claim.asked_epoch
        fields = {"endpoint": endpoint, "number": claim.number}
        change = Claimed(endpoint, claim.number, claim.clean)
        return [Record("owner.claimed", fields)], [change]

    def _read_back(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[OwnershipChange]]:
        if claim.stage is not Stage.READING_BACK or not reply.known:
            return [], []
        found, revision = self._record_in(reply, endpoint)
        if found == OwnerRecord(self._host, self._incarnation, claim.number):
            return self._won(endpoint, claim)
        if revision == claim.revision and claim.written is not None:
            # The write whose reply was lost may still take effect. The same write
            # again either succeeds in its place or fails because it took effect, so
            # one of the two replies is conclusive.
            claim.stage, claim.since_s = Stage.CLAIMING, now_s
            return [claim.written], []
        claim.stage = Stage.IDLE
        return [], []

    @staticmethod
    def _read_record_back(endpoint: str) -> Action:
        return StoreRead(f"owner-back:{endpoint}", (OWNER_KEY + endpoint,))

    def _verified(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[OwnershipChange]]:
        if claim.stage not in HELD_STAGES or not reply.known:
            return [], []
        found, _ = self._record_in(reply, endpoint)
        if (found.owner, found.number) == (self._host, claim.number):
            claim.epoch = claim.asked_epoch
            return [], []
        if claim.stage is not Stage.OWNING:
            return [], []
        return [], self.record_superseded(endpoint, max(found.number, claim.number + 1))

    def _read_for_handover(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[OwnershipChange]]:
        if claim.stage is not Stage.HANDING_OVER:
            return [], []
        found, revision = self._record_in(reply, endpoint)
        if not reply.known:
            claim.stage = Stage.OWNING
            return [], []
        if (found.owner, found.number) != (self._host, claim.number):
            higher = max(found.number, claim.number + 1)
            return [], self.record_superseded(endpoint, higher)
        return [self._write_successor(endpoint, claim, revision)], []

    @staticmethod
    def _write_successor(endpoint: str, claim: OwnerClaim, revision: int) -> Action:
        key = OWNER_KEY + endpoint
        record = OwnerRecord(claim.successor, ANY_INCARNATION, claim.number + 1)
        puts = {key: record.pack()}
        return StoreWrite(f"owner-hand:{endpoint}", {key: revision}, puts)

    def _handover_written(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[OwnershipChange]]:
        if claim.stage is not Stage.HANDING_OVER:
            return [], []
        if reply.known and reply.applied:
            return self._complete_handover(endpoint, claim)
        claim.stage, claim.since_s = Stage.READING_BACK_HANDOVER, now_s
        return [self._read_handover_back(endpoint)], []

    @staticmethod
    def _read_handover_back(endpoint: str) -> Action:
        return StoreRead(f"owner-hand-back:{endpoint}", (OWNER_KEY + endpoint,))

    def _handover_read_back(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[OwnershipChange]]:
        if claim.stage is not Stage.READING_BACK_HANDOVER or not reply.known:
            return [], []
        found, revision = self._record_in(reply, endpoint)
        if (found.owner, found.number) == (claim.successor, claim.number + 1):
            return self._complete_handover(endpoint, claim)
        if (found.owner, found.number) == (self._host, claim.number):
            # The write whose reply was lost may still take effect, so this daemon may
            # not keep the endpoint.
            claim.stage = Stage.HANDING_OVER
            return [self._write_successor(endpoint, claim, revision)], []
        return [], self.record_superseded(endpoint, max(found.number, claim.number + 1))

    def _complete_handover(
        self, endpoint: str, claim: OwnerClaim
    ) -> tuple[list[Action], list[OwnershipChange]]:
        number = claim.number + 1
        successor = claim.successor
        self._claims[endpoint] = OwnerClaim(number=number)
        fields = {"endpoint": endpoint, "successor": successor, "number": number}
        change = HandedOver(endpoint, successor, number)
        return [Record("owner.handed_over", fields)], [change]
