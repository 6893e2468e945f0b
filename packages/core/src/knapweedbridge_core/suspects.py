"""Which requests crash endpoints: suspicion, quarantine, refusal.

A fingerprint is suspected when an endpoint is lost with it running. One loss
puts it into quarantine, where it runs beside no other suspect. A second loss
refuses it everywhere. A whole answer clears it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

LOSSES_REFUSED = 2
SAME_LOSS_S = 1.0
UNPROVED_S = 5.0

LAPSE_GROWTH = 10.0
"""Times that a refusal lasts longer than the one before it."""


class Verdict(Enum):
    """What may be done with a request."""

    FREE = "free"
    ALONE = "alone"
    HOLD = "hold"
    REFUSE = "refuse"


class LossState(Enum):
    """What is known of a loss."""

    SUSPECTED = "suspected"
    PROVED = "proved"
    WITHDRAWN = "withdrawn"


@dataclass(slots=True)
class Loss:
    """An endpoint that may have been lost with a fingerprint running."""

    endpoint: str
    at_s: float
    state: LossState = LossState.SUSPECTED

    def is_proved(self, now_s: float) -> bool:
        """Tell whether the loss counts; an unanswered probe counts in the end."""
        # The daemon that asked may have died before it told of the answer:
        # the loss then counts, since the other way an endpoint may be lost.
        return self.state is LossState.PROVED or now_s - self.at_s >= UNPROVED_S


@dataclass(slots=True)
class Suspect:
    """What is held against one fingerprint.

    Parameters
    ----------
    refusals : int
        How often it was refused until that lapsed.
    released_s : float
        When the last refusal lapsed.
    """

    losses: dict[str, Loss] = field(default_factory=dict)
    refusals: int = 0
    released_s: float = 0.0

    @property
    def last_s(self) -> float:
        """Time of the last loss, or of the end of the refusal before."""
        times = (loss.at_s for loss in self.losses.values())
        return max(times, default=self.released_s)

    def is_refused(self, now_s: float) -> bool:
        """Return whether it may not run; one that was refused before has one loss."""
        confirm = sum(loss.is_proved(now_s) for loss in self.losses.values())
        return confirm >= (1 if self.refusals else LOSSES_REFUSED)


class SuspectTable:
    """The bounded table of suspects of one daemon.

    Parameters
    ----------
    lapse_s : float
        How long after its last loss a fingerprint stays suspected.
    max_suspects : int
        Greatest number of entries; the oldest with one loss falls out first.
    longest_lapse_s : float or None
        Longest refusal, where each lasts longer than the one before it; None: all last
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
        """Tell what may be done with a request now."""
        suspect = self._table.get(fingerprint)
        if suspect is None:
            return Verdict.FREE
        if suspect.is_refused(now_s):
            return Verdict.REFUSE
        # A broken stream is not yet a lost endpoint: with the second loss still
        # unproved the request waits for the probe instead of being refused.
        if len(suspect.losses) >= LOSSES_REFUSED:
            return Verdict.HOLD
        return Verdict.ALONE

    def refused_for_s(self, fingerprint: str, now_s: float) -> float:
        """Return the seconds until the blame of a fingerprint lapses."""
        suspect = self._table.get(fingerprint)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.last_s + self._lapse_of_s(suspect) - now_s)

    def _lapse_of_s(self, suspect: Suspect) -> float:
        if self.longest_lapse_s is None:
            return self.lapse_s
        return min(self.longest_lapse_s, self.lapse_s * LAPSE_GROWTH**suspect.refusals)

    def knows(self, fingerprint: str) -> bool:
        """Return whether anything is held against a fingerprint."""
        return fingerprint in self._table

    def losses_s(self, fingerprint: str) -> list[float]:
        """Return the times of the losses that are held against a fingerprint."""
        suspect = self._table.get(fingerprint)
        return [loss.at_s for loss in suspect.losses.values()] if suspect else []

    def was_refused(self, fingerprint: str) -> bool:
        """Return whether an earlier refusal of a fingerprint has lapsed."""
        suspect = self._table.get(fingerprint)
        return suspect is not None and suspect.refusals > 0

    def refused(self, now_s: float) -> list[str]:
        """Return the fingerprints that are refused."""
        table = self._table.items()
        return [each for each, suspect in table if suspect.is_refused(now_s)]

    def suspect(
        self, fingerprint: str, loss_id: str, endpoint: str, now_s: float
    ) -> bool:
        """Note a possible loss; False where it is known already."""
        suspect = self._table.setdefault(fingerprint, Suspect())
        if loss_id in suspect.losses or self._same(suspect, endpoint, now_s):
            return False
        suspect.losses[loss_id] = Loss(endpoint, now_s)
        self._bound()
        return True

    @staticmethod
    def _same(suspect: Suspect, endpoint: str, now_s: float) -> bool:
        # Two attempts of one fingerprint die with the same endpoint at the same
        # time, on one daemon or on two: that is one loss.
        return any(
            loss.endpoint == endpoint and now_s - loss.at_s < SAME_LOSS_S
            for loss in suspect.losses.values()
        )

    def confirm(self, fingerprint: str, loss_id: str) -> None:
        """Note that the endpoint was lost."""
        loss = self._loss(fingerprint, loss_id)
        if loss is not None:
            loss.state = LossState.PROVED

    def withdraw(self, fingerprint: str, loss_id: str) -> None:
        """Note that the endpoint was not lost: one stream broke."""
        suspect = self._table.get(fingerprint)
        if suspect is None:
            return
        suspect.losses.pop(loss_id, None)
        if not (suspect.losses or suspect.refusals):
            del self._table[fingerprint]

    def clear(self, fingerprint: str) -> bool:
        """Forget a fingerprint that got its whole answer; False if unknown."""
        return self._table.pop(fingerprint, None) is not None

    def _loss(self, fingerprint: str, loss_id: str) -> Loss | None:
        suspect = self._table.get(fingerprint)
        return suspect.losses.get(loss_id) if suspect else None

    def expire(self, now_s: float) -> None:
        """Forget what is older than its lapse; what was refused is on probation."""
        for fingerprint, suspect in list(self._table.items()):
            if now_s - suspect.last_s < self._lapse_of_s(suspect):
                continue
            if self.longest_lapse_s is not None and suspect.is_refused(now_s):
                suspect.losses.clear()
                suspect.refusals += 1
                suspect.released_s = now_s
            else:
                del self._table[fingerprint]

    def _bound(self) -> None:
        while len(self._table) > self.max_suspects:
            oldest = min(
                self._table,
                key=lambda held: (
                    len(self._table[held].losses),
                    self._table[held].last_s,
                ),
            )
            del self._table[oldest]

    def entries(self) -> Iterator[tuple[str, str, Loss]]:
        """Yield fingerprint, loss id and loss of the whole table."""
        for fingerprint, suspect in self._table.items():
            for loss_id, loss in suspect.losses.items():
                yield fingerprint, loss_id, loss

    def __len__(self) -> int:
        return len(self._table)


class Quarantine:
    """Lets an owner run one suspect at a time on an endpoint.

    Parameters
    ----------
    lease_s : float
        Bound on a place whose holder never gave it back.
    """

    def __init__(self, lease_s: float = 60.0) -> None:
        self._lease_s = lease_s
        self._held: dict[str, tuple[str, float]] = {}

    def enter(self, endpoint: str, attempt_id: str, now_s: float) -> bool:
        """Take the endpoint's place for suspects; False where it is taken."""
        held = self._held.get(endpoint)
        if held and held[0] != attempt_id and now_s - held[1] < self._lease_s:
            return False
        self._held[endpoint] = (attempt_id, now_s)
        return True

    def leave(self, endpoint: str, attempt_id: str) -> None:
        """Give the place back."""
        if self._held.get(endpoint, ("", 0.0))[0] == attempt_id:
            del self._held[endpoint]
