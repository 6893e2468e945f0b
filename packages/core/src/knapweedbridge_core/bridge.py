"""The core of one daemon: all of its decisions, as a state machine without I/O."""

from typing import Any

from knapweedbridge_core.actions import Action
from knapweedbridge_core.claim_coordinator import ClaimCoordinator
from knapweedbridge_core.claimant_side import ClaimantSide
from knapweedbridge_core.configuration import Configuration
from knapweedbridge_core.configuration_side import ConfigurationSide
from knapweedbridge_core.context import Context, Timing
from knapweedbridge_core.demand_side import DemandSide
from knapweedbridge_core.grant_side import GrantSide
from knapweedbridge_core.holder_side import HolderSide
from knapweedbridge_core.leaving import Leaving
from knapweedbridge_core.leaving_side import LeavingSide
from knapweedbridge_core.ledger import Ledger
from knapweedbridge_core.load_side import LoadSide
from knapweedbridge_core.member_side import MemberSide
from knapweedbridge_core.members import Members
from knapweedbridge_core.operator_side import OperatorSide
from knapweedbridge_core.order_side import OrderSide
from knapweedbridge_core.owned_endpoints import OwnedEndpoints
from knapweedbridge_core.owner_side import OwnerSide
from knapweedbridge_core.request_side import RequestSide
from knapweedbridge_core.suspect_side import SuspectSide
from knapweedbridge_core.suspects import SuspectTable
from knapweedbridge_core.view import View


class Bridge:
    """Make all decisions of one daemon, without I/O.

    Parameters
    ----------
    host, data_centre : str
        Name of this host and the data centre that it is in.
    incarnation : int
        Number that rises with each start of the host.
    timing : Timing, optional
        Settings of the pool and of failure detection.
    administration : str
        Address of this daemon's administration API, which is sent to peers.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        incarnation: int = 1,
        timing: Timing | None = None,
        administration: str = "",
    ) -> None:
        self._context = Context(host, data_centre, incarnation, timing or Timing())
        claimant = ClaimantSide(self._context)
        self.requests = RequestSide(self._context, claimant)
        owned = OwnedEndpoints(self._context)
        self.holder = HolderSide(self._context)
        self.owner = OwnerSide(self._context, owned)
        self.grants = GrantSide(self._context, owned)
        self.orders = OrderSide(self._context, owned)
        self.loads = LoadSide(self._context)
        demand = DemandSide(self._context, self.requests)
        member = MemberSide(self._context)
        self.distribution = ConfigurationSide(self._context)
        self.operators = OperatorSide(self._context, administration)
        owning = (self.holder, self.owner, self.grants, self.orders)
        guards = (SuspectSide(self._context), LeavingSide(self._context))
        # The load side must handle a failed load before the owner reports its end.
        answering = (*owning, *guards, self.requests, demand)
        roles = (self.distribution, self.loads, *answering)
        claims = (claimant, ClaimCoordinator(self._context))
        sides = (member, *roles, self.operators, *claims)
        for side in sides:
            self._context.register(side)

    def handle(self, event: Any, now_s: float) -> list[Action]:
        """Handle an event and return the actions to perform.

        Parameters
        ----------
        event : one of `knapweedbridge_core.events`
            What happened.
        now_s : float
            The daemon's monotonic clock, in seconds.
        """
        return self._context.handle(event, now_s)

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._context.host

    @property
    def data_centre(self) -> str:
        """Data centre of this host."""
        return self._context.data_centre

    @property
    def incarnation(self) -> int:
        """Number of this host's start."""
        return self._context.incarnation

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._context.configuration

    @property
    def suspects(self) -> SuspectTable:
        """Requests that this daemon suspects of crashing endpoints."""
        return self._context.suspects

    @property
    def members(self) -> Members:
        """Members of the pool as this daemon sees them."""
        return self._context.members

    @property
    def leaving(self) -> Leaving:
        """Endpoints that accept no new work."""
        return self._context.leaving

    @property
    def view(self) -> View:
        """State of the endpoints as their owners last reported it."""
        return self._context.view

    @property
    def ledgers(self) -> dict[str, Ledger]:
        """Ledgers of the endpoints that this daemon owns, by endpoint."""
        return {name: held.ledger for name, held in self.owner.tenures.items()}
