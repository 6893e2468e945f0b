"""Which daemons keep the parts of accounts' quotas, and what those kept here give."""

from dataclasses import dataclass

import anyio

from knapweedbridge_core.serving import (
    Quota,
    QuotaBucket,
    QuotaGrant,
    QuotaPart,
    coordinators,
    nearest_first,
    split,
)
from knapweedbridge_core.serving.messages import QuotaRequest
from knapweedbridge_core.serving.quotas import LEAST_WAIT_S, TAKE_OVER_S
from knapweedbridge_daemon.serving.hub import Hub, suspended_clock_s


@dataclass(slots=True, frozen=True)
class SplitQuota:
    """An account's quota, as it is split now.

    Parameters
    ----------
    part : QuotaPart
        One of its equal parts.
    coordinators : list of str
        Who keeps the parts, the one that this daemon asks first first.
    """

    part: QuotaPart
    coordinators: list[str]


class QuotaParts:
    """The parts of accounts' quotas, those that this daemon keeps among them.

    Parameters
    ----------
    hub : Hub
        Beliefs, which say who keeps what.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._seen: tuple[object, object] = (None, None)
        self._splits: dict[str, SplitQuota] = {}
        self._buckets: dict[str, QuotaBucket] = {}

    def refresh(self) -> None:
        """Begin to keep the parts that have fallen to this daemon, and end others."""
        cluster = self._hub.cluster
        seen = cluster.ranks, cluster.deployment
        if seen[0] is self._seen[0] and seen[1] is self._seen[1]:
            return
        had_deployment, before = self._seen[1] is not None, self._splits
        self._seen = seen
        accounts = cluster.deployment.accounts if cluster.deployment else None
        self._splits = {
            each.name: self._split(each.name, each.quota)
            for each in accounts or ()
            if each.quota
        }
        kept = [
            account
            for account, found in self._splits.items()
            if self._hub.identity.name in found.coordinators
        ]
        now_s = anyio.current_time()
        for account in kept:
            # Nobody kept a part of an account that is new before.
            is_new = had_deployment and account not in before
            empty_s = now_s if is_new else now_s + TAKE_OVER_S
            self._buckets.setdefault(account, QuotaBucket(empty_s))
        for account in self._buckets.keys() - set(kept):
            del self._buckets[account]

    def _split(self, account: str, quota: Quota) -> SplitQuota:
        cluster, identity = self._hub.cluster, self._hub.identity
        candidates = cluster.quota_coordinators
        part = split(quota, self._hub.tolerance, sum(map(len, candidates.values())))
        found = coordinators(account, part.parts, candidates)
        places = {name: cluster.daemons[name].data_centre for name in found}
        ordered = nearest_first(identity.name, identity.data_centre, found, places)
        return SplitQuota(part, ordered)

    def coordinators(self, account: str) -> list[str]:
        """Name the keepers of an account's quota, the one to ask first first."""
        self.refresh()
        found = self._splits.get(account)
        return found.coordinators if found else []

    def give(self, message: QuotaRequest) -> QuotaGrant:
        """Give units of the part that is kept here, if one is."""
        self.refresh()
        found = self._splits.get(message.account)
        bucket = self._buckets.get(message.account)
        # After its lease a keeper may have a successor, which gives the same part.
        is_listed = self._hub.lease.may_order(suspended_clock_s())
        if found is None or bucket is None or not is_listed:
            return QuotaGrant(0, LEAST_WAIT_S, is_known=False)
        return bucket.give(
            found.part,
            message.needed,
            message.others,
            message.ahead,
            anyio.current_time(),
        )
