"""The lease by which a daemon proves that it is alive."""

from math import inf

import msgpack

from knapweedbridge_core.actions import Action, StoreWrite
from knapweedbridge_core.events import StoreResponse
from knapweedbridge_core.times import (
    CALL_TIMEOUT_S,
    CLOCK_MARGIN_S,
    LEASE_S,
    RENEW_INTERVAL_S,
    RETRY_INTERVAL_S,
)

LIVENESS_PREFIX = "knapweedbridge/life/"


def unpack_incarnation(value: bytes) -> int:
    """Return the incarnation in the value of a daemon's liveness key."""
    return int(msgpack.unpackb(value)["incarnation"])


class DaemonLease:
    """Renew a lease whose validity counts from the sending of the last renewal.

    Parameters
    ----------
    host : str
        Name of the daemon.
    incarnation : int
        Number that rises with each start of the host.

    Attributes
    ----------
    epoch : int
        Incremented whenever the lease becomes valid again.
    """

    def __init__(self, host: str, incarnation: int) -> None:
        self.key = LIVENESS_PREFIX + host
        self.epoch = 0
        self._value = msgpack.packb({"incarnation": incarnation})
        self._valid_until_s = -inf
        self._sent_s = -inf
        self._due_s = -inf
        self._calls = 0
        self._in_flight = False

    @property
    def valid_until_s(self) -> float:
        """When it expires, on the daemon's monotonic clock, less a safety margin."""
        return self._valid_until_s

    def is_valid(self, now_s: float) -> bool:
        """Return whether no daemon can have taken over from this one yet."""
        return now_s < self._valid_until_s

    def tick(self, now_s: float) -> list[Action]:
        """Renew the lease if that is due."""
        if self._in_flight and now_s - self._sent_s < CALL_TIMEOUT_S:
            return []
        return [self._write(now_s)] if now_s >= self._due_s else []

    def handle_reply(self, reply: StoreResponse, now_s: float) -> list[Action]:
        """Handle the reply to a renewal."""
        if reply.token != f"lease:{self._calls}":
            return []
        self._in_flight = False
        if not reply.known:
            self._due_s = now_s + RETRY_INTERVAL_S
            return []
        if not reply.applied:
            self._valid_until_s = -inf
            return [self._write(now_s)]
        if not self.is_valid(now_s):
            self.epoch += 1
        self._valid_until_s = self._sent_s + LEASE_S - CLOCK_MARGIN_S
        self._due_s = self._sent_s + RENEW_INTERVAL_S
        return []

    def _write(self, now_s: float) -> Action:
        self._calls += 1
        self._sent_s = now_s
        self._in_flight = True
        token = f"lease:{self._calls}"
        return StoreWrite(token, {}, {self.key: self._value}, LEASE_S)
