"""Quotas of client accounts, enforced over all daemons.

An account's quota is divided into equal parts. Each part is a token bucket held by one
daemon, its coordinator, which grants units to the daemons that request them. The bound
does not depend on what daemons know of each other: an unreachable part grants nothing,
and a coordinator that restarts begins with an empty bucket, so no burst is granted
twice.
"""

from dataclasses import dataclass

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving.accounts import Quota, QuotaUnit

MAX_PARTS = 6
"""Most parts of one quota. If one of six coordinators is down, five sixths remain."""

MIN_PART_UNITS_PER_S = {QuotaUnit.CALLS: 20.0, QuotaUnit.TOKENS: 20_000.0}
"""Lowest rate of a part of a divided quota. In a smaller part, a large request would
leave nothing to the requests behind it for seconds."""

MAX_OVERDRAFT_UNITS = {QuotaUnit.CALLS: 1, QuotaUnit.TOKENS: 5000}
"""How far one request may overdraw a part. Otherwise large requests would never find
enough units in a part that small ones use."""

REFILL_SHARE = 0.3
BURST_SHARE = 0.6
"""Shares of the tolerance beyond a quota's rate that refill its parts steadily, and
that parts grant as a burst. The rest covers the time in which two daemons both consider
themselves the coordinator of a part."""

MAX_OVERDRAFT_SHARE = 0.6
"""Largest overdraft of a part, as a share of its burst."""

TAKE_OVER_S = 1.0
"""How long a new coordinator grants nothing; its predecessor may not know of it yet."""

AHEAD_S = 0.4
"""Units that a daemon prefetches, in seconds of its own recent use. Frequent requests
of an account then wait for no reply, and a short loss of a coordinator goes
unnoticed."""

LEAST_WAIT_S = 0.1
"""Shortest pause before a coordinator with too few units is asked again. Otherwise
every request beyond the quota would cause a message."""


@dataclass(slots=True, frozen=True)
class QuotaTolerance:
    """How much use beyond a quota is tolerated, and in which window it is counted.

    Parameters
    ----------
    window_s : float
        Length of a window, in seconds.
    over : float
        Share beyond the quota that is tolerated in a window.
    slack_units : float
        Units that are tolerated in addition.
    """

    window_s: float = 8.0
    over: float = 0.1
    slack_units: float = 0.0

    def margin(self, quota: Quota) -> float:
        """Return the units that all parts may grant in a window beyond the rate."""
        accepted = self.over * (quota.rate_per_s * self.window_s + quota.burst)
        held = AHEAD_S * quota.rate_per_s
        return max(0.0, accepted + self.slack_units + quota.burst - held)


@dataclass(slots=True, frozen=True)
class QuotaPart:
    """One of the equal parts of a quota.

    Parameters
    ----------
    parts : int
        Number of parts of the quota.
    rate_per_s : float
        Units added to the part a second.
    most : float
        Capacity of its bucket, in units.
    overdraft : float
        Units by which one request may overdraw the bucket.
    """

    parts: int
    rate_per_s: float
    most: float
    overdraft: float

    @property
    def total_capacity(self) -> float:
        """Most units that all parts together can grant at once."""
        return self.parts * (max(self.most, 1.0) + self.overdraft)


def split(quota: Quota, tolerance: QuotaTolerance, candidates: int) -> QuotaPart:
    """Divide a quota into parts that together stay within the tolerance.

    Parameters
    ----------
    candidates : int
        Daemons that may keep parts.
    """
    most = min(MAX_PARTS, max(1, candidates))
    parts = max(1, min(most, int(quota.rate_per_s / MIN_PART_UNITS_PER_S[quota.unit])))
    margin = tolerance.margin(quota)
    flow_per_s = quota.rate_per_s + REFILL_SHARE * margin / tolerance.window_s
    burst = BURST_SHARE * margin / parts
    overdraft = min(MAX_OVERDRAFT_SHARE * burst, MAX_OVERDRAFT_UNITS[quota.unit])
    return QuotaPart(parts, flow_per_s / parts, burst - overdraft, overdraft)


def coordinators(
    account: str, parts: int, candidates: dict[str, list[str]]
) -> list[str]:
    """Return the daemons that keep the parts of an account's quota.

    They are spread over the data centres, so that some survive the loss of one.

    Parameters
    ----------
    candidates : dict of str to list of str
        Daemons that may keep parts, by data centre.
    """
    ranked: list[tuple[int, int, str]] = []
    for data_centre, names in candidates.items():
        by_score = sorted(names, key=lambda name: score(account, name), reverse=True)
        place = score(account, data_centre)
        ranked += [(rank, place, name) for rank, name in enumerate(by_score)]
    return [name for _, _, name in sorted(ranked)[:parts]]


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """Units that a coordinator grants.

    Parameters
    ----------
    units : int
        Units that the requesting daemon may use.
    wait_s : float
        Seconds until more may be available; 0.0: all requested units were granted.
    is_known : bool
        Whether the coordinator knows what is left. One that does not know the account
        yet, or whose lease may have expired, does not: the account may be far below
        its quota.
    """

    units: int
    wait_s: float = 0.0
    is_known: bool = True


class QuotaBucket:
    """Token bucket for one part of an account's quota, at its coordinator.

    Parameters
    ----------
    empty_s : float
        When the bucket is empty. A new coordinator does not know what its predecessor
        has granted, so it starts empty and some time after it became the coordinator.
    """

    __slots__ = ("_filled_s", "_level")

    def __init__(self, empty_s: float) -> None:
        self._level = 0.0
        self._filled_s = empty_s

    def give(
        self, part: QuotaPart, needed: int, others: int, ahead: int, now_s: float
    ) -> QuotaGrant:
        """Grant units to a daemon that requests them.

        Parameters
        ----------
        part : QuotaPart
            Rate, capacity and overdraft in force now.
        needed : int
            Units of the first waiting request: granted in full or not at all.
        others : int
            Units of the requests behind it.
        ahead : int
            Units to prefetch; granted only from the upper half of the bucket.
        """
        if now_s < self._filled_s:
            # The previous coordinator may still be granting units.
            return QuotaGrant(0, self._filled_s - now_s, is_known=False)
        self._fill(part, now_s)
        if needed and not self._covers(part, needed):
            return QuotaGrant(0, self._wait_s(part, needed))
        self._level -= needed
        more = self._take(others, 0.0)
        surplus = self._take(ahead, part.most / 2)
        wait_s = self._wait_s(part, 0) if more < others else 0.0
        return QuotaGrant(needed + more + surplus, wait_s)

    def _take(self, wanted: int, left: float) -> int:
        """Take up to the wanted units, leaving at least `left` in the bucket."""
        taken = min(wanted, max(0, int(self._level - left)))
        self._level -= taken
        return taken

    def _fill(self, part: QuotaPart, now_s: float) -> None:
        passed_s = now_s - self._filled_s
        self._filled_s = now_s
        # This also truncates the level if a new configuration lowers the capacity.
        filled = self._level + part.rate_per_s * passed_s
        self._level = min(max(part.most, 1.0), filled)

    def _covers(self, part: QuotaPart, needed: int) -> bool:
        return self._level > 0 and needed <= self._level + part.overdraft

    def _wait_s(self, part: QuotaPart, needed: int) -> float:
        missing = max(needed - part.overdraft, 0.0) - self._level
        return max(LEAST_WAIT_S, missing / part.rate_per_s)
