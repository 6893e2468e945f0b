"""What is known of each stream between daemons."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import anyio

from knapweedbridge_daemon.peer_sockets import PeerSocket

OUTBOX_MESSAGES = 10_000


@dataclass(slots=True)
class PeerBytes:
    """Bytes of messages between daemons, without what TCP adds."""

    sent_bytes: int = 0
    heard_bytes: int = 0
    dropped_messages: int = 0
    unknown_messages: int = 0
    unencodable_messages: int = 0


class Outbox:
    """Messages that wait for one stream; one task takes them."""

    def __init__(self) -> None:
        self._messages: deque[Any] = deque()
        self._taker: asyncio.Future[None] | None = None

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: Any) -> bool:
        """Add a message; False where too many wait."""
        if len(self._messages) >= OUTBOX_MESSAGES:
            return False
        self._messages.append(message)
        if self._taker is not None and not self._taker.done():
            self._taker.set_result(None)
        return True

    def take(self) -> Any:
        """Return the first message; there must be one."""
        return self._messages.popleft()

    async def wait(self) -> None:
        """Wait until there is a message."""
        while not self._messages:
            self._taker = asyncio.get_running_loop().create_future()
            try:
                await self._taker
            finally:
                self._taker = None


@dataclass(slots=True)
class LinkOut:
    """One stream out, while it is wanted."""

    host: str
    outbox: Outbox = field(default_factory=Outbox)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    stands: bool = False
    unanswered_since_s: float | None = None
    used_s: float = 0.0
    stream_scope: anyio.CancelScope | None = None


@dataclass(slots=True)
class StreamIn:
    """One stream in, when it last said something, and if that is acknowledged."""

    stream: PeerSocket
    heard_s: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    owes_answer: bool = False


@dataclass(slots=True)
class HeardHost:
    """The streams in from one host, all of one incarnation."""

    incarnation: int
    streams: list[StreamIn] = field(default_factory=list)
