"""What the streams between daemons tell."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class PeerConnected:
    """A stream to a peer stands."""

    host: str


@dataclass(slots=True, frozen=True)
class PeerDisconnected:
    """No stream to the peer stands."""

    host: str


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A peer sent a message."""

    host: str
    message: Any
