"""Events of the streams between daemons."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class PeerConnected:
    """A stream to a peer is open."""

    host: str


@dataclass(slots=True, frozen=True)
class PeerDisconnected:
    """No stream to a peer is open any more."""

    host: str


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message arrived from a peer."""

    host: str
    message: Any
