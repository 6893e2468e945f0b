"""Which endpoints this daemon owns, each with a fencing number that only rises."""

from dataclasses import dataclass
from enum import Enum

import msgpack

from knapweedbridge_core import rendezvous
from knapweedbridge_core.actions import Action, Record, StoreRead, StoreWrite
from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.events import StoreReplied
from knapweedbridge_core.members import Members

OWNER_KEY = "knapweedbridge/owner/"
RETRY_S = 1.0


class _Stage(Enum):
    IDLE = "idle"
    READING = "reading"
    CLAIMING = "claiming"
    OWNING = "owning"


@dataclass(slots=True)
class _Claim:
    stage: _Stage = _Stage.IDLE
    number: int = 0
    since_s: float = -RETRY_S


class Owners:
    """Claims the endpoints that rendezvous hashing gives to this daemon."""

    def __init__(self, host: str, members: Members) -> None:
        self._host = host
        self._members = members
        self._claims: dict[str, _Claim] = {}

    def number(self, endpoint: str) -> int | None:
        """Return the fencing number held for an endpoint, or None."""
        claim = self._claims.get(endpoint)
        if claim is None or claim.stage is not _Stage.OWNING:
            return None
        return claim.number

    def should_own(self, entry: EndpointEntry) -> bool:
        """Tell whether this daemon is the computed owner."""
        candidates = self._members.available(entry.data_centre)
        candidates = candidates or self._members.available()
        return rendezvous.choose(entry.name, candidates) == self._host

    def tick(self, endpoints: list[EndpointEntry], now_s: float) -> list[Action]:
        """Start the claims that are due, and let go of what others should own."""
        actions: list[Action] = []
        for entry in endpoints:
            claim = self._claims.setdefault(entry.name, _Claim())
            if not self.should_own(entry):
                self._claims[entry.name] = _Claim()
            elif self._is_due(claim, now_s):
                self._claims[entry.name] = _Claim(_Stage.READING, 0, now_s)
                key = OWNER_KEY + entry.name
                actions.append(StoreRead(f"owner-read:{entry.name}", (key,)))
        return actions

    @staticmethod
    def _is_due(claim: _Claim, now_s: float) -> bool:
        waited = now_s - claim.since_s >= RETRY_S
        return claim.stage is not _Stage.OWNING and waited

    def replied(self, reply: StoreReplied) -> tuple[list[Action], str | None]:
        """Take a reply; return actions and an endpoint that is newly owned."""
        step, _, endpoint = reply.token.partition(":")
        claim = self._claims.get(endpoint, _Claim())
        if step == "owner-read" and claim.stage is _Stage.READING:
            return self._read(endpoint, claim, reply), None
        if step == "owner-claim" and claim.stage is _Stage.CLAIMING:
            if reply.known and reply.applied:
                claim.stage = _Stage.OWNING
                fields = {"endpoint": endpoint, "number": claim.number}
                return [Record("owner.claimed", fields)], endpoint
            claim.stage = _Stage.IDLE
        return [], None

    def _read(self, endpoint: str, claim: _Claim, reply: StoreReplied) -> list[Action]:
        if not reply.known:
            claim.stage = _Stage.IDLE
            return []
        key = OWNER_KEY + endpoint
        value, revision = reply.values.get(key, (b"", 0))
        previous = msgpack.unpackb(value)["number"] if value else 0
        claim.stage = _Stage.CLAIMING
        claim.number = previous + 1
        record = msgpack.packb({"owner": self._host, "number": claim.number})
        return [StoreWrite(f"owner-claim:{endpoint}", {key: revision}, {key: record})]
