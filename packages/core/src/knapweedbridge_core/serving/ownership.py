"""Which daemon may give orders to which engine.

Only the owner of an engine orders it. Ownership is a record in the platform's store
that hangs on the owner's lease; the record's revision is the fencing number, which
therefore rises with every owner. An owner stops ordering before its lease can have
lapsed by its own clock, so a successor that claims a lapsed record never meets it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from knapweedbridge_core.rendezvous import score

ORDER_MARGIN_S = 0.6
"""Time before the end of a lease at which its owner stops ordering: an order is on
its way for at most the order's timeout, which is less than this."""

NEXT_CLAIMANT_S = 0.5
"""Pause after which the next daemon in order claims a record that the one before it
has not: that one may be down, or cut off from the store."""


@dataclass(slots=True, frozen=True)
class DaemonRecord:
    """A daemon as it lists itself.

    Parameters
    ----------
    name : str
        Name of its host.
    incarnation : int
        Number that rises with each start.
    address : str
        Where it listens for peers.
    data_centre : str
        Where it stands.
    draining : bool
        Whether it is about to end.
    """

    name: str
    incarnation: int
    address: str
    data_centre: str
    draining: bool = False


@dataclass(slots=True, frozen=True)
class OwnerRecord:
    """Who owns an engine.

    Parameters
    ----------
    owner : str
        Name of the daemon; empty where the owner before handed it over.
    incarnation : int
        The owner's start.
    number : int
        Fencing number: the revision of the record.
    """

    owner: str
    incarnation: int
    number: int


@dataclass(slots=True, frozen=True)
class LostOwner:
    """An owner whose record went without a word of its own.

    Parameters
    ----------
    record : OwnerRecord
        The record that went.
    lost_s : float
        When that was heard; its lease was renewed before.
    """

    record: OwnerRecord
    lost_s: float


@dataclass(slots=True)
class LeaseClock:
    """How long this daemon may act on its lease.

    Parameters
    ----------
    ends_s : float
        Earliest time at which the store may end the lease, by a clock that also
        counts while the host is suspended. 0: there is no lease.
    """

    ends_s: float = 0.0

    def record_renewal(self, sent_s: float, ttl_s: float) -> None:
        """Take that a renewal sent at a time was accepted."""
        # The store counts from the call's arrival, which is after its sending.
        self.ends_s = max(self.ends_s, sent_s + ttl_s)

    def record_loss(self) -> None:
        """Take that the lease is gone."""
        self.ends_s = 0.0

    def may_order(self, now_s: float) -> bool:
        """Tell whether an order sent now arrives under the lease."""
        return now_s < self.ends_s - ORDER_MARGIN_S


def claimants(
    endpoint: str, data_centre: str, daemons: Iterable[DaemonRecord]
) -> list[str]:
    """Order the daemons by who should own an engine, the first first.

    Daemons of the engine's data centre go first: reports and orders then stay in it.
    """
    able = [each for each in daemons if not each.draining]
    able.sort(
        key=lambda each: (
            each.data_centre == data_centre,
            score(endpoint, each.name),
            each.name,
        ),
        reverse=True,
    )
    return [each.name for each in able]


def may_claim(
    own: DaemonRecord,
    endpoint: str,
    data_centre: str,
    daemons: Iterable[DaemonRecord],
    free_for_s: float,
) -> bool:
    """Tell whether a daemon's turn to claim a free engine has come.

    It has if no more daemons come before it in `claimants` than turns have passed.
    Those are counted only until they are too many, and only those of its own rank are
    hashed. To sort 195 daemons for each of 62 free engines takes 31 ms, which every
    daemon spent at each look while engines had no owners; this takes 0.5 to 0.9 ms.

    Parameters
    ----------
    own : DaemonRecord
        The daemon that asks.
    endpoint, data_centre : str
        The engine, and where it stands.
    free_for_s : float
        How long its record has been free.
    """
    if own.draining or free_for_s < 0:
        return False
    turns = int(free_for_s / NEXT_CLAIMANT_S)
    is_near = own.data_centre == data_centre
    own_key = score(endpoint, own.name), own.name
    before = 0
    for each in daemons:
        if each.draining or each.name == own.name:
            continue
        each_is_near = each.data_centre == data_centre
        if each_is_near != is_near:
            before += each_is_near
        elif (score(endpoint, each.name), each.name) > own_key:
            before += 1
        if before > turns:
            return False
    return True


def claim_due_s(own_name: str, order: list[str], free_since_s: float) -> float | None:
    """Return when this daemon may claim a free engine, or None for never.

    Parameters
    ----------
    own_name : str
        This daemon.
    order : list of str
        From `claimants`.
    free_since_s : float
        When the record was seen to be free.
    """
    if own_name not in order:
        return None
    return free_since_s + NEXT_CLAIMANT_S * order.index(own_name)
