"""State of the endpoints that this daemon owns, shared by the owner's sides."""

from knapweedbridge_core.context import Context, Side
from knapweedbridge_core.leases import DaemonLease
from knapweedbridge_core.messages import EndpointUpdate
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.owners import Owners
from knapweedbridge_core.tenure import Tenure
from knapweedbridge_core.times import CONTACT_MAX_AGE_S, SILENCE_TIMEOUT_S

MAX_CONTACTS = 6
"""Greatest number of other daemons of which a majority must be in contact."""


class OwnedEndpoints:
    """Lease, ownership claims and tenures, and what they permit now.

    Parameters
    ----------
    context : Context
        State shared by the sides of the core.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.lease = DaemonLease(context.host, context.incarnation)
        self.owners = Owners(
            context.host, context.incarnation, context.members, self.lease
        )
        self.tenures: dict[str, Tenure] = {}
        self._ticked_s = context.now_s
        self._contacts_s: dict[str, float] = {}

    def has_majority(self) -> bool:
        """Return whether this daemon recently received messages from a majority.

        A successor evicts an adapter only after it has asked all daemons too. A daemon
        that both can reach therefore tells an owner without a lease that it was
        succeeded. While the owner is cut off or suspended, it may miss this. Once it
        receives messages from its peers again, it gives no grants until it has read its
        record. The number of members believed alive is no substitute: a daemon cut off
        with few others considers none of them dead.
        """
        now_s = self._context.now_s
        if now_s - self._ticked_s >= SILENCE_TIMEOUT_S:
            return False
        recent = [
            at_s
            for at_s in self._contacts_s.values()
            if now_s - at_s < SILENCE_TIMEOUT_S
        ]
        others = min(len(self._context.members.known()), MAX_CONTACTS)
        return 2 * (len(recent) + 1) > others + 1

    def record_contact(self, host: str) -> None:
        """Record that a message from a daemon was received."""
        self._contacts_s[host] = self._context.now_s

    def tick(self) -> None:
        """Record which owned endpoints lack both a lease and a majority."""
        for tenure in self.tenures.values():
            self._check_majority(tenure)
        self._contacts_s = {
            host: at_s
            for host, at_s in self._contacts_s.items()
            if self._context.now_s - at_s < CONTACT_MAX_AGE_S
        }
        self._ticked_s = self._context.now_s

    def _check_majority(self, tenure: Tenure) -> None:
        if self.owners.holds(tenure.endpoint, self._context.now_s):
            tenure.lost_majority = False
        elif not self.has_majority():
            tenure.lost_majority = True

    def may_grant(self, tenure: Tenure, model: AdapterVersion) -> bool:
        """Return whether every later owner learns of a grant given now."""
        now_s = self._context.now_s
        if not tenure.ready or self.owners.is_handing_over(tenure.endpoint):
            return False
        fenced = tenure.checks_fencing
        if not fenced and not tenure.takeover.may_grant(model, now_s):
            return False
        if tenure.takeover.is_quarantined(model, now_s):
            return False
        self._check_majority(tenure)
        return not tenure.lost_majority

    def may_order_eviction(self, tenure: Tenure) -> bool:
        """Return whether an eviction ordered now is safe for later owners' grants."""
        now_s = self._context.now_s
        if not tenure.ready or not tenure.takeover.may_evict(now_s):
            return False
        if self.owners.is_handing_over(tenure.endpoint):
            return False
        if self.owners.holds(tenure.endpoint, now_s):
            return True
        self._check_majority(tenure)
        return tenure.checks_fencing and not tenure.lost_majority

    def may_load(self, tenure: Tenure, model: AdapterVersion) -> bool:
        """Return whether a version may be loaded into a free slot."""
        if not tenure.ready or tenure.closing:
            return False
        return not tenure.takeover.is_quarantined(model, self._context.now_s)

    def grantable(self, tenure: Tenure) -> list[AdapterVersion]:
        """Return the loaded adapter versions that may be granted."""
        now_s = self._context.now_s
        return [
            model
            for model in tenure.ledger.loaded
            if not tenure.takeover.is_quarantined(model, now_s)
        ]

    def publish(self, tenure: Tenure) -> None:
        """Send the peers what an endpoint has loaded and running."""
        settled = self._context.now_s >= tenure.takeover.settled_s
        if not tenure.ready or not (settled or tenure.checks_fencing):
            return
        loaded, running = self.grantable(tenure), tenure.ledger.running
        tenure.published, tenure.published_running = loaded, running
        tenure.published_s = self._context.now_s
        message = EndpointUpdate(
            tenure.endpoint, self._context.host, tenure.number, loaded, running
        )
        for peer in self._context.members.peers():
            self._context.send(peer.name, message)
        self._context.receive(self._context.host, message)


class OwnedEndpointsSide(Side):
    """Base class of the owner's sides.

    Parameters
    ----------
    context : Context
        State shared by the sides of the core.
    owned : OwnedEndpoints
        State shared by the owner's sides.
    """

    def __init__(self, context: Context, owned: OwnedEndpoints) -> None:
        super().__init__(context)
        self._owned = owned
