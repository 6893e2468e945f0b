"""Requests and retries of one service, as one process counts them."""

from collections import deque
from dataclasses import dataclass, field

from knapweedbridge_core.serving.free_retries import FreeRetries
from knapweedbridge_core.serving.retry_reservations import (
    PreviousCounts,
    ReservedRetries,
)


@dataclass(slots=True, frozen=True)
class RetryGrant:
    """Permission to send one retry.

    Parameters
    ----------
    is_reserved : bool
        Whether the retry was reserved in the store.
    valid_until_s : float
        Until when it may be sent.
    """

    service: str
    is_reserved: bool
    valid_until_s: float

    def is_valid(self, now_s: float) -> bool:
        """Return whether the retry may still be sent."""
        return now_s < self.valid_until_s


@dataclass(slots=True)
class ServiceWindow:
    """Requests and retries of one service in the last window.

    Parameters
    ----------
    requests : deque of float
        When requests arrived.
    repeats, reserved_repeats : deque of float
        When retries had arrived at the latest, all and those that were reserved.
    open, open_reserved : int
        Retries that were granted and may arrive yet, all and those reserved.
    total_sent : int
        Retries that were sent since the start of this daemon.
    previous : PreviousCounts
        Requests and retries of earlier processes of this host.
    reserved : ReservedRetries
        Retries that are reserved and were not granted yet.
    free : FreeRetries
        Retries that need no reservation.
    """

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)
    reserved_repeats: deque[float] = field(default_factory=deque)
    open: int = 0
    open_reserved: int = 0
    total_sent: int = 0
    previous: PreviousCounts = field(default_factory=PreviousCounts)
    reserved: ReservedRetries = field(default_factory=ReservedRetries)
    free: FreeRetries = field(default_factory=FreeRetries)

    @property
    def used(self) -> int:
        """Retries of this process that count in the window."""
        return len(self.repeats) + self.open

    def trim(self, before_s: float) -> None:
        """Remove the times that are older than the window."""
        for times in (self.requests, self.repeats, self.reserved_repeats):
            while times and times[0] < before_s:
                times.popleft()


@dataclass(slots=True, frozen=True)
class Allowance:
    """The retries of one daemon at a service in a window, and their limit.

    Parameters
    ----------
    requests : int
        Callers' requests in the window, those of previous processes included.
    repeats : int
        Retries that this process has sent or was granted.
    previous : float
        Retries that previous processes may have sent; infinite if unknown.
    allowed : float
        Largest number of retries.
    """

    requests: int
    repeats: int
    previous: float
    allowed: float

    @property
    def has_room(self) -> bool:
        """Whether this process may send one more retry, leaving aside earlier ones."""
        return self.repeats + 1 <= self.allowed

    @property
    def room(self) -> float:
        """Retries that are left beside those of previous processes."""
        return self.allowed - self.repeats - self.previous
