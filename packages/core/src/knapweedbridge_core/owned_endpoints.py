"""The endpoints that this daemon owns, shared by the owner's sides."""

from knapweedbridge_core.context import Context, Side
from knapweedbridge_core.leases import DaemonLease
from knapweedbridge_core.messages import EndpointUpdate
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.owners import Owners
from knapweedbridge_core.tenure import Tenure
from knapweedbridge_core.times import CONTACT_MAX_AGE_S, SILENCE_TIMEOUT_S

NEIGHBOURS = 6
"""Others of whom most must be heard; a greater pool has as many neighbours."""


class OwnedEndpoints:
    """Lease, claims and tenures, and what they allow now.

    Parameters
    ----------
    context : Context
        What it shares with the other sides.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.lease = DaemonLease(context.host, context.incarnation)
        self.owners = Owners(
            context.host, context.incarnation, context.members, self.lease
        )
        self.tenures: dict[str, Tenure] = {}
        self._ticked_s = context.now_s
        self._heard_s: dict[str, float] = {}

    def has_contact(self) -> bool:
        """Tell whether this daemon heard enough others just now.

        A successor evicts only after it asked all daemons too, so one that both
        hear tells an owner without a lease that it was succeeded. After a gap it
        may have been told in vain: an owner that was cut off or slept, and hears
        its peers again, gives no grants until it has read its record. Who lives is
        no measure: a daemon cut off with few others takes nobody for dead.
        """
        now_s = self._context.now_s
        if now_s - self._ticked_s >= SILENCE_TIMEOUT_S:
            return False
        record_contact = [
            at_s for at_s in self._heard_s.values() if now_s - at_s < SILENCE_TIMEOUT_S
        ]
        others = min(len(self._context.members.known()), NEIGHBOURS)
        return 2 * (len(record_contact) + 1) > others + 1

    def record_contact(self, host: str) -> None:
        """Note that a daemon was heard."""
        self._heard_s[host] = self._context.now_s

    def tick(self) -> None:
        """Note the owned endpoints whose owner lost lease and contact."""
        for tenure in self.tenures.values():
            self._note_gap(tenure)
        self._heard_s = {
            host: at_s
            for host, at_s in self._heard_s.items()
            if self._context.now_s - at_s < CONTACT_MAX_AGE_S
        }
        self._ticked_s = self._context.now_s

    def _note_gap(self, tenure: Tenure) -> None:
        if self.owners.holds(tenure.endpoint, self._context.now_s):
            tenure.lost_majority = False
        elif not self.has_contact():
            tenure.lost_majority = True

    def may_grant(self, tenure: Tenure, model: AdapterVersion) -> bool:
        """Tell whether a grant given now is known to every later owner."""
        now_s = self._context.now_s
        if not tenure.ready or self.owners.is_handing_over(tenure.endpoint):
            return False
        fenced = tenure.checks_fencing
        if not fenced and not tenure.takeover.may_grant(model, now_s):
            return False
        if tenure.takeover.is_condemned(model, now_s):
            return False
        self._note_gap(tenure)
        return not tenure.lost_majority

    def may_order_eviction(self, tenure: Tenure) -> bool:
        """Tell whether an eviction ordered now cannot hit a later owner's grants."""
        now_s = self._context.now_s
        if not tenure.ready or not tenure.takeover.may_evict(now_s):
            return False
        if self.owners.is_handing_over(tenure.endpoint):
            return False
        if self.owners.holds(tenure.endpoint, now_s):
            return True
        self._note_gap(tenure)
        return tenure.checks_fencing and not tenure.lost_majority

    def may_load(self, tenure: Tenure, model: AdapterVersion) -> bool:
        """Tell whether a free slot may be used."""
        if not tenure.ready or tenure.closing:
            return False
        return not tenure.takeover.is_condemned(model, self._context.now_s)

    def grantable(self, tenure: Tenure) -> list[AdapterVersion]:
        """Return the adapter versions that may be granted."""
        now_s = self._context.now_s
        return [
            model
            for model in tenure.ledger.loaded
            if not tenure.takeover.is_condemned(model, now_s)
        ]

    def publish(self, tenure: Tenure) -> None:
        """Tell the peers what an endpoint holds."""
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
    """One of the owner's sides.

    Parameters
    ----------
    context : Context
        What it shares with the other sides.
    owned : Estate
        What it shares with the owner's other sides.
    """

    def __init__(self, context: Context, owned: OwnedEndpoints) -> None:
        super().__init__(context)
        self._owned = owned
