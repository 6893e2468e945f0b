"""Assigns the parts of accounts' quotas to daemons, and grants units of own parts.

An account's quota is split into equal parts; the coordinator of a part grants its units
to the other daemons.
"""

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
from knapweedbridge_daemon.serving.hub import Hub


@dataclass(slots=True, frozen=True)
class SplitQuota:
    """The current split of an account's quota.

    Parameters
    ----------
    part : QuotaPart
        One of its equal parts.
    coordinators : list of str
        The daemons that grant units of the parts, in the order in which this daemon
        sends them requests.
    """

    part: QuotaPart
    coordinators: list[str]


@dataclass(slots=True, frozen=True)
class AssignedPart:
    """A part of a quota that is assigned to this daemon.

    Parameters
    ----------
    since_s : float
        When it was assigned.
    had_coordinator : bool
        Whether another daemon may have granted its units before.
    """

    since_s: float
    had_coordinator: bool


class QuotaParts:
    """The parts of accounts' quotas, and the buckets of those that this daemon grants.

    Parameters
    ----------
    hub : Hub
        The state of the cluster, which determines the coordinators.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._seen: tuple[object, object] = (None, None)
        self._splits: dict[str, SplitQuota] = {}
        self._assigned: dict[str, AssignedPart] = {}
        self._buckets: dict[str, QuotaBucket] = {}
        self._term = 0

    def refresh(self) -> None:
        """Find the parts that are assigned to this daemon, and drop the others."""
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
        owned = [
            account
            for account, found in self._splits.items()
            if self._hub.identity.name in found.coordinators
        ]
        now_s = anyio.current_time()
        for account in owned:
            # The parts of a new account had no previous coordinator.
            is_new = had_deployment and account not in before
            assigned = AssignedPart(now_s, had_coordinator=not is_new)
            self._assigned.setdefault(account, assigned)
        for account in self._assigned.keys() - set(owned):
            del self._assigned[account]
            self._buckets.pop(account, None)

    def _split(self, account: str, quota: Quota) -> SplitQuota:
        cluster, identity = self._hub.cluster, self._hub.identity
        candidates = cluster.quota_coordinators
        part = split(quota, self._hub.tolerance, sum(map(len, candidates.values())))
        found = coordinators(account, part.parts, candidates)
        data_centres = {name: cluster.daemons[name].data_centre for name in found}
        ordered = nearest_first(
            identity.name, identity.data_centre, found, data_centres
        )
        return SplitQuota(part, ordered)

    def coordinators(self, account: str) -> list[str]:
        """Return the coordinators of an account's quota, in the order of requests."""
        self.refresh()
        found = self._splits.get(account)
        return found.coordinators if found else []

    def part(self, account: str) -> QuotaPart | None:
        """Return one of the equal parts of an account's quota; None: not known."""
        self.refresh()
        found = self._splits.get(account)
        return found.part if found else None

    def grant(self, message: QuotaRequest) -> QuotaGrant:
        """Grant units of the part assigned to this daemon, if there is one."""
        self.refresh()
        found = self._splits.get(message.account)
        bucket = self._bucket(message.account)
        if found is None or bucket is None:
            return QuotaGrant(0, LEAST_WAIT_S, is_known=False)
        return bucket.give(
            found.part,
            message.needed,
            message.others,
            message.ahead,
            anyio.current_time(),
        )

    def _bucket(self, account: str) -> QuotaBucket | None:
        """Return the bucket of a part; None if another daemon may grant its units."""
        hub = self._hub
        assigned = self._assigned.get(account)
        if assigned is None or not hub.may_coordinate():
            return None
        if self._term != hub.lease.term:
            # While this daemon was not listed, others may have granted units.
            self._term = hub.lease.term
            self._buckets.clear()
        if account not in self._buckets:
            empty_s = max(assigned.since_s, hub.succession.takeover.free_s)
            if assigned.had_coordinator:
                free_s = hub.succession.free_s(assigned.since_s)
                empty_s = max(assigned.since_s + TAKE_OVER_S, free_s)
            self._buckets[account] = QuotaBucket(empty_s)
        return self._buckets[account]
