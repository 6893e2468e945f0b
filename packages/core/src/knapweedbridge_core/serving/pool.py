"""Who hears what, as the pool of daemons grows.

In a small pool every daemon watches the store and hears every owner. In a large one
that would cost calls with the number of daemons, and messages with its square: there
two relays a data centre watch the store and hear the owners, and hand both on. Each
other daemon hears one of them, so what it hears does not grow with the daemons.
"""

from collections import defaultdict
from collections.abc import Iterable, Sized

from knapweedbridge_core.rendezvous import choose, score
from knapweedbridge_core.serving.ownership import DaemonRecord

SMALL_POOL = 16
"""Daemons up to which all hear all: at nine, tellings take 0.1 MB/s in all."""

SMALL_POOL_ENDPOINTS = 48
"""Endpoints up to which all hear all while a daemon starts, three for each daemon of
the largest small pool. When all hosts of a large pool start at once its daemons are
listed one after another, but its endpoints are listed before or soon after."""

STARTING_S = 3.0
"""How long after a daemon's start the endpoints count: by then the daemons that started
with it are listed, and a pool of few daemons counts as small however many endpoints
it has."""

LARGE_LISTED_S = 10.0
"""How long a pool counts as large after more daemons than those of a small pool were
listed: a lease lapses and a host starts again within it."""

RELAYS = 2
"""Relays a data centre: one may fail unseen for a second."""

QUOTA_KEEPERS = 4
"""Daemons a data centre that keep parts of client accounts' quotas."""


def is_small(daemons: Sized, endpoints: Sized = ()) -> bool:
    """Tell whether all daemons hear all, by what the store lists now."""
    return len(daemons) <= SMALL_POOL and len(endpoints) <= SMALL_POOL_ENDPOINTS


def ranked(daemons: Iterable[DaemonRecord]) -> dict[str, list[str]]:
    """Name the daemons of each data centre in the order in which duties fall to them.

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
    return names[: RELAYS + QUOTA_KEEPERS]


def relays(ranks: dict[str, list[str]]) -> dict[str, list[str]]:
    """Name the relays of a large pool, by data centre."""
    return {data_centre: names[:RELAYS] for data_centre, names in ranks.items()}


def quota_keepers(ranks: dict[str, list[str]]) -> dict[str, list[str]]:
    """Name the daemons that may keep parts of quotas, by data centre.

    Relays have most to do as it is; they keep none where there are others.
    """
    return {
        data_centre: names[RELAYS:] or names for data_centre, names in ranks.items()
    }


def subscribers(
    daemons: Iterable[DaemonRecord], data_centre: str, relay: str, all_relays: list[str]
) -> list[str]:
    """Name the daemons of a data centre that hear a relay and not another."""
    return [
        each.name
        for each in daemons
        if each.data_centre == data_centre
        and each.name not in all_relays
        and choose(each.name, all_relays) == relay
    ]
