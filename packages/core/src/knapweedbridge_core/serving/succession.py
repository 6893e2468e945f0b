"""Who may act after another: as the owner of an engine, or in another duty.

A duty has one holder at a time. It passes on when each former holder has released it,
or can no longer act by the clock of its lease. A host that has held it before the
present or last holder must not return to it soon: an endpoint that doesn't compare
fencing numbers cannot tell two holders that alternate from two that act at the same
time. The host that acted last may go on at any time.
"""

import math
from collections.abc import Mapping

ORDER_TRANSIT_S = 0.12
"""Longest time from the sending of an order to its arrival."""


class Takeover:
    """The former holders of duties that may still act.

    All times are in seconds of the event loop's clock.

    Parameters
    ----------
    until_s : mapping of str to float
        By daemon, when it can no longer act even if it releases nothing.
    now_s : float
        Present time.
    """

    __slots__ = ("_released_s", "_until_s")

    def __init__(
        self, until_s: Mapping[str, float] | None = None, now_s: float = -math.inf
    ) -> None:
        self._until_s = dict(until_s or {})
        self._released_s = now_s

    @property
    def free_s(self) -> float:
        """Time from which on no former holder acts."""
        return max(self._until_s.values(), default=self._released_s)

    def silent(self, now_s: float) -> list[str]:
        """Return the daemons that have released nothing and may still act."""
        return sorted(
            name for name, until_s in self._until_s.items() if now_s < until_s
        )

    def record_release(self, name: str, now_s: float) -> None:
        """Record that a daemon has stopped acting."""
        if self._until_s.pop(name, None) is not None:
            self._released_s = now_s


class Succession:
    """When this host may take up a duty.

    All times are in seconds of the event loop's clock.

    Parameters
    ----------
    started_s : float
        Start of this process. The previous process of the host may have acted until
        then, in any duty.
    turn_s : float
        Time after its last action within which a host must not return to a duty that
        another one has held meanwhile.
    lease_s : float
        Time to live of a daemon's lease. A holder acts at most so long after its last
        contact with the store.
    """

    __slots__ = (
        "_acted_s",
        "_rollback_s",
        "_started_s",
        "_takeover",
        "_term",
        "_unknown_until_s",
        "_unrecorded_until_s",
        "lease_s",
        "turn_s",
    )

    def __init__(
        self,
        started_s: float = -math.inf,
        turn_s: float = 0.0,
        lease_s: float = 0.0,
    ) -> None:
        self.turn_s = turn_s
        self.lease_s = lease_s
        self._started_s = started_s
        self._acted_s: dict[str, float] = {}
        self._rollback_s = -math.inf
        self._unrecorded_until_s = -math.inf
        self._unknown_until_s = -math.inf
        self._term = 0
        self._takeover = Takeover()

    def record_action(self, duty: str, now_s: float) -> None:
        """Record that this process acts as the holder of a duty now."""
        self._acted_s[duty] = now_s
        oldest_s = now_s - self.turn_s - ORDER_TRANSIT_S
        self._acted_s = {
            each: acted_s
            for each, acted_s in self._acted_s.items()
            if acted_s > oldest_s
        }

    def may_return_s(self, duty: str, had_another_holder: bool) -> float:
        """Return from when on this host may take up a duty that it has not held last.

        Parameters
        ----------
        had_another_holder : bool
            Whether another host may have held the duty after the previous process of
            this one.
        """
        acted_s = self._acted_s.get(duty, -math.inf)
        if had_another_holder:
            acted_s = max(acted_s, self._started_s)
        return max(self._unknown_until_s, acted_s + self.turn_s + ORDER_TRANSIT_S)

    def record_rollback(self, now_s: float, knows_holders: bool) -> None:
        """Record that the store has come back from an older copy.

        Parameters
        ----------
        knows_holders : bool
            Whether this process has followed the store until then. Otherwise it cannot
            know the holders whose records were lost.
        """
        self._rollback_s = now_s
        self._unrecorded_until_s = now_s + self.lease_s
        if not knows_holders:
            self._unknown_until_s = self._unrecorded_until_s

    def record_era_age(self, age_s: float, now_s: float) -> None:
        """Record for how long at least the store has not come back from a copy."""
        until_s = now_s + self.lease_s - age_s
        self._unrecorded_until_s = min(self._unrecorded_until_s, until_s)
        self._unknown_until_s = min(self._unknown_until_s, until_s)

    @property
    def unknown_until_s(self) -> float:
        """Time until which holders may act of which this process cannot know."""
        return self._unknown_until_s

    def knows_holders_since_s(self, now_s: float) -> float:
        """Return by when a process must have started to know all holders."""
        return self._rollback_s if now_s < self._unrecorded_until_s else math.inf

    @property
    def takeover(self) -> Takeover:
        """The former holders of the duties that this daemon has by its listing."""
        return self._takeover

    def begin_term(self, term: int, takeover: Takeover) -> None:
        """Take over the duties that this daemon has by its listing.

        Parameters
        ----------
        term : int
            Number of the unbroken time of the lease; see `LeaseClock`.
        takeover : Takeover
            The daemons that may not know of the listing yet.
        """
        self._term = term
        self._takeover = takeover

    def free_s(self, since_s: float) -> float:
        """Return from when on nobody else acts in a duty of this daemon.

        Parameters
        ----------
        since_s : float
            When the duty passed to this daemon.
        """
        is_unrecorded = since_s >= self._rollback_s
        lost_until_s = self._unrecorded_until_s if is_unrecorded else -math.inf
        return max(self._takeover.free_s, lost_until_s)

    def is_lease_over(self, now_s: float) -> bool:
        """Return whether a daemon that is no longer listed has lost its lease.

        The store has also lost records of daemons whose leases last, by a rollback.
        """
        return now_s >= self._unrecorded_until_s

    def has_taken_over(self, term: int, now_s: float) -> bool:
        """Return whether no former holder acts in this daemon's duties any more."""
        return term == self._term and now_s >= self._takeover.free_s
