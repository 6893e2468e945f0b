"""For how long the store has not come back from an older copy."""

from knapweedbridge_daemon.serving.clock import least_age_s
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.own_records import read_era


async def read_era_age_s(hub: Hub) -> float | None:
    """Return the shortest time for which the store's era has lasted; None: unknown.

    Raises
    ------
    StoreError
        If the store does not answer.
    DialectError
        If the record of the era is malformed.
    """
    store = hub.dialects.store
    found = await store.read(hub.dialects.daemon_keys.era)
    if found is None:
        return None
    era, since_s = read_era(found[0])
    return least_age_s(since_s) if era == store.era else None
