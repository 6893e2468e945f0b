"""Callers that retry, leave and are lost with an engine, under an overload."""

import random
from dataclasses import dataclass, field

from knapweedbridge_standins.serving_load.call import LoadCall
from knapweedbridge_standins.serving_load.figures import Figures
from knapweedbridge_standins.serving_load.sites import CallMix, LoadSite

HASTY_PAUSE_S = 0.05
"""Pause of a client that retries immediately."""

HASTY_MOST = 20
"""Attempts of such a client."""


@dataclass(slots=True)
class OverloadCall(LoadCall):
    """One request of a caller, through all its attempts.

    Parameters
    ----------
    deadline_s, leaves_s : float
        When its caller gives up, and when it leaves while nothing has come.
    hasty : bool
        Whether its client retries immediately and repeatedly.
    attempts : int
        Attempts of the caller.
    spent_s : float
        What the daemon takes its caller to have spent.
    rank : int or None
        Rank at the engine where it differs from that of its kind.
    """

    deadline_s: float = 0.0
    leaves_s: float = 0.0
    hasty: bool = False
    attempts: int = 1
    spent_s: float = 0.0
    rank: int | None = None
    ended: bool = False
    begun: bool = False
    at_daemon: str = ""


@dataclass(slots=True)
class OverloadFigures(Figures):
    """Counts of one run under overload.

    Parameters
    ----------
    left, failed : dict of str to int
        Requests whose callers left a silent stream, and those cut by a lost engine.
    vain_s : float
        Time that callers waited in vain: refused for good, or left.
    longest_wait_s : float
        Longest time that a request was held by a daemon before it was sent.
    """

    left: dict[str, int] = field(default_factory=dict)
    failed: dict[str, int] = field(default_factory=dict)
    vain_s: float = 0.0
    longest_wait_s: float = 0.0
    sent_last: int = 0

    @property
    def asked(self) -> int:
        """Requests in all."""
        kinds = (self.in_time, self.late, self.refused, self.left, self.failed)
        return sum(sum(each.values()) for each in kinds)

    def shares(self, ended: dict[str, int]) -> float:
        """Share of all requests that ended so."""
        return sum(ended.values()) / max(1, self.asked)


@dataclass(slots=True, frozen=True)
class OverloadStory:
    """What happens in one run.

    Parameters
    ----------
    load, calm_load : float
        Times the site's usual load, within the peak and before and after it.
    calm_s, peak_s : float
        Time before the peak, and of the peak; as much as before comes after it.
    hasty_share : float
        Share of the clients that retry immediately.
    crash_share : float
        Share of the engines that are lost in the middle of the peak.
    """

    load: float
    calm_load: float = 0.7
    calm_s: float = 2.0
    peak_s: float = 8.0
    hasty_share: float = 0.3
    crash_share: float = 0.0

    @property
    def ends_s(self) -> float:
        """When no more callers come."""
        return self.peak_s + 2 * self.calm_s

    def load_at(self, s: float) -> float:
        """Return the load at a time since the begin."""
        in_peak = self.calm_s <= s < self.calm_s + self.peak_s
        return self.load if in_peak else self.calm_load


def _kind(
    name: str, per_s: float, objective_s: float, rank: int, events: int
) -> CallMix:
    return CallMix(name, per_s, 1200, 3 * events, objective_s, 12.0, rank)


QUOTA_SITE = LoadSite(
    "quotas",
    daemons=19,
    data_centres=3,
    engines=8,
    slots=32,
    places=14,
    adapters=2500,
    mixes=(
        _kind("rank 0", 18, 1.0, 0, 43),
        _kind("rank 1", 36, 1.0, 1, 43),
        _kind("rank 2", 12, 2.0, 2, 17),
    ),
    step_s=0.00947,
    slot_step_s=1.8e-5,
    read_tokens_per_s=19200,
    event_tokens=3,
    load_s=0.288,
    loads_at_once=16,
    gap_s=0.3,
)
"""A quarter of the first deployment; its daemons still count as a large pool."""


def leaves_after_s(mix: CallMix, gap_s: float) -> float:
    """Return after how long a caller leaves a silent stream."""
    return max(2.0, 4 * mix.objective_s, 8 * gap_s)


def comes_back_s(
    call: OverloadCall, retry_after_s: float, luck: random.Random
) -> float | None:
    """Return after how long a refused caller comes back; None: it gives up."""
    if call.hasty:
        back_s = luck.uniform(0.5, 1.5) * HASTY_PAUSE_S
        return back_s if call.attempts < HASTY_MOST else None
    return retry_after_s if call.attempts < 2 else None
