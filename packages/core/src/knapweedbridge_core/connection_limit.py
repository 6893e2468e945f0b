"""Limit on open connections, and which of them gives way to a new one."""

from enum import Enum

LEAST_REFUSED = 8
REFUSED_SHARE = 0.1
"""Connections beyond the limit that are open while their refusal is sent, as a share of
the limit. Further ones are closed without a response."""

BLOCKED_S = 1.0
"""How long a caller may read nothing of its response while connections are scarce."""

RETRY_AFTER_S = 0.5
"""Retry-After of connections for which there is no room."""


class ConnectionState(Enum):
    """What a connection waits for."""

    IDLE = "idle"
    """The first byte of a request."""

    RECEIVING = "receiving"
    """The rest of a request."""

    SERVING = "serving"
    """The response to a complete request."""

    BLOCKED = "blocked"
    """Its caller, who reads nothing of the response."""


class ConnectionLimit:
    """Open connections by state, each state in the order in which it was entered.

    A request that is being served gives way to a new connection only if its caller has
    read nothing of the response for `BLOCKED_S`.

    Parameters
    ----------
    limit : int
        Most open connections; 0: no limit.

    Attributes
    ----------
    evicted : int
        Number of connections that were chosen to be closed.
    """

    __slots__ = ("_closing", "_entered_s", "_states", "evicted", "limit")

    def __init__(self, limit: int = 0) -> None:
        self.limit = limit
        self.evicted = 0
        self._states: dict[int, ConnectionState] = {}
        self._entered_s: dict[ConnectionState, dict[int, float]] = {
            state: {} for state in ConnectionState
        }
        self._closing: set[int] = set()

    def __len__(self) -> int:
        return len(self._states)

    @property
    def is_full(self) -> bool:
        """Whether there is no room for one more connection."""
        return 0 < self.limit <= len(self._states) - len(self._closing)

    @property
    def may_refuse(self) -> bool:
        """Whether one more connection may be open until its refusal is sent."""
        refused = max(LEAST_REFUSED, int(REFUSED_SHARE * self.limit))
        return len(self._states) < self.limit + refused

    def add(self, connection: int, now_s: float) -> None:
        """Record an open connection, which is idle."""
        self._states[connection] = ConnectionState.IDLE
        self._entered_s[ConnectionState.IDLE][connection] = now_s

    def enter(self, connection: int, state: ConnectionState, now_s: float) -> None:
        """Record what a connection waits for from now on."""
        del self._entered_s[self._states[connection]][connection]
        self._states[connection] = state
        self._entered_s[state][connection] = now_s

    def remove(self, connection: int) -> None:
        """Record that a connection is closed."""
        del self._entered_s[self._states.pop(connection)][connection]
        self._closing.discard(connection)

    def choose(self, now_s: float) -> int | None:
        """Return the connection to close for a new one; None if there is none.

        Idle connections give way first, then those whose request is not complete, then
        those whose caller reads nothing; of each, the one that has waited longest. A
        connection that was chosen no longer counts, though it is not closed yet.
        """
        for state in (ConnectionState.IDLE, ConnectionState.RECEIVING):
            for connection in self._entered_s[state]:
                if connection not in self._closing:
                    return self._close(connection)
        for connection, entered_s in self._entered_s[ConnectionState.BLOCKED].items():
            if now_s - entered_s < BLOCKED_S:
                break
            if connection not in self._closing:
                return self._close(connection)
        return None

    def _close(self, connection: int) -> int:
        self._closing.add(connection)
        self.evicted += 1
        return connection
