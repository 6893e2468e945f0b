"""Retries that a process has reserved in the store before it sends them."""

import math
from dataclasses import dataclass, field

from knapweedbridge_core.serving.expiring_counts import ExpiringCounts, Parts

MAX_DELIVERY_S = 3.0
"""Longest time from the sending of a retry to its arrival: by then the kernel has
closed a connection on which nothing is acknowledged."""


@dataclass(slots=True, frozen=True)
class RecordedService:
    """Requests and retries of a host at one service.

    Parameters
    ----------
    requests : list of (float, int)
        Callers' requests in the window: lower bounds of their number, each with the
        time in seconds for which they count after the record was written.
    retries : list of (float, int)
        Retries that may be in the window, those included that are reserved and not
        sent yet: upper bounds.
    """

    requests: Parts
    retries: Parts


@dataclass(slots=True, frozen=True)
class RetryRecord:
    """What the next process of a host must count.

    Parameters
    ----------
    services : dict of str to RecordedService
        Counts by service.
    steady_s : float
        When it was written, on the host's clock that also runs during suspension.
    wall_s : float
        The same by the time of day. The steady clock of another host, to which the
        name may have moved, is unrelated, and the time of day may jump.
    era : int
        Era of the store; a store that was restored may have lost a later record.
    """

    services: dict[str, RecordedService]
    steady_s: float
    wall_s: float
    era: int

    def age_s(self, steady_s: float, wall_s: float) -> float:
        """Return a lower bound on the age of the record, in seconds.

        After a reboot the steady clock has started again from 0, so the difference
        can only be smaller than the age.
        """
        return max(0.0, min(steady_s - self.steady_s, wall_s - self.wall_s))


@dataclass(slots=True)
class PreviousProcesses:
    """What is known of the retries of earlier processes of this host.

    Parameters
    ----------
    until_s : float
        When none of them is in the window any more.
    is_read : bool
        Whether their record was looked up.
    is_known : bool
        Whether it is certain that no later one was lost.
    """

    until_s: float
    is_read: bool = False
    is_known: bool = False


@dataclass(slots=True)
class PreviousCounts:
    """Requests and retries of earlier processes at one service."""

    requests: ExpiringCounts = field(default_factory=ExpiringCounts)
    retries: ExpiringCounts = field(default_factory=ExpiringCounts)


@dataclass(slots=True, frozen=True)
class RetryReservation:
    """A reservation that is about to be written.

    Parameters
    ----------
    services : dict of str to RecordedService
        See `RetryRecord`.
    added : dict of str to int
        Retries by service that may be sent once it is written.
    until_s : float
        When the retries that were not sent lapse.
    """

    services: dict[str, RecordedService]
    added: dict[str, int]
    until_s: float


@dataclass(slots=True)
class ReservedRetries:
    """Reserved retries of one service that were not granted yet.

    Parameters
    ----------
    left : int
        Their number.
    until_s : float
        When they lapse. A later process must know until when they may have been sent.
    """

    left: int = 0
    until_s: float = -math.inf

    def available(self, now_s: float) -> int:
        """Return how many may be granted."""
        return self.left if now_s < self.until_s else 0
