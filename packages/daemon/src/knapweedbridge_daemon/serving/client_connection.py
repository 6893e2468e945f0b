"""Client side of one connection to an HTTP/1.1 server.

HTTP client libraries hide what decides whether a call may be retried: whether any byte
of the request was written, whether a response belongs to it, and whether a body without
a length ended or was reset. This client therefore uses httptools directly on the
transports of the event loop.
"""

import itertools
import math
import re
import select
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass

import anyio
from anyio.lowlevel import checkpoint_if_cancelled

from knapweedbridge_core.serving import Attribution, ResponseAttribution
from knapweedbridge_daemon.errors import DaemonError
from knapweedbridge_daemon.serving.client_streams import ClientStream
from knapweedbridge_daemon.serving.http_bodies import (
    BodyDecoder,
    BodyError,
    LengthBody,
)
from knapweedbridge_daemon.serving.http_heads import (
    END_OF_HEAD,
    HeadError,
    pack_request,
    read_response_head,
    response_body,
)
from knapweedbridge_daemon.serving.wire import (
    Headers,
    RequestHead,
    ResponseHead,
    WireRequest,
    get_header,
)

DEFAULT_KEEP_ALIVE_S = 4.0
"""Keep-alive timeout of servers that do not announce one."""

KEEP_ALIVE_SHARE = 0.6
"""Share of the server's keep-alive timeout for which an idle connection is kept. If a
request crosses the server's close, it is unknown whether the request was run."""

MAX_KEEP_ALIVE_S = 60.0
MAX_HEAD_BYTES = 65536
MAX_DISCARDED_BYTES = 262144
"""Most bytes of interim responses and of responses to other requests that are read
before the response to a request."""

MAX_BODY_BYTES = 1 << 20
"""Longest body of a response to a request of this daemon."""

MAX_BUFFERED_BYTES = 65536
"""Size up to which a request is written before its response is read. The event loop
buffers this much without waiting for the server."""

SWITCHING_PROTOCOLS = 101

_TIMEOUT = re.compile(r"timeout=(\d+)")

_numbers = itertools.count(1)


@dataclass(slots=True, frozen=True)
class RequestIdentity:
    """How the response to a request is recognized.

    Parameters
    ----------
    request_id : str
        Id that the response names; empty if it names none.
    read_id : callable
        Returns the id that the headers of a response name, or None.
    """

    request_id: str
    read_id: Callable[[Headers], str | None]


UNNAMED = RequestIdentity("", lambda headers: None)
"""Identity of requests without an id."""


class NotSentError(DaemonError):
    """Raised if no byte of the request was written, so that it cannot have run.

    Attributes
    ----------
    is_lost : bool
        Whether the endpoint is gone, as far as this host can determine.
    """

    def __init__(self, message: str, is_lost: bool = True) -> None:
        super().__init__(message)
        self.is_lost = is_lost


class ConnectionBrokenError(DaemonError):
    """Raised if the connection or the response broke; the request may have run."""


class ClientConnection:
    """Connection to a server for one request at a time.

    Parameters
    ----------
    stream : ClientStream
        Underlying connection, which is closed with this one.
    address : str
        IP address and port of the server.
    attribution : ResponseAttribution
        Attributes responses to the requests of the connection.

    Attributes
    ----------
    forwarder : str
        Host that tunnels the connection; empty if it is direct.
    number : int
        Number of the connection, counted by process, for the log.
    requests : int
        Number of requests written.
    discarded : int
        Number of responses that were discarded because they belong to other requests.
    idle_until_s : float
        Time at which the idle connection expires, on the event loop's clock.
    """

    def __init__(
        self, stream: ClientStream, address: str, attribution: ResponseAttribution
    ) -> None:
        self.address = address
        self.forwarder = stream.forwarder
        self.number = next(_numbers)
        self.requests = 0
        self.discarded = 0
        self.idle_until_s = 0.0
        self._stream = stream
        self._attribution = attribution
        self._discarded_bytes = 0
        self._method = b""
        self._unread = b""
        self._body: BodyDecoder = LengthBody(0)
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._is_sent = False
        self._is_persistent = True

    def may_carry(self, request_id: str) -> bool:
        """Return whether the response to a request with this id can be recognized."""
        return self._attribution.may_carry(request_id)

    async def exchange(
        self, head: RequestHead, body: bytes, identity: RequestIdentity = UNNAMED
    ) -> ResponseHead:
        """Send a request and read the head of its response.

        Parameters
        ----------
        head, body : RequestHead, bytes
            Request to send.
        identity : RequestIdentity
            How the response is recognized.

        Raises
        ------
        NotSentError
            If the request cannot be encoded, if the server has sent bytes or closed the
            connection before it, or if its response could not be recognized.
        ConnectionBrokenError
            If the connection broke before a response, or if a response may belong to
            another request; part of the request may have been written.
        """
        try:
            packed = pack_request(head, body)
        except HeadError as error:
            raise NotSentError(f"{self.address}: {error}") from error
        # A write does not yield to the event loop, so calls that have timed out or
        # whose caller has disconnected must be cancelled before it.
        await checkpoint_if_cancelled()
        self._check_usable(identity.request_id)
        self._attribution.record_request(identity.request_id)
        self.requests += 1
        self._discarded_bytes = 0
        self._method = head.method
        self._is_sent = False
        if len(packed) > MAX_BUFFERED_BYTES:
            return await self._exchange_long(packed, identity)
        await self._write(packed)
        self._is_sent = True
        return await self._read_head(identity)

    def _check_usable(self, request_id: str) -> None:
        """Check that the response to a request can be told from what came before."""
        if self._unread or self._stream.has_news:
            raise NotSentError(
                f"{self.address}: bytes or an end before the request", is_lost=False
            )
        if not self.may_carry(request_id):
            raise NotSentError(
                f"{self.address}: the connection has carried {request_id!r} before",
                is_lost=False,
            )

    async def _exchange_long(
        self, packed: bytes, identity: RequestIdentity
    ) -> ResponseHead:
        # A server may reject a long body before it has read it, and close the
        # connection. The write then fails and unread bytes are lost, among them the
        # response that proves that the call was not run. The response is therefore
        # read while the body is written. If the connection stays open, the server
        # still reads the rest of the body.
        response: ResponseHead | None = None
        broken: ConnectionBrokenError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_long, packed)
            try:
                response = await self._read_head(identity)
            except ConnectionBrokenError as error:
                broken = error
            if broken or not self._is_persistent:
                tasks.cancel_scope.cancel()
        if response is None:
            raise broken or ConnectionBrokenError(
                f"{self.address}: connection ended without a response"
            )
        return response

    async def _write_long(self, packed: bytes) -> None:
        try:
            await self._write(packed)
        except ConnectionBrokenError:
            # The reader determines whether a response arrived before.
            self._is_persistent = False
            return
        self._is_sent = True

    async def call(
        self, request: WireRequest, max_body_bytes: int = MAX_BODY_BYTES
    ) -> tuple[ResponseHead, bytes]:
        """Send a request of this daemon and read the complete response.

        Raises
        ------
        NotSentError
            See `exchange`.
        ConnectionBrokenError
            If the connection broke before the end of the response, or if its body is
            longer than ``max_body_bytes``.
        """
        head = await self.exchange(request.head, request.body)
        body = bytearray()
        async for part in self.read_body(max_body_bytes):
            body += part
        return head, bytes(body)

    async def _write(self, packed: bytes) -> None:
        try:
            await self._stream.send(packed)
        except OSError as error:
            raise ConnectionBrokenError(f"{self.address}: {error!r}") from error

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive()
        except OSError as error:
            raise ConnectionBrokenError(f"{self.address}: {error!r}") from error

    async def _read_head(self, identity: RequestIdentity) -> ResponseHead:
        """Read the head of the response to the request that was sent.

        A server may respond to an earlier request a second time before it responds to
        this one; such a response is read to its end and discarded.
        """
        while True:
            head = await self._read_final_head()
            named_id = identity.read_id(head.headers)
            attribution = self._attribution.attribute(named_id)
            if attribution is Attribution.CURRENT:
                return head
            if attribution is Attribution.UNKNOWN:
                raise ConnectionBrokenError(
                    f"{self.address}: status {head.status} may be the response to "
                    "another request"
                )
            self.discarded += 1
            async for part in self.read_body(MAX_DISCARDED_BYTES):
                self._count_discarded(len(part))

    def _count_discarded(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            raise ConnectionBrokenError(
                f"{self.address}: {self._discarded_bytes} bytes before the response"
            )

    async def _read_final_head(self) -> ResponseHead:
        while True:
            block = await self._read_head_block()
            try:
                head, framing = read_response_head(block)
            except HeadError as error:
                raise ConnectionBrokenError(f"{self.address}: {error}") from error
            if head.status == SWITCHING_PROTOCOLS:
                raise ConnectionBrokenError(
                    f"{self.address}: unexpected protocol switch"
                )
            self._count_discarded(len(block))
            if head.status < 200:
                continue
            self._is_persistent = self._is_persistent and not framing.closes
            self._body = response_body(self._method, head.status, framing)
            self._update_keep_alive(head.headers)
            return head

    async def _read_head_block(self) -> bytes:
        searched = 0
        while True:
            end = self._unread.find(END_OF_HEAD, searched)
            if end >= 0:
                break
            if len(self._unread) > MAX_HEAD_BYTES:
                raise ConnectionBrokenError(f"{self.address}: response head too large")
            searched = max(0, len(self._unread) - len(END_OF_HEAD) + 1)
            chunk = await self._receive()
            if not chunk:
                raise ConnectionBrokenError(
                    f"{self.address}: closed before the response"
                )
            self._unread += chunk
        end += len(END_OF_HEAD)
        block, self._unread = self._unread[:end], self._unread[end:]
        return block

    def _update_keep_alive(self, headers: Headers) -> None:
        keep_alive = get_header(headers, b"keep-alive")
        found = _TIMEOUT.search(keep_alive) if keep_alive else None
        stated_s = float(found[1]) if found else DEFAULT_KEEP_ALIVE_S
        self._keep_alive_s = min(stated_s, MAX_KEEP_ALIVE_S)

    async def read_body(
        self, max_bytes: float = math.inf
    ) -> AsyncGenerator[bytes, None]:
        """Yield the parts of the response body until its end is certain.

        Parameters
        ----------
        max_bytes : float
            Most bytes that are read, including the framing of the body.

        Raises
        ------
        ConnectionBrokenError
            If the body is truncated or too long.
        """
        body, size = self._body, 0
        while not body.is_complete:
            if size > max_bytes:
                raise ConnectionBrokenError(
                    f"{self.address}: a body of over {max_bytes} bytes"
                )
            data, self._unread = self._unread, b""
            if not data:
                data = await self._receive()
            if not data:
                self._finish_body(body)
                return
            size += len(data)
            part = self._decode(body, data)
            if part:
                yield part

    def _decode(self, body: BodyDecoder, data: bytes) -> bytes:
        try:
            part = body.feed(data)
        except BodyError as error:
            raise ConnectionBrokenError(f"{self.address}: {error}") from error
        if body.is_complete:
            # Another response, or bytes that belong to none.
            self._unread = body.rest
        return part

    def _finish_body(self, body: BodyDecoder) -> None:
        try:
            body.end()
        except BodyError as error:
            raise ConnectionBrokenError(
                f"{self.address}: truncated response"
            ) from error
        self._is_persistent = False

    def end_exchange(self, now_s: float) -> bool:
        """Prepare for the next request; return False if the connection must be closed.

        Bytes that follow a complete response belong to no request, so a connection
        that has received such bytes is not reused. Neither is one on which the response
        to another request could not be recognized.
        """
        is_clean = not (self._unread or self._stream.has_news)
        is_complete = self._body.is_complete and self._is_sent
        if not (is_clean and is_complete and self._is_persistent):
            return False
        if self._attribution.is_exhausted:
            return False
        self.idle_until_s = now_s + KEEP_ALIVE_SHARE * self._keep_alive_s
        return True

    def mark_unused(self, now_s: float) -> None:
        """Start the idle timeout of a connection on which nothing was sent yet."""
        self.idle_until_s = now_s + KEEP_ALIVE_SHARE * self._keep_alive_s

    @property
    def has_news(self) -> bool:
        """Whether bytes or the end of the connection have arrived."""
        return self._stream.has_news

    def is_silent(self) -> bool:
        """Return whether an idle connection has neither ended nor received bytes."""
        if self._stream.has_news:
            return False
        poll = select.poll()
        try:
            poll.register(self._stream.fileno(), select.POLLIN | select.POLLHUP)
        except (OSError, ValueError):
            return False
        return not poll.poll(0)

    async def aclose(self) -> None:
        """Close the connection and discard unsent data."""
        self._stream.close()
