"""Retry budget that all daemons enforce without communicating."""

import math
from collections import defaultdict, deque

from knapweedbridge_core.serving.expiring_counts import (
    ExpiringCounts,
    Parts,
    round_down,
    round_up,
)
from knapweedbridge_core.serving.free_retries import FreeRetries
from knapweedbridge_core.serving.retry_reservations import (
    MAX_DELIVERY_S,
    PreviousProcesses,
    RecordedService,
    RetryRecord,
    RetryReservation,
)
from knapweedbridge_core.serving.retry_window import (
    Allowance,
    RetryGrant,
    ServiceWindow,
)

ALLOWANCE_SHARE = 0.75
"""Share of the allowance that a daemon uses in a window. The rest covers free retries
of its previous processes, and differences between the windows of daemons and between
the numbers of daemons that they know."""

FREE_SHARE = 0.2
"""Share of the allowance that may be used without a reservation in the store."""

RESERVED_SHARE = 0.25
"""Share of its allowance that a daemon reserves at once."""

RESERVATION_SHARE = 0.5
"""Time after which reserved retries lapse, as a share of the window."""

FREE_GRANT_S = 1.0
"""Time after which a free retry that was not sent must be granted again."""

LISTING_DELAY_S = 3.0
"""Time after a daemon's start until the daemons that started with it are listed."""


class RetryBudget:
    """Limits retries to a share of requests, plus this daemon's part of a slack.

    In an outage every request fails and is retried. Without a limit, the remaining
    endpoints would receive a multiple of the load and fail as well.

    The limit holds for a host, not for a process: retries are reserved in the store
    before they are sent, where the next process finds them. A small part needs no
    reservation.

    Parameters
    ----------
    ratio : float
        Retries allowed per request, over all daemons.
    slack : float
        Additional retries allowed in one window, over all daemons.
    window_s : float
        Length of the window, in seconds.
    started_s : float or None
        When this daemon started; None: long ago. All times are of one clock, which
        also runs while the host is suspended.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        started_s: float | None = None,
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._services: dict[str, ServiceWindow] = defaultdict(
            lambda: ServiceWindow(free=FreeRetries(started_s))
        )
        self._daemons: deque[tuple[float, int]] = deque()
        self.started_s = started_s
        self._previous = PreviousProcesses(
            -math.inf if started_s is None else started_s + window_s,
            is_read=started_s is None,
        )

    def record_daemons(self, daemons: int, now_s: float) -> None:
        """Record the number of listed daemons, including this one.

        The slack is divided by the maximum in the window, because records disappear
        when leases expire.
        """
        known = self._daemons
        while known and known[0][0] < now_s - self.window_s:
            known.popleft()
        while known and known[-1][1] <= daemons:
            known.pop()
        known.append((now_s, daemons))

    @property
    def daemons(self) -> int:
        """Number of daemons that share the slack."""
        return self._daemons[0][1] if self._daemons else 1

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request for a service."""
        window = self._window(service, now_s)
        window.requests.append(now_s)
        per_window = self._free_per_window(window, now_s)
        window.free.accrue(FREE_SHARE * self.ratio, per_window)

    def grant(self, service: str, now_s: float) -> RetryGrant | None:
        """Grant one retry; None if the allowance or what is reserved is exhausted."""
        window = self._window(service, now_s)
        allowance = self.allowance(service, now_s)
        if allowance.room >= 1 and window.reserved.available(now_s):
            window.reserved.left -= 1
            window.open_reserved += 1
            grant = RetryGrant(service, True, window.reserved.until_s)
        elif allowance.has_room and window.free.has_token:
            window.free.take()
            grant = RetryGrant(service, False, now_s + FREE_GRANT_S)
        else:
            return None
        window.open += 1
        return grant

    def may_reserve(self, service: str, now_s: float) -> bool:
        """Return whether a reservation may allow another retry."""
        window = self._window(service, now_s)
        if window.reserved.available(now_s):
            return False
        allowance = self.allowance(service, now_s)
        if not self._previous.is_read:
            return allowance.has_room
        return allowance.room >= 1

    @property
    def needs_record(self) -> bool:
        """Whether the record of the previous process must be read."""
        return not self._previous.is_read

    def record_previous(
        self, record: RetryRecord | None, age_s: float, now_s: float
    ) -> None:
        """Record what the previous processes of this host had reserved.

        Parameters
        ----------
        record : RetryRecord or None
            Their record; None if there is none.
        age_s : float
            Lower bound on its age, in seconds.
        """
        self._previous.is_read = self._previous.is_known = True
        if record is None:
            return
        for name, recorded in record.services.items():
            previous = self._services[name].previous
            previous.requests = ExpiringCounts(
                (now_s + lasts_s - age_s, count) for lasts_s, count in recorded.requests
            )
            # None can have been sent after the start of this process.
            previous.retries = ExpiringCounts(
                (min(now_s + lasts_s - age_s, self._previous.until_s), count)
                for lasts_s, count in recorded.retries
            )

    def record_previous_unknown(self) -> None:
        """Record that the record of the previous processes is lost or unreadable."""
        self._previous.is_read = True

    @property
    def record_lasts_s(self) -> float:
        """For how long a record counts after it was written at most, in seconds."""
        return self.window_s * (1 + RESERVATION_SHARE) + MAX_DELIVERY_S

    def plan_reservation(self, service: str, now_s: float) -> RetryReservation | None:
        """Return a reservation for more retries at a service; None without room."""
        allowance = self.allowance(service, now_s)
        reserved = self._services[service].reserved
        room = allowance.room - reserved.available(now_s)
        if room < 1:
            return None
        room = math.floor(room)
        added = {service: min(room, math.ceil(RESERVED_SHARE * allowance.allowed))}
        until_s = now_s + RESERVATION_SHARE * self.window_s
        return RetryReservation(self.describe(now_s, added), added, until_s)

    def describe(
        self, now_s: float, added: dict[str, int] | None = None
    ) -> dict[str, RecordedService]:
        """Return what a later process must count.

        Parameters
        ----------
        added : dict of str to int, optional
            Retries by service that are about to be reserved.
        """
        services = {
            name: self._describe_service(name, (added or {}).get(name, 0), now_s)
            for name in self._services
        }
        return {name: each for name, each in services.items() if each.retries}

    def _describe_service(
        self, service: str, added: int, now_s: float
    ) -> RecordedService:
        window = self._window(service, now_s)
        requests = [(at_s + self.window_s, 1) for at_s in window.requests]
        requests += window.previous.requests
        retries = [(at_s + self.window_s, 1) for at_s in window.reserved_repeats]
        retries += window.previous.retries
        pending = window.open_reserved + window.reserved.available(now_s) + added
        parts: Parts = round_up(retries, now_s, self.window_s)
        if pending:
            parts.append((self.record_lasts_s, pending))
        return RecordedService(round_down(requests, now_s, self.window_s), parts)

    def confirm_reservation(self, reservation: RetryReservation, now_s: float) -> None:
        """Record that a reservation was written."""
        for name in reservation.services:
            reserved = self._services[name].reserved
            left = reserved.available(now_s)
            reserved.left = left + reservation.added.get(name, 0)
            reserved.until_s = reservation.until_s

    def drop_reservations(self) -> None:
        """Forget what was reserved and not granted: its record may be lost."""
        for window in self._services.values():
            window.reserved.left = 0

    def record_sent(self, grant: RetryGrant) -> None:
        """Record that a granted retry is sent."""
        self._services[grant.service].total_sent += 1

    def settle(self, grant: RetryGrant, now_s: float) -> None:
        """Record that a retry that was sent has arrived, or will never arrive.

        It counts in the window from now on. Until now it counted as open, because a
        cut or an unresponsive endpoint may have delayed its arrival.
        """
        window = self._window(grant.service, now_s)
        window.open -= 1
        window.repeats.append(now_s)
        if grant.is_reserved:
            window.open_reserved -= 1
            window.reserved_repeats.append(now_s)

    def give_back(self, grant: RetryGrant, now_s: float) -> None:
        """Release a granted retry that is not sent."""
        window = self._services[grant.service]
        window.open -= 1
        if not grant.is_reserved:
            window.free.give_back()
            return
        window.open_reserved -= 1
        if window.reserved.available(now_s):
            window.reserved.left += 1

    def total_sent(self, service: str) -> int:
        """Return how many retries were sent since the start of this daemon."""
        return self._services[service].total_sent

    def allowance(self, service: str, now_s: float) -> Allowance:
        """Return the allowance of this daemon; see `grant`."""
        window = self._window(service, now_s)
        requests = len(window.requests) + window.previous.requests.count(now_s)
        allowed = ALLOWANCE_SHARE * (self.ratio * requests + self._slack_share(now_s))
        previous = self._count_previous(window, now_s)
        return Allowance(requests, window.used, previous, allowed)

    def _count_previous(self, window: ServiceWindow, now_s: float) -> float:
        """Return the retries of earlier processes that may be in the window."""
        if self._previous.is_known or now_s >= self._previous.until_s:
            return window.previous.retries.count(now_s)
        return math.inf

    def _slack_share(self, now_s: float) -> float:
        """Return this daemon's part of the slack.

        It grows after a start, while other daemons that start too are not listed yet.
        """
        slack = self.slack / max(1, self.daemons)
        if self.started_s is None:
            return slack
        return slack * min(1.0, (now_s - self.started_s) / LISTING_DELAY_S)

    def _free_per_window(self, window: ServiceWindow, now_s: float) -> float:
        """Return the free retries of a window, for requests of this process alone."""
        share = self.ratio * len(window.requests) + self._slack_share(now_s)
        return FREE_SHARE * share

    def _window(self, service: str, now_s: float) -> ServiceWindow:
        window = self._services[service]
        window.trim(now_s - self.window_s)
        elapsed_s = window.free.elapsed_s(now_s)
        if elapsed_s:
            by_slack = FREE_SHARE * self._slack_share(now_s) * elapsed_s / self.window_s
            window.free.accrue(by_slack, self._free_per_window(window, now_s))
        return window
