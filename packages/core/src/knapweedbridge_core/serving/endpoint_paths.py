"""Endpoints that this host cannot reach directly although other hosts can.

A failed connection doesn't show whether the endpoint is gone or this host's link to it.
Another host's connection does: if it succeeds where this host's fails, the path from
here is cut, and the endpoint is reached through the other host until the path is back.
"""

import math
from dataclasses import dataclass

MIN_FAILURES_CONFIRMED = 2
"""Failures in a row that confirm a cut path: a single SYN packet may be lost."""

MIN_CUT_PATHS = 3
"""Cut paths from which on a host probes the endpoints whose paths it has not found
cut."""

OTHERS_TO_TRY = 2
"""Further endpoints that must fail too before a host counts as having lost all
links."""

DOUBT_WINDOW_S = 2.0
MIN_DOUBTED_ENDPOINTS = 2
"""Endpoints that must fail within `DOUBT_WINDOW_S` before other hosts are asked to
reach them. If only one fails, its calls go to other endpoints: all hosts would ask
for one that is gone."""

ASK_AGAIN_S = 0.5
"""Pause before other hosts are asked again for an endpoint that they don't reach
either; calls go to other endpoints meanwhile."""

LINK_PROOF_MAX_AGE_S = 0.5
"""How long an answer of an endpoint proves that this host has links."""


@dataclass(slots=True)
class CutPath:
    """A path that is cut.

    Parameters
    ----------
    tried_s : float
        When the last direct connection failed, on the daemon's clock.
    failures : int
        Direct connections that failed in a row.
    """

    tried_s: float
    failures: int = 1

    @property
    def is_confirmed(self) -> bool:
        """Whether more than one direct connection failed."""
        return self.failures >= MIN_FAILURES_CONFIRMED


class EndpointPaths:
    """The paths from one host to the endpoints, by address.

    Attributes
    ----------
    has_lost_links : bool
        Whether this host reaches no endpoint directly, as far as it has tried.
    linked_s : float
        When an endpoint last answered over a direct link, on the daemon's clock.
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
        """Return whether an endpoint is reached only through other hosts."""
        return address in self._cut

    def is_confirmed(self, address: str) -> bool:
        """Return whether a path is confirmed as cut, or all links are lost."""
        path = self._cut.get(address)
        return self.has_lost_links or (path is not None and path.is_confirmed)

    @property
    def may_all_be_cut(self) -> bool:
        """Whether to probe the other endpoints, as all paths may be cut."""
        if self.has_lost_links:
            return False
        confirmed = sum(path.is_confirmed for path in self._cut.values())
        return len(self._cut) >= MIN_CUT_PATHS or confirmed >= MIN_FAILURES_CONFIRMED

    def record_cut(self, address: str, now_s: float) -> bool:
        """Record that a direct connection failed while another host's succeeded.

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
        """Record that a retry over a cut path failed."""
        path = self._cut.get(address)
        if path is not None:
            path.tried_s = now_s
            path.failures += 1

    def record_other_failures(self, tried: int) -> None:
        """Record that endpoints whose paths were not found cut failed in a row.

        Parameters
        ----------
        tried : int
            Number of them; 0: all paths were found cut.
        """
        self._others_failed += tried
        are_enough = self._others_failed >= OTHERS_TO_TRY or tried == 0
        self.has_lost_links = self.has_lost_links or (
            self.may_all_be_cut and are_enough
        )

    def is_linked(self, now_s: float) -> bool:
        """Return whether this host reached an endpoint recently."""
        return now_s - self.linked_s <= LINK_PROOF_MAX_AGE_S

    def record_direct(self, address: str, now_s: float) -> bool:
        """Record a direct connection; return whether its path had been cut.

        A host that had lost its links tries all paths again, as they come back
        together.
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
        """Return the address of the next cut path to try, unconfirmed ones first."""
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
        """Record that a direct connection failed or is slow to open."""
        self._doubted_s[address] = now_s

    def may_be_unlinked(self, now_s: float) -> bool:
        """Return whether this host itself may have lost its links."""
        recent = (now_s - at_s <= DOUBT_WINDOW_S for at_s in self._doubted_s.values())
        return len(self._cut) + sum(recent) >= MIN_DOUBTED_ENDPOINTS

    def record_unreached(self, address: str, now_s: float) -> None:
        """Record that another host doesn't reach an endpoint either."""
        self._unreached_s[address] = now_s

    def may_ask(self, address: str, now_s: float) -> bool:
        """Return whether other hosts may be asked for a connection to an endpoint."""
        return now_s - self._unreached_s.get(address, -math.inf) > ASK_AGAIN_S

    def keep_only(self, addresses: set[str]) -> None:
        """Remove the paths to endpoints that are gone."""
        for known in (self._cut, self._unreached_s, self._doubted_s):
            for address in known.keys() - addresses:
                del known[address]
        self.has_lost_links = self.has_lost_links and bool(self._cut)
