"""Revisions of a store that may come back from an older copy of itself.

Such a store gives revisions out again that stood for other changes before. It tells its
era with each answer, which rises by one each time. A stamp holds both, so stamps only
rise: what is known by a stamp is never taken for what another era wrote under the same
revision, and a fencing number made of one is above all that endpoints have seen.
"""

REVISION_BITS = 40
"""Bits of a stamp below the era: a million changes a second for twelve days."""


def stamp(era: int, revision: int) -> int:
    """Return the stamp of a revision; 0, no revision, stands for itself."""
    return (era << REVISION_BITS) | revision if revision else 0


def era_of(stamped: int) -> int:
    """Return the era of a stamp."""
    return stamped >> REVISION_BITS


def revision_of(stamped: int) -> int:
    """Return the revision of a stamp, as the store knows it."""
    return stamped & ((1 << REVISION_BITS) - 1)
