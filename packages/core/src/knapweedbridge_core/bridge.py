"""The central object: one daemon's decisions, without input or output."""

from typing import Any

from knapweedbridge_core.actions import Action
from knapweedbridge_core.blame import Blame
from knapweedbridge_core.blame_side import BlameSide
from knapweedbridge_core.claim_keeper import ClaimKeeper
from knapweedbridge_core.claimant_side import ClaimantSide
from knapweedbridge_core.configuration import Configuration
from knapweedbridge_core.configuration_side import ConfigurationSide
from knapweedbridge_core.context import Context, Timing
from knapweedbridge_core.demand_side import DemandSide
from knapweedbridge_core.estate import Estate
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
from knapweedbridge_core.owner_side import OwnerSide
from knapweedbridge_core.request_side import RequestSide
from knapweedbridge_core.view import View


class Bridge:
    """All decisions of one daemon.

    Parameters
    ----------
    host, data_centre : str
        Who this daemon is and where it stands.
    incarnation : int
        Number that rises with each start of the host.
    timing : Timing, optional
        Bounds that the settings give.
    administration : str
        Address of its administration API, which peers are told.
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
        estate = Estate(self._context)
        self.holder = HolderSide(self._context)
        self.owner = OwnerSide(self._context, estate)
        self.grants = GrantSide(self._context, estate)
        self.orders = OrderSide(self._context, estate)
        self.loads = LoadSide(self._context)
        demand = DemandSide(self._context, self.requests)
        member = MemberSide(self._context)
        self.distribution = ConfigurationSide(self._context)
        self.operators = OperatorSide(self._context, administration)
        owning = (self.holder, self.owner, self.grants, self.orders)
        guards = (BlameSide(self._context), LeavingSide(self._context))
        # The load side says which load failed before the owner says it is over.
        answering = (*owning, *guards, self.requests, demand)
        roles = (self.distribution, self.loads, *answering)
        claims = (claimant, ClaimKeeper(self._context))
        sides = (member, *roles, self.operators, *claims)
        for side in sides:
            self._context.take(side)

    def handle(self, event: Any, now_s: float) -> list[Action]:
        """Take one event at one time and return what is to be done.

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
    def blame(self) -> Blame:
        """What this daemon holds against requests that crash endpoints."""
        return self._context.blame

    @property
    def members(self) -> Members:
        """The daemons as this one sees them."""
        return self._context.members

    @property
    def leaving(self) -> Leaving:
        """The endpoints that take no new work."""
        return self._context.leaving

    @property
    def view(self) -> View:
        """The endpoints as their owners tell of them."""
        return self._context.view

    @property
    def ledgers(self) -> dict[str, Ledger]:
        """The ledgers of the endpoints this daemon owns."""
        return {name: held.ledger for name, held in self.owner.tenures.items()}
