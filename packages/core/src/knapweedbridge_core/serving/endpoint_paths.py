"""Which endpoints this host cannot reach itself, though other hosts do.

A connection that fails does not tell whether the endpoint is gone or this host's link
to it is. Another host's connection tells: where that stands and this host's fails, the
path from here is cut, and the endpoint is used through the other host until it is back.
"""

import math
from dataclasses import dataclass

CONFIRMING_FAILURES = 2
"""Failures in a row that confirm a cut path: one opening packet may be lost."""

SUSPECT_PATHS = 3
"""Cut paths with which a host tries endpoints that it has not found cut."""

OTHERS_TO_TRY = 2
"""Endpoints not found cut that must fail too before a host counts as without links."""

DOUBTED_S = 2.0
DOUBTED_ENDPOINTS = 2
"""Endpoints that must fail within this time before other hosts are asked for them.
Where one alone fails calls go to others; all hosts would ask for one that is gone."""

ASK_AGAIN_S = 0.5
"""Pause after which other hosts are asked again for an endpoint that they do not reach
either; calls go elsewhere meanwhile."""

LINKED_S = 0.5
"""How long an answer of an endpoint shows that this host has links."""


@dataclass(slots=True)
class CutPath:
    """A path that is cut.

    Parameters
    ----------
    tried_s : float
        When the last direct connection failed, on the daemon's clock.
    failures : int
        Direct connections that have failed in a row.
    """

    tried_s: float
    failures: int = 1

    @property
    def is_confirmed(self) -> bool:
        """Whether more than one direct connection has failed."""
        return self.failures >= CONFIRMING_FAILURES


class EndpointPaths:
    """The paths from one host to the endpoints, by address.

    Attributes
    ----------
    has_lost_links : bool
        Whether this host reaches no endpoint itself, as far as it has tried.
    linked_s : float
        When an endpoint last answered over a link of this host, on the daemon's clock.
    """

    __slots__ = (
        "_cut",
        "_doubted_s",
        "_others_failed",
        "_unreached_s",
        "has_lost_links",
        "linked_s",
    )

    def __init__(self) -> None:
        self._cut: dict[str, CutPath] = {}
        self._unreached_s: dict[str, float] = {}
        self._doubted_s: dict[str, float] = {}
        self._others_failed = 0
        self.has_lost_links = False
        self.linked_s = -math.inf

    def __len__(self) -> int:
        return len(self._cut)

    def is_cut(self, address: str) -> bool:
        """Return whether an endpoint is reached through other hosts alone."""
        return address in self._cut

    def is_confirmed(self, address: str) -> bool:
        """Return whether a path is surely cut, or all of them are."""
        path = self._cut.get(address)
        return self.has_lost_links or (path is not None and path.is_confirmed)

    @property
    def may_all_be_cut(self) -> bool:
        """Whether endpoints not found cut are to be tried, as all may be."""
        if self.has_lost_links:
            return False
        confirmed = sum(path.is_confirmed for path in self._cut.values())
        return len(self._cut) >= SUSPECT_PATHS or confirmed >= CONFIRMING_FAILURES

    def record_cut(self, address: str, now_s: float) -> bool:
        """Record that a direct connection failed where another host's stands.

        Returns
        -------
        bool
            Whether the path was not known to be cut.
        """
        if address in self._cut:
            self.record_retry_failure(address, now_s)
            return False
        self._cut[address] = CutPath(now_s)
        return True

    def record_retry_failure(self, address: str, now_s: float) -> None:
        """Record that a path that is cut was tried in vain."""
        path = self._cut.get(address)
        if path is not None:
            path.tried_s = now_s
            path.failures += 1

    def record_other_failures(self, tried: int) -> None:
        """Record that as many endpoints that were not found cut failed, in a row.

        Parameters
        ----------
        tried : int
            How many; 0: there is none that was not found cut.
        """
        self._others_failed += tried
        are_enough = self._others_failed >= OTHERS_TO_TRY or tried == 0
        self.has_lost_links = self.has_lost_links or (
            self.may_all_be_cut and are_enough
        )

    def is_linked(self, now_s: float) -> bool:
        """Return whether this host has reached an endpoint of late."""
        return now_s - self.linked_s <= LINKED_S

    def record_direct(self, address: str, now_s: float) -> bool:
        """Record a direct connection; return whether its path had been cut.

        A host that had lost its links tries all paths again: they come back together.
        """
        self.linked_s = now_s
        self._others_failed = 0
        self._doubted_s.pop(address, None)
        was_cut = self._cut.pop(address, None) is not None
        if self.has_lost_links:
            self._cut.clear()
        self.has_lost_links = False
        return was_cut

    def next_to_try(self) -> str | None:
        """Return the address of the cut path to try, those not confirmed yet first."""
        return min(
            self._cut,
            key=lambda address: (
                self._cut[address].is_confirmed,
                self._cut[address].tried_s,
            ),
            default=None,
        )

    @property
    def all_confirmed(self) -> bool:
        """Whether all paths found cut are confirmed."""
        return all(path.is_confirmed for path in self._cut.values())

    def record_doubt(self, address: str, now_s: float) -> None:
        """Record that a direct connection failed, or does not stand soon."""
        self._doubted_s[address] = now_s

    def may_be_unlinked(self, now_s: float) -> bool:
        """Return whether it may be this host whose links are lost."""
        recent = (now_s - at_s <= DOUBTED_S for at_s in self._doubted_s.values())
        return len(self._cut) + sum(recent) >= DOUBTED_ENDPOINTS

    def record_unreached(self, address: str, now_s: float) -> None:
        """Record that another host does not reach an endpoint either."""
        self._unreached_s[address] = now_s

    def may_ask(self, address: str, now_s: float) -> bool:
        """Return whether other hosts are asked for a connection to an endpoint."""
        return now_s - self._unreached_s.get(address, -math.inf) > ASK_AGAIN_S

    def keep_only(self, addresses: set[str]) -> None:
        """Forget the paths to endpoints that are gone."""
        for known in (self._cut, self._unreached_s, self._doubted_s):
            for address in known.keys() - addresses:
                del known[address]
        self.has_lost_links = self.has_lost_links and bool(self._cut)
