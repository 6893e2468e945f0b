"""Messages between daemons, owners and the load order."""

from typing import Any

from knapweedbridge_core.codec import message
from knapweedbridge_core.names import AdapterVersion


@message
class LoadWanted:
    """All requests of a daemon that wait for an adapter no endpoint holds.

    Parameters
    ----------
    waiters : int
        How many; this replaces what the daemon said before.
    oldest_wait_s : float
        How long the first has waited.
    shortest_left_s, longest_left_s : float
        Time to the first and to the last deadline among them.
    """

    model: AdapterVersion
    waiters: int
    oldest_wait_s: float
    shortest_left_s: float = 60.0
    longest_left_s: float = 60.0


@message
class LoadPlaced:
    """The load order chose an endpoint, and a victim if its slots are full."""

    model: AdapterVersion
    endpoint: str
    victim: AdapterVersion | None
    coordinator: str


@message
class LoadEnded:
    """The owner tells the load order how a load ended."""

    model: AdapterVersion
    endpoint: str
    loaded: bool


@message
class LoadRefused:
    """The load order cannot load an adapter in time.

    Parameters
    ----------
    reason : str
        An `outcomes.Reason`.
    ready_in_s : float
        Waiting requests whose deadline is nearer are refused.
    retry_after_s : float
        When their callers should come back.
    """

    model: AdapterVersion
    reason: str
    ready_in_s: float
    retry_after_s: float


@message
class LoadFailed:
    """An owner ordered a load and the endpoint failed it."""

    model: AdapterVersion
    endpoint: str


@message(tag="UsesTold")
class UsageReport:
    """What a daemon's callers asked for since it last told the load order.

    Parameters
    ----------
    uses : list of [AdapterVersion, int]
        The most used, bounded.
    """

    uses: list[Any]


@message(tag="CountsTold")
class CountsReport:
    """A daemon's own long counts, for a load order that begins anew.

    Parameters
    ----------
    counts : list of [AdapterVersion, float]
        The largest, bounded.
    age_s : float
        How long they were kept.
    """

    counts: list[Any]
    age_s: float


@message
class SlotWanted:
    """The load order wants a slot emptied ahead of its next load."""

    endpoint: str
    victim: AdapterVersion


@message
class SlotDeclined:
    """The owner keeps the slot, as something pins it."""

    endpoint: str
    victim: AdapterVersion
