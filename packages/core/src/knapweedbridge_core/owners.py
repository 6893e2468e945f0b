"""Which endpoints this daemon owns, each with a fencing number that only rises.

An owner's record in the service changes only when the owner changes, by
compare-and-swap over the record and the life keys of both daemons: a daemon whose
lease stands cannot lose an endpoint unless it hands it over.
"""

from knapweedbridge_core.actions import Action, Record, StoreRead, StoreWrite
from knapweedbridge_core.computed_owners import ComputedOwners
from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.events import StoreResponse
from knapweedbridge_core.leases import LIVENESS_PREFIX, DaemonLease, unpack_incarnation
from knapweedbridge_core.members import Members
from knapweedbridge_core.owner_claims import (
    HELD_STAGES,
    Change,
    Claimed,
    HandedOver,
    Lost,
    OwnerClaim,
    Stage,
)
from knapweedbridge_core.owner_records import ANY_INCARNATION, OWNER_KEY, OwnerRecord
from knapweedbridge_core.times import CALL_TIMEOUT_S, RETRY_INTERVAL_S

__all__ = ["Change", "Claimed", "HandedOver", "Lost", "Owners", "Stage"]


class Owners:
    """Claims, keeps and hands over endpoints.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : int
        Number that rises with each start of the host.
    members : Members
        Who may own.
    lease : DaemonLease
        Proof that this daemon lives.
    """

    def __init__(
        self, host: str, incarnation: int, members: Members, lease: DaemonLease
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._computed = ComputedOwners(members)
        self._lease = lease
        self._claims: dict[str, OwnerClaim] = {}
        self._takers = {
            "owner-read": self._read,
            "owner-life": self._read_life,
            "owner-claim": self._claimed,
            "owner-back": self._read_back,
            "owner-verify": self._verified,
            "owner-hand-read": self._hand_read,
            "owner-hand": self._handed,
            "owner-hand-back": self._handed_back,
        }

    def number(self, endpoint: str) -> int | None:
        """Return the fencing number held for an endpoint, or None."""
        claim = self._claims.get(endpoint)
        if claim is None or claim.stage not in HELD_STAGES:
            return None
        return claim.number

    def holds(self, endpoint: str, now_s: float) -> bool:
        """Tell whether nobody else can own the endpoint at this time."""
        claim = self._claims.get(endpoint)
        if claim is None or claim.stage not in HELD_STAGES:
            return False
        return self._lease.is_valid(now_s) and claim.epoch == self._lease.epoch

    def is_handing_over(self, endpoint: str) -> bool:
        """Tell whether the endpoint is on its way to another owner."""
        claim = self._claims.get(endpoint)
        return claim is not None and claim.stage in HELD_STAGES - {Stage.OWNING}

    def computed_owner(self, entry: EndpointEntry) -> str | None:
        """Name the daemon that should own an endpoint."""
        return self._computed.owner(entry)

    def tick(self, endpoints: list[EndpointEntry], now_s: float) -> list[Action]:
        """Start the claims and checks that are due."""
        if not self._lease.is_valid(now_s):
            return []
        actions: list[Action] = []
        for entry in endpoints:
            claim = self._claims.setdefault(entry.name, OwnerClaim())
            if claim.stage in HELD_STAGES:
                actions += self._check(entry.name, claim, now_s)
            elif claim.stage is Stage.READING_BACK and self._is_due(claim, now_s):
                claim.since_s = now_s
                actions.append(self._ask_back(entry.name))
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

    def _check(self, endpoint: str, claim: OwnerClaim, now_s: float) -> list[Action]:
        # After a lapse another daemon may have claimed; the record, read after this
        # daemon's life key stands again, says whether one has, and then none can.
        if now_s - claim.since_s < RETRY_INTERVAL_S:
            return []
        if claim.stage is Stage.HANDING_BACK:
            claim.since_s = now_s
            return [self._ask_handed(endpoint)]
        if claim.epoch == self._lease.epoch:
            return []
        claim.since_s, claim.asked_epoch = now_s, self._lease.epoch
        return [StoreRead(f"owner-verify:{endpoint}", (OWNER_KEY + endpoint,))]

    def hand_over(self, endpoint: str, successor: str, now_s: float) -> list[Action]:
        """Begin to name a successor in the record."""
        claim = self._claims[endpoint]
        if claim.stage is not Stage.OWNING:
            return []
        claim.stage, claim.successor, claim.since_s = Stage.HANDING, successor, now_s
        return [StoreRead(f"owner-hand-read:{endpoint}", (OWNER_KEY + endpoint,))]

    def accept(self, endpoint: str, number: int) -> bool:
        """Take an endpoint from its owner's hands; False where it is outdated."""
        claim = self._claims.setdefault(endpoint, OwnerClaim())
        if claim.number >= number:
            return False
        self._claims[endpoint] = OwnerClaim(Stage.OWNING, number, epoch=-1)
        return True

    def record_superseded(self, endpoint: str, number: int) -> list[Change]:
        """Take that another owner has a number."""
        claim = self._claims.get(endpoint)
        if claim is None or claim.number >= number:
            return []
        held = claim.stage in HELD_STAGES
        self._claims[endpoint] = OwnerClaim(number=number)
        return [Lost(endpoint)] if held else []

    def replied(
        self, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[Change]]:
        """Take a reply of the service."""
        step, _, endpoint = reply.token.partition(":")
        claim = self._claims.get(endpoint)
        taker = self._takers.get(step)
        if claim is None or taker is None:
            return [], []
        return taker(endpoint, claim, reply, now_s)

    @staticmethod
    def _record_in(reply: StoreResponse, endpoint: str) -> tuple[OwnerRecord, int]:
        value, revision = reply.values.get(OWNER_KEY + endpoint, (b"", 0))
        found = OwnerRecord.unpack(value) if value else OwnerRecord("", 0, 0)
        return found, revision

    def _read(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[Change]]:
        if claim.stage is not Stage.READING:
            return [], []
        if not reply.known:
            claim.stage = Stage.IDLE
            return [], []
        claim.found, claim.revision = self._record_in(reply, endpoint)
        claim.life_revision = reply.values.get(self._lease.key, (b"", 0))[1]
        found = claim.found
        handed = found.owner == self._host and found.incarnation == ANY_INCARNATION
        claim.clean = not found.owner or handed
        if found.owner in ("", self._host):
            return [self._write_claim(endpoint, claim, {}, now_s)], []
        claim.stage = Stage.READING_LIFE
        key = LIVENESS_PREFIX + found.owner
        return [StoreRead(f"owner-life:{endpoint}", (key,))], []

    def _read_life(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[Change]]:
        if claim.stage is not Stage.READING_LIFE or claim.found is None:
            return [], []
        key = LIVENESS_PREFIX + claim.found.owner
        value, revision = reply.values.get(key, (b"", 0))
        if not reply.known or self._lives(claim.found, value):
            claim.stage = Stage.IDLE
            return [], []
        return [self._write_claim(endpoint, claim, {key: revision}, now_s)], []

    @staticmethod
    def _lives(found: OwnerRecord, life: bytes) -> bool:
        if not life:
            return False
        return found.incarnation in (ANY_INCARNATION, unpack_incarnation(life))

    def _write_claim(
        self, endpoint: str, claim: OwnerClaim, lives: dict[str, int], now_s: float
    ) -> Action:
        assert claim.found is not None
        claim.stage, claim.since_s = Stage.CLAIMING, now_s
        claim.number = claim.found.number + 1
        claim.asked_epoch = self._lease.epoch
        key = OWNER_KEY + endpoint
        compares = {key: claim.revision, self._lease.key: claim.life_revision}
        record = OwnerRecord(self._host, self._incarnation, claim.number)
        puts = {key: record.pack()}
        token = f"owner-claim:{endpoint}"
        claim.written = StoreWrite(token, {**compares, **lives}, puts)
        return claim.written

    def _claimed(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[Change]]:
        if claim.stage is not Stage.CLAIMING:
            return [], []
        if not reply.known or not reply.applied:
            claim.stage, claim.since_s = Stage.READING_BACK, now_s
            return [self._ask_back(endpoint)], []
        return self._won(endpoint, claim)

    def _won(
        self, endpoint: str, claim: OwnerClaim
    ) -> tuple[list[Action], list[Change]]:
        claim.stage, claim.epoch = Stage.OWNING, claim.asked_epoch
        fields = {"endpoint": endpoint, "number": claim.number}
        change = Claimed(endpoint, claim.number, claim.clean)
        return [Record("owner.claimed", fields)], [change]

    def _read_back(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[Change]]:
        if claim.stage is not Stage.READING_BACK or not reply.known:
            return [], []
        found, revision = self._record_in(reply, endpoint)
        if found == OwnerRecord(self._host, self._incarnation, claim.number):
            return self._won(endpoint, claim)
        if revision == claim.revision and claim.written is not None:
            # The lost write may land yet: the same write again either lands in its
            # place or fails because it did, so one of the two replies settles it.
            claim.stage, claim.since_s = Stage.CLAIMING, now_s
            return [claim.written], []
        claim.stage = Stage.IDLE
        return [], []

    @staticmethod
    def _ask_back(endpoint: str) -> Action:
        return StoreRead(f"owner-back:{endpoint}", (OWNER_KEY + endpoint,))

    def _verified(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[Change]]:
        if claim.stage not in HELD_STAGES or not reply.known:
            return [], []
        found, _ = self._record_in(reply, endpoint)
        if (found.owner, found.number) == (self._host, claim.number):
            claim.epoch = claim.asked_epoch
            return [], []
        if claim.stage is not Stage.OWNING:
            return [], []
        return [], self.record_superseded(endpoint, max(found.number, claim.number + 1))

    def _hand_read(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[Change]]:
        if claim.stage is not Stage.HANDING:
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

    def _handed(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[Change]]:
        if claim.stage is not Stage.HANDING:
            return [], []
        if reply.known and reply.applied:
            return self._gave(endpoint, claim)
        claim.stage, claim.since_s = Stage.HANDING_BACK, now_s
        return [self._ask_handed(endpoint)], []

    @staticmethod
    def _ask_handed(endpoint: str) -> Action:
        return StoreRead(f"owner-hand-back:{endpoint}", (OWNER_KEY + endpoint,))

    def _handed_back(
        self, endpoint: str, claim: OwnerClaim, reply: StoreResponse, now_s: float
    ) -> tuple[list[Action], list[Change]]:
        if claim.stage is not Stage.HANDING_BACK or not reply.known:
            return [], []
        found, revision = self._record_in(reply, endpoint)
        if (found.owner, found.number) == (claim.successor, claim.number + 1):
            return self._gave(endpoint, claim)
        if (found.owner, found.number) == (self._host, claim.number):
            # The lost write may land yet, so this daemon may not keep the endpoint.
            claim.stage = Stage.HANDING
            return [self._write_successor(endpoint, claim, revision)], []
        return [], self.record_superseded(endpoint, max(found.number, claim.number + 1))

    def _gave(
        self, endpoint: str, claim: OwnerClaim
    ) -> tuple[list[Action], list[Change]]:
        number = claim.number + 1
        successor = claim.successor
        self._claims[endpoint] = OwnerClaim(number=number)
        fields = {"endpoint": endpoint, "successor": successor, "number": number}
        change = HandedOver(endpoint, successor, number)
        return [Record("owner.handed_over", fields)], [change]
