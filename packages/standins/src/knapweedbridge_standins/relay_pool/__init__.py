"""A large pool's daemons and its store in virtual time: who knows what, and when.

It plays the daemon's own follower, relaying and marks; the store, the links between
daemons and their troubles are stand-ins.
"""

from knapweedbridge_standins.relay_pool.pool import PoolDaemon, RelayPool
from knapweedbridge_standins.relay_pool.store import (
    ListedStore,
    ReachedStore,
    endpoint_item,
)
from knapweedbridge_standins.relay_pool.wire import PeerWire

__all__ = [
    "ListedStore",
    "PeerWire",
    "PoolDaemon",
    "ReachedStore",
    "RelayPool",
    "endpoint_item",
]
