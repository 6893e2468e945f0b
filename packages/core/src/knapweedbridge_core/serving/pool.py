"""Which daemons follow the store and the owners directly, by the size of the pool.

In a small pool every daemon watches the store and receives the messages of every owner.
In a large one this would cost calls in proportion to the number of daemons, and
messages in proportion to its square. There, two relays per data centre watch the store
and receive the owners' messages, and forward both. Every other daemon subscribes to one
of them, so its incoming traffic does not grow with the pool.
"""

from collections import defaultdict
from collections.abc import Iterable, Sized

from knapweedbridge_core.rendezvous import choose, score
from knapweedbridge_core.serving.ownership import DaemonRecord

SMALL_POOL = 16
"""Maximum number of daemons of a small pool: with nine, the owners' messages take
0.1 MB/s in total."""

SMALL_POOL_ENDPOINTS = 48
"""Maximum number of endpoints of a small pool while a daemon starts: three for each
daemon of the largest small pool. When all hosts of a large pool start at once, its
daemons are listed one after another, but its endpoints before or soon after."""

STARTING_S = 3.0
"""Time after a daemon's start during which endpoints count. By then the daemons that
started with it are listed, and a pool of few daemons counts as small however many
endpoints it has."""

LARGE_LISTED_S = 10.0
"""Time for which a pool still counts as large after it had more daemons than a small
one: within it a lease expires and a host restarts."""

RELAYS = 2
"""Relays per data centre: the failure of one may go unnoticed for a second."""

QUOTA_COORDINATORS = 4
"""Daemons per data centre that keep parts of client accounts' quotas."""


def is_small(daemons: Sized, endpoints: Sized = ()) -> bool:
    """Return whether the pool is small, by what the store lists now."""
    return len(daemons) <= SMALL_POOL and len(endpoints) <= SMALL_POOL_ENDPOINTS


def ranked(daemons: Iterable[DaemonRecord]) -> dict[str, list[str]]:
    """Return each data centre's daemons in the order in which duties are assigned.

    The first of them are its relays, the next keep parts of client accounts' quotas.
    """
    able: dict[str, list[str]] = defaultdict(list)
    for each in daemons:
        if not each.draining:
            able[each.data_centre].append(each.name)
    return {
        data_centre: _first(data_centre, names) for data_centre, names in able.items()
    }


def _first(data_centre: str, names: list[str]) -> list[str]:
    names.sort(key=lambda name: score(data_centre, name), reverse=True)
    return names[: RELAYS + QUOTA_COORDINATORS]


def relays(ranks: dict[str, list[str]]) -> dict[str, list[str]]:
    """Return the relays of a large pool, by data centre."""
    return {data_centre: names[:RELAYS] for data_centre, names in ranks.items()}


def quota_coordinators(ranks: dict[str, list[str]]) -> dict[str, list[str]]:
    """Return the daemons that may keep parts of quotas, by data centre.

    Relays already have the most work; they are included only if there are no others.
    """
    return {
        data_centre: names[RELAYS:] or names for data_centre, names in ranks.items()
    }


def subscribers(
    daemons: Iterable[DaemonRecord], data_centre: str, relay: str, all_relays: list[str]
) -> list[str]:
    """Return the daemons of a data centre that subscribe to this one of its relays."""
    return [
        each.name
        for each in daemons
        if each.data_centre == data_centre
        and each.name not in all_relays
        and choose(each.name, all_relays) == relay
    ]
