"""Plays one account's calls on a pool of daemons while something happens to it."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from knapweedbridge_core.serving import Quota, QuotaTolerance, QuotaUnit
from knapweedbridge_standins.quota_pool.figures import QuotaFigures
from knapweedbridge_standins.quota_pool.hosts import Host
from knapweedbridge_standins.quota_pool.ways import QuotaWay

PLAYED_S = 34.0
LIMIT_OVER_USE = 1.8
"""An account's limit, as a part of what it usually uses."""

CALL_TOKENS = (600, 1640, 1640, 5000)
"""Lengths of calls, one as frequent as another."""

DOWN_S = 0.5
KILLED_AGAIN_S = 2.0
"""How long a killed host is down, and the pause between kills."""

CALLERS_A_HOST = 1.6
"""Callers of the account a host, each of whom stays with his host."""


@dataclass(slots=True, frozen=True)
class Story:
    """What happens, from ``at_s`` on for ``for_s``.

    Parameters
    ----------
    times : float
        How many times its usual the account sends meanwhile.
    lower_to : float
        Share of its limit that is left to it from then on.
    killed, cut : float
        Share of the hosts that are killed, or cut off from all other hosts.
    kills : int
        How often hosts are killed, `KILLED_AGAIN_S` apart.
    """

    at_s: float = 12.0
    for_s: float = 8.0
    times: float = 1.0
    lower_to: float = 1.0
    killed: float = 0.0
    cut: float = 0.0
    kills: int = 1


STORIES = {
    "all is well": Story(),
    "sends five times its usual": Story(times=5.0),
    "its limit is lowered": Story(lower_to=0.2),
    "all hosts are killed while it sends five times": Story(times=5.0, killed=1.0),
    "half of the hosts are killed": Story(killed=0.55),
    "a third is cut off": Story(cut=0.35),
    "a third is cut off while it sends five times": Story(times=5.0, cut=0.35),
}


class QuotaPool:
    """One account on a pool.

    Parameters
    ----------
    hosts : int
        Daemons, in three data centres.
    use_per_s : float
        Tokens a second that the account usually uses.
    story : Story
        What happens.
    seed : int
        Of all that is drawn.
    """

    def __init__(self, hosts: int, use_per_s: float, story: Story, seed: int) -> None:
        self._luck = random.Random(seed)
        self.hosts = [Host(f"host-{n}", f"hall-{n % 3}") for n in range(hosts)]
        self._callers = [
            self._luck.choice(self.hosts) for _ in range(int(CALLERS_A_HOST * hosts))
        ]
        self._use_per_s = use_per_s
        self._story = story
        limit = LIMIT_OVER_USE * use_per_s
        self.quota = Quota(QuotaUnit.TOKENS, limit, limit)

    def play(self, way_type: type[QuotaWay], tolerance: QuotaTolerance) -> QuotaFigures:
        """Play the story, and return what a way made of it."""
        way = way_type(self.hosts, self.quota, tolerance)
        figures = QuotaFigures(tolerance)
        story, has_begun = self._story, False
        kills = [story.at_s + n * KILLED_AGAIN_S for n in range(story.kills)]
        for now_s, host, units in self._calls():
            if now_s >= story.at_s and not has_begun:
                has_begun = True
                self._begin(way)
            while kills and now_s >= kills[0]:
                self._kill(kills.pop(0))
            if not host.runs(now_s):
                host = next((h for h in self.hosts if h.runs(now_s)), host)
            if not host.runs(now_s):
                continue
            is_run = way.takes(host, units, now_s)
            is_bound = story.lower_to == 1.0 or not has_begun
            is_bound |= now_s >= story.at_s + tolerance.window_s
            figures.note(way.quota, units, is_run, is_bound, now_s)
        figures.messages = way.messages
        return figures

    def _begin(self, way: QuotaWay) -> None:
        story = self._story
        limit = story.lower_to * self.quota.rate_per_s
        way.quota = replace(self.quota, rate_per_s=limit, burst=limit)
        for host in self._luck.sample(self.hosts, int(story.cut * len(self.hosts))):
            host.cut_until_s = story.at_s + story.for_s

    def _kill(self, at_s: float) -> None:
        count = int(self._story.killed * len(self.hosts))
        for host in self._luck.sample(self.hosts, count):
            host.down_until_s = host.started_s = at_s + DOWN_S

    def _calls(self) -> Iterator[tuple[float, Host, int]]:
        mean = sum(CALL_TOKENS) / len(CALL_TOKENS)
        story, now_s = self._story, 0.0
        while now_s < PLAYED_S:
            is_on = story.at_s <= now_s < story.at_s + story.for_s
            per_s = self._use_per_s / mean * (story.times if is_on else 1.0)
            now_s += self._luck.expovariate(per_s)
            host = self._luck.choice(self._callers)
            yield now_s, host, self._luck.choice(CALL_TOKENS)
