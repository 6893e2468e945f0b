"""Messages between daemons, owners and the coordinator of loads."""

from typing import Any

from knapweedbridge_core.codec import message
from knapweedbridge_core.names import AdapterVersion


@message
class LoadWanted:
    """Requests of a daemon that wait for an adapter that no endpoint holds.

    Parameters
    ----------
    waiters : int
        Number of requests; replaces the daemon's previous report.
    oldest_wait_s : float
        Time for which the oldest request has waited.
    shortest_left_s, longest_left_s : float
        Time to the earliest and to the latest deadline of these requests.
    """

    model: AdapterVersion
    waiters: int
    oldest_wait_s: float
    shortest_left_s: float = 60.0
    longest_left_s: float = 60.0


@message
class LoadPlaced:
    """Request to an owner to load an adapter, evicting a victim if slots are full."""

    model: AdapterVersion
    endpoint: str
    victim: AdapterVersion | None
    coordinator: str


@message
class LoadEnded:
    """Result of a load, from the owner to the coordinator."""

    model: AdapterVersion
    endpoint: str
    loaded: bool


@message
class LoadRefused:
    """Notification that an adapter cannot be loaded in time.

    Parameters
    ----------
    reason : str
        An `outcomes.Reason`.
    ready_in_s : float
        Time to the end of the load; requests with an earlier deadline are refused.
    retry_after_s : float
        Time after which callers should retry.
    """

    model: AdapterVersion
    reason: str
    ready_in_s: float
    retry_after_s: float


@message
class LoadFailed:
    """Notification that a load was started and the endpoint failed it."""

    model: AdapterVersion
    endpoint: str


@message(tag="UsesTold")
class UsageReport:
    """Requests per adapter version since the daemon's previous report.

    Parameters
    ----------
    uses : list of [AdapterVersion, int]
        The most requested versions, limited in number.
    """

    uses: list[Any]


@message(tag="CountsTold")
class CountsReport:
    """Long-term request counts of a daemon, for a new coordinator.

    Parameters
    ----------
    counts : list of [AdapterVersion, float]
        The largest counts, limited in number.
    age_s : float
        Time over which they were collected.
    """

    counts: list[Any]
    age_s: float


@message
class SlotWanted:
    """Request to an owner to evict a slot ahead of the next load."""

    endpoint: str
    victim: AdapterVersion


@message
class SlotDeclined:
    """Response of an owner that a slot is pinned and cannot be evicted."""

    endpoint: str
    victim: AdapterVersion
