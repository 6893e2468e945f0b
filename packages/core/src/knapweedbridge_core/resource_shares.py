"""Shares of a machine's memory and descriptors, for what a daemon holds for others."""

import math
from dataclasses import dataclass

MB = 1_000_000

CALM_BYTES = 64 * MB
"""What a daemon takes by itself: its code, its libraries and its view of the pool."""

LEAST_FREE_SHARE = 0.25
"""Least share of the machine's memory that is shared out, on very small machines."""

HELD_SHARE = 0.4
"""Share of the free memory for bodies and responses."""

CONNECTIONS_SHARE = 0.25
"""Share of the free memory for connections. What is left covers fragmentation and
bytes that have no owner yet."""

CONNECTION_BYTES = 96 << 10
"""Memory of a connection: its state, what was read ahead, and the kernel's buffer."""

CALLERS_SHARE = 0.5
"""Share of the sockets for callers. The others reach endpoints, the store and peers."""

ENDPOINTS_SHARE = 0.25
"""Share of the sockets for connections to endpoints."""

SIDE_SHARE = 0.03
"""Share of the sockets for each further listener."""

MOST_SIDE_CONNECTIONS = 64
"""Most connections of a further listener, whatever the machine has."""

UNPROVEN_SHARE = 0.06
"""Share of the sockets for peers that have not proved themselves yet."""

MOST_UNPROVEN_PEERS = 256
"""Most peers of which a proof is awaited, whatever the machine has. Hosts that were
restarted together connect together."""


@dataclass(slots=True, frozen=True)
class Machine:
    """What a daemon may use of its machine.

    Parameters
    ----------
    memory_bytes : int
        Memory of the machine, in bytes.
    descriptors : int
        Descriptors that may be open.
    file_descriptors : int
        Those of them that are set aside for files.
    """

    memory_bytes: int
    descriptors: int
    file_descriptors: int

    @property
    def sockets(self) -> int:
        """Descriptors for sockets."""
        return max(self.descriptors - self.file_descriptors, 1)


@dataclass(slots=True, frozen=True)
class ResourceShares:
    """Limits that follow from a machine.

    Parameters
    ----------
    held_bytes : int
        Most memory of bodies and responses, in bytes.
    caller_connections : int
        Most open connections of callers.
    endpoint_connections : int
        Most open connections to endpoints.
    side_connections : int
        Most open connections at each further listener: of health checks, of readers of
        metrics, or of operators.
    unproven_peers : int
        Most connections of peers that have not proved themselves yet.
    """

    held_bytes: int
    caller_connections: int
    endpoint_connections: int
    side_connections: int
    unproven_peers: int


def divide(machine: Machine) -> ResourceShares:
    """Return the limits that follow from a machine."""
    least_bytes = LEAST_FREE_SHARE * machine.memory_bytes
    free_bytes = max(machine.memory_bytes - CALM_BYTES, least_bytes)
    carried = int(CONNECTIONS_SHARE * free_bytes / CONNECTION_BYTES)
    sockets = machine.sockets
    return ResourceShares(
        int(HELD_SHARE * free_bytes),
        _share(CALLERS_SHARE * sockets, carried),
        _share(ENDPOINTS_SHARE * sockets),
        _share(SIDE_SHARE * sockets, MOST_SIDE_CONNECTIONS),
        _share(UNPROVEN_SHARE * sockets, MOST_UNPROVEN_PEERS),
    )


def _share(share: float, most: float = math.inf) -> int:
    """Return a share as a whole number, which is 1 at least."""
    return max(1, int(min(share, most)))
