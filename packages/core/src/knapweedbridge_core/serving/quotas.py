"""What a client account may use over all daemons, split among some of them.

An account's quota is divided into equal parts. Each part is kept by one daemon, which
gives units of it to the daemons that ask, as calls come. Nothing of the bound rests on
what a daemon hears of others: a part that is out of reach gives nothing, and a keeper
that starts anew begins with an empty part, so no burst is given out twice.
"""

from dataclasses import dataclass

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving.accounts import Quota, QuotaUnit

MOST_PARTS = 6
"""Parts of one quota. While a keeper is gone the others give five sixths."""

PART_UNITS_PER_S = {QuotaUnit.CALLS: 20.0, QuotaUnit.TOKENS: 20_000.0}
"""Rate of the smallest part of a divided quota: in smaller ones a large call leaves
nothing to the calls behind it for seconds."""

LARGEST_CALL_UNITS = {QuotaUnit.CALLS: 1, QuotaUnit.TOKENS: 5000}
"""How far one call may overdraw a part: large calls would else never find enough in a
part that small ones use."""

FLOW_SHARE = 0.3
BURST_SHARE = 0.6
"""Shares of what is accepted beyond a quota's rate that come into its parts as a steady
flow, and that parts give at once. The rest is for the moments in which two daemons take
themselves for the keeper of a part."""

OVERDRAFT_SHARE = 0.6
"""Most of what a part gives at once that it gives beyond what is there."""

TAKE_OVER_S = 1.0
"""How long a new keeper gives nothing: the one before may not have heard of it yet."""

AHEAD_S = 0.4
"""Use that a daemon holds ahead, in seconds of its own use of late: where an account
calls often its calls wait for no answer, and no keeper is missed for a moment."""

LEAST_WAIT_S = 0.1
"""Shortest time for which a daemon asks a keeper no more that had too little: what an
account sends beyond its quota would else be a question a call."""


@dataclass(slots=True, frozen=True)
class QuotaTolerance:
    """What the operators accept beyond a quota, and over which window they count.

    Parameters
    ----------
    window_s : float
        Length of a window, in seconds.
    over : float
        Share beyond the quota that is accepted in a window.
    slack_units : float
        Units that are accepted besides.
    """

    window_s: float = 8.0
    over: float = 0.1
    slack_units: float = 0.0

    def margin(self, quota: Quota) -> float:
        """Return the units of a window beyond its rate that parts may give."""
        accepted = self.over * (quota.rate_per_s * self.window_s + quota.burst)
        held = AHEAD_S * quota.rate_per_s
        return max(0.0, accepted + self.slack_units + quota.burst - held)


@dataclass(slots=True, frozen=True)
class QuotaPart:
    """One of the equal parts of a quota.

    Parameters
    ----------
    parts : int
        How many there are.
    rate_per_s : float
        Units that come into it a second.
    most : float
        Units that it saves up.
    overdraft : float
        Units that one call may take beyond what is there.
    """

    parts: int
    rate_per_s: float
    most: float
    overdraft: float


def split(quota: Quota, tolerance: QuotaTolerance, candidates: int) -> QuotaPart:
    """Divide a quota into parts that use no more than is accepted, all together.

    Parameters
    ----------
    candidates : int
        Daemons that may keep parts.
    """
    most = min(MOST_PARTS, max(1, candidates))
    parts = max(1, min(most, int(quota.rate_per_s / PART_UNITS_PER_S[quota.unit])))
    margin = tolerance.margin(quota)
    flow_per_s = quota.rate_per_s + FLOW_SHARE * margin / tolerance.window_s
    at_once = BURST_SHARE * margin / parts
    overdraft = min(OVERDRAFT_SHARE * at_once, LARGEST_CALL_UNITS[quota.unit])
    return QuotaPart(parts, flow_per_s / parts, at_once - overdraft, overdraft)


def keepers(account: str, parts: int, candidates: dict[str, list[str]]) -> list[str]:
    """Name the daemons that keep the parts of an account's quota.

    They stand in as many data centres as may be, so that the loss of one leaves some.

    Parameters
    ----------
    candidates : dict of str to list of str
        By data centre, daemons that may keep parts.
    """
    ranked: list[tuple[int, int, str]] = []
    for data_centre, names in candidates.items():
        by_score = sorted(names, key=lambda name: score(account, name), reverse=True)
        place = score(account, data_centre)
        ranked += [(rank, place, name) for rank, name in enumerate(by_score)]
    return [name for _, _, name in sorted(ranked)[:parts]]


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """What a keeper gives.

    Parameters
    ----------
    units : int
        What the asker may use.
    wait_s : float
        After how long more may be there; 0.0: all that was asked for was given.
    is_known : bool
        Whether the keeper can tell what is left. One that has not heard of the account
        yet, or whose lease may have lapsed, cannot: the account may be far below its
        quota.
    """

    units: int
    wait_s: float = 0.0
    is_known: bool = True


class QuotaBucket:
    """One part of an account's quota, at the daemon that keeps it.

    Parameters
    ----------
    empty_s : float
        When there was nothing in it. What the keeper before gave is not known, so a new
        one begins with nothing, and later than it is one.
    """

    __slots__ = ("_filled_s", "_level")

    def __init__(self, empty_s: float) -> None:
        self._level = 0.0
        self._filled_s = empty_s

    def give(
        self, part: QuotaPart, needed: int, others: int, ahead: int, now_s: float
    ) -> QuotaGrant:
        """Give units to a daemon that asks.

        Parameters
        ----------
        part : QuotaPart
            The terms in force now.
        needed : int
            Units of the first call that waits there: given whole or not at all.
        others : int
            Units of the calls behind it.
        ahead : int
            Units for calls that are still to come; given while much is there.
        """
        if now_s < self._filled_s:
            # Still within the time of the keeper before.
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
        """Take what is wanted, as far as so much is left."""
        taken = min(wanted, max(0, int(self._level - left)))
        self._level -= taken
        return taken

    def _fill(self, part: QuotaPart, now_s: float) -> None:
        passed_s = now_s - self._filled_s
        self._filled_s = now_s
        # Also cut where a new configuration lowers the limit.
        filled = self._level + part.rate_per_s * passed_s
        self._level = min(max(part.most, 1.0), filled)

    def _covers(self, part: QuotaPart, needed: int) -> bool:
        return self._level > 0 and needed <= self._level + part.overdraft

    def _wait_s(self, part: QuotaPart, needed: int) -> float:
        missing = max(needed - part.overdraft, 0.0) - self._level
        return max(LEAST_WAIT_S, missing / part.rate_per_s)
