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

LARGEST_CALL_UNITS = {QuotaUnit.CALLS: 1.0, QuotaUnit.TOKENS: 5000.0}
"""How far one call may overdraw a part: large calls would else never find enough in a
part that small ones use."""

BURST_SHARE = 0.5
"""Share of the burst that parts save up; the rest covers what daemons hold ahead."""

AHEAD_S = 0.4
"""Use that a daemon holds ahead, in seconds of its own use of late: a keeper that is
gone for a moment is not noticed, and most calls wait for no answer."""


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
        """Return the units of a window that neither parts nor holdings use."""
        quota_units = quota.rate_per_s * self.window_s + quota.burst
        accepted = self.over * quota_units + self.slack_units
        saved = (1.0 - BURST_SHARE) * quota.burst
        return max(0.0, accepted + saved - AHEAD_S * quota.rate_per_s)


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
    """Divide a quota into so many parts that all their overdrafts are accepted.

    Parameters
    ----------
    candidates : int
        Daemons that may keep parts.
    """
    margin = tolerance.margin(quota)
    largest = LARGEST_CALL_UNITS[quota.unit]
    parts = max(1, min(MOST_PARTS, candidates, int(margin / largest)))
    return QuotaPart(
        parts,
        quota.rate_per_s / parts,
        BURST_SHARE * quota.burst / parts,
        min(largest, margin / parts),
    )


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
class Given:
    """What a keeper gives: units, and after how long more may be there."""

    units: float
    wait_s: float = 0.0


class PartBucket:
    """One part of an account's quota, at the daemon that keeps it.

    Parameters
    ----------
    empty_s : float
        When there was nothing in it: the daemon's start, as what the one before gave
        is not known.
    """

    __slots__ = ("_filled_s", "_level")

    def __init__(self, empty_s: float) -> None:
        self._level = 0.0
        self._filled_s = empty_s

    def give(
        self, part: QuotaPart, needed: float, others: float, ahead: float, now_s: float
    ) -> Given:
        """Give units to a daemon that asks.

        Parameters
        ----------
        part : QuotaPart
            The terms in force now.
        needed : float
            Units of the first call that waits there: given whole or not at all.
        others : float
            Units of the calls behind it.
        ahead : float
            Units for calls that are still to come; given while much is there.
        """
        self._fill(part, now_s)
        if needed > 0 and not self._covers(part, needed):
            return Given(0.0, self._wait_s(part, needed))
        given = needed
        self._level -= needed
        more = min(others, max(0.0, self._level))
        self._level -= more
        surplus = min(ahead, max(0.0, self._level - part.most / 2))
        self._level -= surplus
        short = others > more
        return Given(given + more + surplus, self._wait_s(part, 0.0) if short else 0.0)

    def _fill(self, part: QuotaPart, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        # Also cut where a new configuration lowers the limit.
        self._level = min(part.most, self._level + part.rate_per_s * passed_s)

    def _covers(self, part: QuotaPart, needed: float) -> bool:
        if needed <= self._level:
            return True
        return self._level > 0 and needed <= self._level + part.overdraft

    def _wait_s(self, part: QuotaPart, needed: float) -> float:
        missing = max(needed - part.overdraft, 0.0) - self._level
        return max(LEAST_WAIT_S, missing / part.rate_per_s)
