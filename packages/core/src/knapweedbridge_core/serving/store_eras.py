"""Revisions of a store that may be restored from an older copy of itself.

A restored store reuses revisions that stood for other changes before. Each of its
responses names its era, which increases by one with each restore. A stamp combines era
and revision, so stamps only increase: a change known by its stamp is never confused
with one that another era wrote under the same revision, and a fencing number made from
a stamp is higher than all that endpoints have seen.
"""

REVISION_BITS = 40
"""Bits of a stamp below the era: enough for a million changes per second for twelve
days."""

MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = (1 << 22) - 1
"""Stamps fit into messages between daemons, which hold 64 bits."""


def stamp(era: int, revision: int) -> int:
    """Return the stamp of a revision; 0, which is no revision, has stamp 0."""
    return (era << REVISION_BITS) | revision if revision else 0


def era_of(stamped: int) -> int:
    """Return the era of a stamp."""
    return stamped >> REVISION_BITS


def revision_of(stamped: int) -> int:
    """Return the store's own revision of a stamp."""
    return stamped & MAX_REVISION
