"""Ways to bound an account's use over all daemons."""

from abc import ABC, abstractmethod
from collections import defaultdict, deque

from knapweedbridge_core.serving import (
    DaemonRecord,
    Quota,
    QuotaBalance,
    QuotaBucket,
    QuotaPart,
    QuotaTolerance,
    coordinators,
    nearest_first,
    ranked,
    split,
)
from knapweedbridge_core.serving.pool import quota_coordinators
from knapweedbridge_core.serving.quotas import TAKE_OVER_S
from knapweedbridge_standins.quota_pool.hosts import Host

TOLD_AFTER_S = 0.5
"""Age of what a daemon hears of others' use by relays."""

CREDIT_S = 0.25
"""Part of the burst, in seconds of the rate, that a daemon spends of what others may
have spent unheard."""


class QuotaWay(ABC):
    """One way; ``quota`` may change while it is used."""

    def __init__(
        self, hosts: list[Host], quota: Quota, tolerance: QuotaTolerance
    ) -> None:
        self.hosts = hosts
        self.quota = quota
        self.tolerance = tolerance
        self.messages = 0

    @abstractmethod
    def takes(self, host: Host, units: int, now_s: float) -> bool:
        """Tell whether a daemon runs a call, and count it as run."""


class KeptParts(QuotaWay):
    """Parts of the quota are kept by some daemons, which are asked for units."""

    account = "account"

    def __init__(
        self, hosts: list[Host], quota: Quota, tolerance: QuotaTolerance
    ) -> None:
        super().__init__(hosts, quota, tolerance)
        self._by_name = {host.name: host for host in hosts}
        self._places = {host.name: host.data_centre for host in hosts}
        records = [DaemonRecord(h.name, 1, "", h.data_centre) for h in hosts]
        self._candidates = quota_coordinators(ranked(records))
        self._buckets: dict[tuple[str, float], QuotaBucket] = {}
        self._purses: dict[tuple[str, float], QuotaBalance] = {}

    def _part(self) -> QuotaPart:
        most = sum(map(len, self._candidates.values()))
        return split(self.quota, self.tolerance, most)

    def takes(self, host: Host, units: int, now_s: float) -> bool:
        """See `QuotaWay.takes`."""
        purse = self._purses.setdefault((host.name, host.started_s), QuotaBalance())
        purse.record_use(units, now_s)
        if purse.spend(units, now_s):
            if purse.held(now_s) < purse.ahead(now_s) / 2:
                self._ask(host, purse, 0, now_s)
            return True
        while self._ask(host, purse, units, now_s):
            if purse.spend(units, now_s):
                return True
        return False

    def _ask(self, host: Host, purse: QuotaBalance, units: int, now_s: float) -> bool:
        part = self._part()
        names = coordinators(self.account, part.parts, self._candidates)
        names = nearest_first(host.name, host.data_centre, names, self._places)
        name = purse.next_coordinator(names, now_s)
        if name is None:
            return False
        self.messages += 2
        keeper = self._by_name[name]
        if not host.reaches(keeper, now_s):
            purse.unanswered(name, now_s)
            return True
        bucket = self._buckets.setdefault(
            (name, keeper.started_s), QuotaBucket(keeper.started_s + TAKE_OVER_S)
        )
        held = purse.held(now_s)
        ahead = max(0, purse.ahead(now_s) - (0 if units else held))
        given = bucket.give(part, max(0, units - held), 0, ahead, now_s)
        purse.answered(name, given, now_s)
        return True


class ToldUse(QuotaWay):
    """Each daemon counts for itself, and hears late what the others use.

    A daemon that hears of no other keeps to an equal part.
    """

    def __init__(
        self, hosts: list[Host], quota: Quota, tolerance: QuotaTolerance
    ) -> None:
        super().__init__(hosts, quota, tolerance)
        self._used: dict[tuple[str, float], deque[tuple[float, int]]] = defaultdict(
            deque
        )
        self._own: dict[tuple[str, float], tuple[float, float]] = {}

    def takes(self, host: Host, units: int, now_s: float) -> bool:
        """See `QuotaWay.takes`."""
        key = host.name, host.started_s
        heard = [each for each in self.hosts if host.reaches(each, now_s)]
        share = len(heard) / len(self.hosts)
        level, filled_s = self._own.get(key, (0.0, host.started_s))
        level += self.quota.rate_per_s * share * (now_s - filled_s)
        told = sum(self._told(each, filled_s, now_s) for each in heard if each != host)
        level = min(level - told, CREDIT_S * self.quota.rate_per_s * share)
        is_alone = len(heard) == 1
        takes = level >= units if is_alone else level > 0
        self._own[key] = (level - units if takes else level, now_s)
        if takes:
            self._used[key].append((now_s, units))
        return takes

    def _told(self, other: Host, since_s: float, now_s: float) -> float:
        """Return the use that was told of between two moments."""
        used = self._used[other.name, other.started_s]
        while used and used[0][0] < now_s - 60.0:
            used.popleft()
        until_s = now_s - TOLD_AFTER_S
        since_s -= TOLD_AFTER_S
        return sum(units for at_s, units in used if since_s < at_s <= until_s)


WAYS: dict[str, type[QuotaWay]] = {"kept parts": KeptParts, "told use": ToldUse}
