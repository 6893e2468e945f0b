"""Table of requests that are suspected of crashing endpoints.

A request is identified by its fingerprint. It is a suspect once an endpoint is lost
while running it. After one loss it is quarantined: it runs on no endpoint together with
another suspect. After a second loss it is refused everywhere. A complete answer clears
it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

LOSSES_REFUSED = 2
SAME_LOSS_S = 1.0
UNPROVED_S = 5.0

LAPSE_GROWTH = 10.0
"""Factor by which a refusal lasts longer than the previous one."""


class Verdict(Enum):
    """How a request may be run."""

    FREE = "free"
    ALONE = "alone"
    HOLD = "hold"
    REFUSE = "refuse"


class LossState(Enum):
    """Whether an endpoint is known to have been lost."""

    SUSPECTED = "suspected"
    PROVED = "proved"
    WITHDRAWN = "withdrawn"


@dataclass(slots=True)
class Loss:
    """An endpoint that may have been lost while running a fingerprint."""

    endpoint: str
    at_s: float
    state: LossState = LossState.SUSPECTED

    def is_proved(self, now_s: float) -> bool:
        """Return whether the loss counts, also without an answer for ``UNPROVED_S``."""
        # The daemon that probes the endpoint may die before it sends the result. The
        # loss then counts, as otherwise another endpoint could be lost.
        return self.state is LossState.PROVED or now_s - self.at_s >= UNPROVED_S


@dataclass(slots=True)
class Suspect:
    """Losses and earlier refusals of one fingerprint.

    Parameters
    ----------
    losses : dict of str to Loss
        Losses by their ids.
    refusals : int
        How many refusals have expired.
    released_s : float
        When the last refusal expired.
    """

    losses: dict[str, Loss] = field(default_factory=dict)
    refusals: int = 0
    released_s: float = 0.0

    @property
    def last_s(self) -> float:
        """Time of the last loss, or of the end of the last refusal."""
        times = (loss.at_s for loss in self.losses.values())
        return max(times, default=self.released_s)

    def is_refused(self, now_s: float) -> bool:
        """Return whether it may not run; after a refusal a single loss suffices."""
        proved = sum(loss.is_proved(now_s) for loss in self.losses.values())
        return proved >= (1 if self.refusals else LOSSES_REFUSED)


class SuspectTable:
    """Bounded table of the suspects known to one daemon.

    Parameters
    ----------
    lapse_s : float
        How long after its last loss a fingerprint stays a suspect.
    max_suspects : int
        Greatest number of entries. Those with the fewest losses are evicted first, the
        oldest first among them.
    longest_lapse_s : float or None
        Longest refusal, where each lasts longer than the previous one. None if all last
        as long as the first.
    """

    def __init__(
        self,
        lapse_s: float = 600.0,
        max_suspects: int = 1000,
        longest_lapse_s: float | None = None,
    ) -> None:
        self.lapse_s = lapse_s
        self.max_suspects = max_suspects
        self.longest_lapse_s = longest_lapse_s
        self._table: dict[str, Suspect] = {}

    def judge(self, fingerprint: str, now_s: float) -> Verdict:
        """Return how a request may be run now."""
        suspect = self._table.get(fingerprint)
        if suspect is None:
            return Verdict.FREE
        if suspect.is_refused(now_s):
            return Verdict.REFUSE
        # A broken stream does not yet prove a lost endpoint: while the second loss is
        # unproved, the request waits for the probe instead of being refused.
        if len(suspect.losses) >= LOSSES_REFUSED:
            return Verdict.HOLD
        return Verdict.ALONE

    def refused_for_s(self, fingerprint: str, now_s: float) -> float:
        """Return the seconds until the entry of a fingerprint expires."""
        suspect = self._table.get(fingerprint)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.last_s + self._lapse_of_s(suspect) - now_s)

    def _lapse_of_s(self, suspect: Suspect) -> float:
        if self.longest_lapse_s is None:
            return self.lapse_s
        return min(self.longest_lapse_s, self.lapse_s * LAPSE_GROWTH**suspect.refusals)

    def knows(self, fingerprint: str) -> bool:
        """Return whether a fingerprint is a suspect."""
        return fingerprint in self._table

    def losses_s(self, fingerprint: str) -> list[float]:
        """Return the times of the losses recorded for a fingerprint."""
        suspect = self._table.get(fingerprint)
        return [loss.at_s for loss in suspect.losses.values()] if suspect else []

    def was_refused(self, fingerprint: str) -> bool:
        """Return whether an earlier refusal of a fingerprint has expired."""
        suspect = self._table.get(fingerprint)
        return suspect is not None and suspect.refusals > 0

    def refused(self, now_s: float) -> list[str]:
        """Return the fingerprints that are refused."""
        table = self._table.items()
        return [each for each, suspect in table if suspect.is_refused(now_s)]

    def suspect(
        self, fingerprint: str, loss_id: str, endpoint: str, now_s: float
    ) -> bool:
        """Record a possible loss; return False if it is already known."""
        suspect = self._table.setdefault(fingerprint, Suspect())
        if loss_id in suspect.losses or self._is_same_loss(suspect, endpoint, now_s):
            return False
        suspect.losses[loss_id] = Loss(endpoint, now_s)
        self._evict_excess()
        return True

    @staticmethod
    def _is_same_loss(suspect: Suspect, endpoint: str, now_s: float) -> bool:
        # Several attempts of one fingerprint, on one daemon or more, that fail with the
        # same endpoint at the same time are one loss.
        return any(
            loss.endpoint == endpoint and now_s - loss.at_s < SAME_LOSS_S
            for loss in suspect.losses.values()
        )

    def confirm(self, fingerprint: str, loss_id: str) -> None:
        """Record that the endpoint was lost."""
        loss = self._loss(fingerprint, loss_id)
        if loss is not None:
            loss.state = LossState.PROVED

    def withdraw(self, fingerprint: str, loss_id: str) -> None:
        """Remove a loss: the endpoint was not lost, only a stream broke."""
        suspect = self._table.get(fingerprint)
        if suspect is None:
            return
        suspect.losses.pop(loss_id, None)
        if not (suspect.losses or suspect.refusals):
            del self._table[fingerprint]

    def clear(self, fingerprint: str) -> bool:
        """Remove a fingerprint with a complete answer; return False if unknown."""
        return self._table.pop(fingerprint, None) is not None

    def _loss(self, fingerprint: str, loss_id: str) -> Loss | None:
        suspect = self._table.get(fingerprint)
        return suspect.losses.get(loss_id) if suspect else None

    def expire(self, now_s: float) -> None:
        """Remove expired entries, but remember refusals where these grow longer."""
        for fingerprint, suspect in list(self._table.items()):
            if now_s - suspect.last_s < self._lapse_of_s(suspect):
                continue
            if self.longest_lapse_s is not None and suspect.is_refused(now_s):
                suspect.losses.clear()
                suspect.refusals += 1
                suspect.released_s = now_s
            else:
                del self._table[fingerprint]

    def _evict_excess(self) -> None:
        while len(self._table) > self.max_suspects:
            oldest = min(
                self._table,
                key=lambda fingerprint: (
                    len(self._table[fingerprint].losses),
                    self._table[fingerprint].last_s,
                ),
            )
            del self._table[oldest]

    def entries(self) -> Iterator[tuple[str, str, Loss]]:
        """Yield fingerprint, loss id and loss for each loss in the table."""
        for fingerprint, suspect in self._table.items():
            for loss_id, loss in suspect.losses.items():
                yield fingerprint, loss_id, loss

    def __len__(self) -> int:
        return len(self._table)


class Quarantine:
    """Lets an owner run one suspect at a time on each endpoint.

    Parameters
    ----------
    lease_s : float
        Time after which a place that was not given back is free again.
    """

    def __init__(self, lease_s: float = 60.0) -> None:
        self._lease_s = lease_s
        self._held: dict[str, tuple[str, float]] = {}

    def enter(self, endpoint: str, attempt_id: str, now_s: float) -> bool:
        """Take the place for suspects on an endpoint; return False if it is taken."""
        held = self._held.get(endpoint)
        if held and held[0] != attempt_id and now_s - held[1] < self._lease_s:
            return False
        self._held[endpoint] = (attempt_id, now_s)
        return True

    def leave(self, endpoint: str, attempt_id: str) -> None:
        """Give the place back."""
        if self._held.get(endpoint, ("", 0.0))[0] == attempt_id:
            del self._held[endpoint]
