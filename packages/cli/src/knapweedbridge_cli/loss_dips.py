"""Finds the moments of a log in which fewer callers were answered in time."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

MOMENT_S = 0.5
"""Length of a moment; some ten calls of a small deployment begin in one."""

BEFORE_MOMENTS = 8
"""Moments whose share in time a dip is measured by: four seconds."""

BACK_SHARE = 0.9
"""Part of the share before from which on a dip is over."""

LEAST_CALLS = 5
"""Calls that a moment must have to say anything; with fewer it goes on."""


@dataclass(slots=True, frozen=True)
class EndedCall:
    """When a call came, in seconds of the log, and what became of it."""

    began_s: float
    reason: str


@dataclass(slots=True)
class Dip:
    """A time in which the share of calls in time stayed under that before.

    Parameters
    ----------
    from_s, until_s : float
        Its first moment, and the first one in which the share was back.
    share_before : float
        Share of calls in time before it, 0 to 1.
    reasons : Counter
        What became of the calls that came meanwhile.
    """

    from_s: float
    until_s: float
    share_before: float
    reasons: Counter[str]


@dataclass(slots=True)
class _Moment:
    from_s: float
    reasons: Counter[str]

    def share(self, in_time: str) -> float:
        return self.reasons[in_time] / self.reasons.total()


def find_dips(calls: Iterable[EndedCall], in_time: str) -> list[Dip]:
    """Return the dips of a log, the first one first.

    Parameters
    ----------
    in_time : str
        The reason that counts as answered in time.
    """
    before: list[float] = []
    dips: list[Dip] = []
    open_dip: Dip | None = None
    for moment in _moments(calls):
        share = moment.share(in_time)
        if open_dip is None and len(before) >= BEFORE_MOMENTS:
            usual = sorted(before[-BEFORE_MOMENTS:])[BEFORE_MOMENTS // 2]
            if share < BACK_SHARE * usual:
                open_dip = Dip(moment.from_s, moment.from_s, usual, Counter())
                dips.append(open_dip)
        if open_dip is None:
            before.append(share)
            continue
        open_dip.until_s = moment.from_s
        if share >= BACK_SHARE * open_dip.share_before:
            open_dip = None
            before.append(share)
        else:
            open_dip.reasons += moment.reasons
            open_dip.until_s += MOMENT_S
    return dips


def _moments(calls: Iterable[EndedCall]) -> list[_Moment]:
    """Return the moments in which enough calls came, in order."""
    found: list[_Moment] = []
    for call in sorted(calls, key=lambda call: call.began_s):
        last = found[-1] if found else None
        over = last is None or call.began_s >= last.from_s + MOMENT_S
        if last is None or (over and last.reasons.total() >= LEAST_CALLS):
            found.append(_Moment(call.began_s // MOMENT_S * MOMENT_S, Counter()))
        found[-1].reasons[call.reason] += 1
    return found
