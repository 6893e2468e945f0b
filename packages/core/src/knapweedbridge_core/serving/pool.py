"""Who hears what, as the pool of daemons grows.

In a small pool every daemon watches the store and hears every owner. In a large one
that would cost calls with the number of daemons, and messages with its square: there
a few watch for their data centre, and an owner tells those near its engine.
"""

from collections.abc import Iterable, Sized

from knapweedbridge_core.rendezvous import score
from knapweedbridge_core.serving.ownership import DaemonRecord

SMALL_POOL = 16
"""Daemons up to which all hear all: at nine, tellings take 0.1 MB/s in all."""

WATCHERS = 2
"""Daemons a data centre that watch the store: one may fail unseen for a second."""


def is_small(daemons: Sized) -> bool:
    """Tell whether all daemons hear all."""
    return len(daemons) <= SMALL_POOL


def near(daemons: Iterable[DaemonRecord], data_centre: str) -> list[str]:
    """Name the daemons that those who watch the store hand changes on to."""
    listed = list(daemons)
    if is_small(listed):
        return [each.name for each in listed]
    return [each.name for each in listed if each.data_centre == data_centre]


def watchers(daemons: Iterable[DaemonRecord], data_centre: str) -> list[str]:
    """Name the daemons that watch the store for a data centre."""
    listed = list(daemons)
    if is_small(listed):
        return [each.name for each in listed]
    own = [
        each for each in listed if each.data_centre == data_centre and not each.draining
    ]
    own.sort(key=lambda each: score(data_centre, each.name), reverse=True)
    return [each.name for each in own[:WATCHERS]]
