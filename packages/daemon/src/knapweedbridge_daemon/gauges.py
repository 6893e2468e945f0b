"""Levels that a daemon sends to statsd from time to time."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from knapweedbridge_daemon.driver import Driver

GAUGE_PERIOD_S = 10.0


def _sent_bytes(driver: Driver) -> int:
    return driver.peers.bytes.sent_bytes if driver.peers else 0


def _heard_bytes(driver: Driver) -> int:
    return driver.peers.bytes.heard_bytes if driver.peers else 0


def _dropped_messages(driver: Driver) -> int:
    return driver.peers.bytes.dropped_messages if driver.peers else 0


GAUGES: dict[str, Callable[[Driver], float]] = {
    "configuration.generation": lambda driver: driver.bridge.configuration.generation,
    "endpoints.owned": lambda driver: len(driver.bridge.ledgers),
    "members.alive": lambda driver: len(driver.bridge.members.peers()),
    "peers.dropped_messages": _dropped_messages,
    "peers.heard_bytes": _heard_bytes,
    "peers.sent_bytes": _sent_bytes,
    "requests.live": lambda driver: driver.following,
    "timeline.events": lambda driver: driver.timeline_events,
}
"""Name of each gauge and how it is read; documented in docs/metrics.md."""
