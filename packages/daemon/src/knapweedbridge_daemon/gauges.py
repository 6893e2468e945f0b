"""Levels that a daemon sends to statsd from time to time."""

from collections.abc import Callable
from dataclasses import dataclass

from knapweedbridge_daemon.peer_streams import PeerBytes

GAUGE_PERIOD_S = 10.0


@dataclass(slots=True, frozen=True)
class Levels:
    """What a daemon's gauges show at one moment.

    Parameters
    ----------
    generation : int
        Of the configuration in force.
    owned, alive, live_requests, timeline_events : int
        Endpoints owned, other members that live, requests without a final outcome, and
        events that the time line holds.
    peer_bytes : PeerBytes
        Of all messages between daemons.
    """

    generation: int
    owned: int
    alive: int
    live_requests: int
    timeline_events: int
    peer_bytes: PeerBytes


GAUGES: dict[str, Callable[[Levels], float]] = {
    "configuration.generation": lambda levels: levels.generation,
    "endpoints.owned": lambda levels: levels.owned,
    "members.alive": lambda levels: levels.alive,
    "peers.dropped_messages": lambda levels: levels.peer_bytes.dropped_messages,
    "peers.heard_bytes": lambda levels: levels.peer_bytes.heard_bytes,
    "peers.sent_bytes": lambda levels: levels.peer_bytes.sent_bytes,
    "peers.unencodable_messages": lambda levels: levels.peer_bytes.unencodable_messages,
    "requests.live": lambda levels: levels.live_requests,
    "timeline.events": lambda levels: levels.timeline_events,
}
"""Name of each gauge and how it is read; documented in docs/metrics.md."""
