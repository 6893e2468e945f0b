"""One connection to an HTTP/1.1 server, under the forwarding code's own control.

A client library hides what decides here whether a call may be sent again: if any
byte of it was written, whether an answer belongs to it, and whether a body without a
length ended or was reset. So this speaks by httptools over the event loop's transports.
"""

import re
import select
from collections.abc import AsyncGenerator, Callable

import anyio
from anyio.lowlevel import checkpoint_if_cancelled

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

IDLE_DEFAULT_S = 4.0
"""Idle life of a kept connection whose server names none."""

IDLE_SHARE = 0.6
"""Share of the server's idle time-out that a connection is kept for: a request must
not cross the server's close, after which nobody can tell whether it was run."""

MOST_HEAD_BYTES = 65536
BUFFERED_BYTES = 65536
"""What is written at once: the event loop buffers as much without waiting for the
server. Only longer requests are written while their answer is read."""

SWITCHING_STATUS = 101

_TIMEOUT = re.compile(r"timeout=(\d+)")

Belongs = Callable[[Headers], bool]


class NotSentError(DaemonError):
    """No byte of the request was written: it cannot have run.

    Attributes
    ----------
    is_lost : bool
        Whether the endpoint is gone, as far as can be told from this host.
    """

    def __init__(self, message: str, is_lost: bool = True) -> None:
        super().__init__(message)
        self.is_lost = is_lost


class ConnectionBrokenError(DaemonError):
    """The connection broke, or what came is no answer; the request may have run."""


class ClientConnection:
    """One connection to a server, for one request at a time.

    Parameters
    ----------
    stream : ClientStream
        The connection, which this owns.
    address : str
        Where it leads.
    """

    def __init__(self, stream: ClientStream, address: str) -> None:
        self.address = address
        self.forwarder = stream.forwarder
        self.requests = 0
        self.idle_until_s = 0.0
        self._stream = stream
        self._method = b""
        self._unread = b""
        self._body: BodyDecoder = LengthBody(0)
        self._keep_s = IDLE_DEFAULT_S
        self._sent_whole = False
        self._keeps = True

    async def exchange(
        self, head: RequestHead, body: bytes, belongs: Belongs
    ) -> ResponseHead:
        """Write a request, and read the head of its answer.

        Raises
        ------
        NotSentError
            If it cannot be written as a request.
        ConnectionBrokenError
            If the connection broke without an answer; part of the request may have
            been written.
        """
        try:
            packed = pack_request(head, body)
        except HeadError as error:
            raise NotSentError(f"{self.address}: {error}") from error
        # A write is not a turn of the event loop: a call whose time is over, or whose
        # caller has left, must not be sent by it.
        await checkpoint_if_cancelled()
        self.requests += 1
        self._method = head.method
        self._sent_whole = False
        if len(packed) > BUFFERED_BYTES:
            return await self._exchange_long(packed, belongs)
        await self._write(packed)
        self._sent_whole = True
        return await self._read_head(belongs)

    async def _exchange_long(self, packed: bytes, belongs: Belongs) -> ResponseHead:
        # A server may refuse a long body before it has read it, and close. The write
        # then breaks, and what was not read by then is lost: the answer that proves
        # that the call was not run. So it is read while the body is written. Where
        # the connection is kept, the server still reads the rest as a body.
        answer: ResponseHead | None = None
        broken: ConnectionBrokenError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_long, packed)
            try:
                answer = await self._read_head(belongs)
            except ConnectionBrokenError as error:
                broken = error
            if broken or not self._keeps:
                tasks.cancel_scope.cancel()
        if answer is None:
            raise broken or ConnectionBrokenError(f"{self.address}: no answer")
        return answer

    async def _write_long(self, packed: bytes) -> None:
        try:
            await self._write(packed)
        except ConnectionBrokenError:
            # Whether an answer came before, the reader tells.
            self._keeps = False
            return
        self._sent_whole = True

    async def call(self, request: WireRequest) -> tuple[ResponseHead, bytes]:
        """Exchange a request of our own, and read the whole answer.

        Raises
        ------
        ConnectionBrokenError
            If the connection broke before the answer's end.
        """
        head = await self.exchange(request.head, request.body, lambda headers: True)
        parts = [part async for part in self.read_body()]
        return head, b"".join(parts)

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

    async def _read_head(self, belongs: Belongs) -> ResponseHead:
        """Read the head of the answer to the request that was sent.

        A server may answer an earlier request a second time, where this one's answer
        is due; such an answer is read to its end and dropped.
        """
        while True:
            head = await self._next_head()
            if belongs(head.headers):
                return head
            async for _ in self.read_body():
                pass

    async def _next_head(self) -> ResponseHead:
        while True:
            block = await self._head_block()
            try:
                head, framing = read_response_head(block)
            except HeadError as error:
                raise ConnectionBrokenError(f"{self.address}: {error}") from error
            if head.status == SWITCHING_STATUS:
                raise ConnectionBrokenError(f"{self.address}: changed its protocol")
            if head.status < 200:
                continue
            self._keeps = self._keeps and not framing.closes
            self._body = response_body(self._method, head.status, framing)
            self._note_keeping(head.headers)
            return head

    async def _head_block(self) -> bytes:
        searched = 0
        while True:
            end = self._unread.find(END_OF_HEAD, searched)
            if end >= 0:
                break
            if len(self._unread) > MOST_HEAD_BYTES:
                raise ConnectionBrokenError(f"{self.address}: a head without an end")
            searched = max(0, len(self._unread) - len(END_OF_HEAD) + 1)
            chunk = await self._receive()
            if not chunk:
                raise ConnectionBrokenError(f"{self.address}: closed before its answer")
            self._unread += chunk
        end += len(END_OF_HEAD)
        block, self._unread = self._unread[:end], self._unread[end:]
        return block

    def _note_keeping(self, headers: Headers) -> None:
        named = get_header(headers, b"keep-alive")
        found = _TIMEOUT.search(named) if named else None
        self._keep_s = float(found[1]) if found else IDLE_DEFAULT_S

    async def read_body(self) -> AsyncGenerator[bytes, None]:
        """Yield the answer's body as it comes, to its proved end.

        Raises
        ------
        ConnectionBrokenError
            If it was cut before its end.
        """
        body = self._body
        while not body.is_complete:
            data, self._unread = self._unread, b""
            if not data:
                data = await self._receive()
            if not data:
                self._end_body(body)
                return
            part = self._decode(body, data)
            if part:
                yield part

    def _decode(self, body: BodyDecoder, data: bytes) -> bytes:
        try:
            part = body.feed(data)
        except BodyError as error:
            raise ConnectionBrokenError(f"{self.address}: {error}") from error
        if body.is_complete:
            # Another answer, or bytes that belong to none.
            self._unread = body.rest
        return part

    def _end_body(self, body: BodyDecoder) -> None:
        try:
            body.end()
        except BodyError as error:
            raise ConnectionBrokenError(f"{self.address}: cut in its answer") from error
        self._keeps = False

    def end_exchange(self, now_s: float) -> bool:
        """Make ready for the next request; False where it must be closed.

        Bytes that follow a whole answer belong to no request, so a connection with
        such bytes is not used again.
        """
        clean = not (self._unread or self._stream.has_news)
        whole = self._body.is_complete and self._sent_whole
        if not (clean and whole and self._keeps):
            return False
        self.idle_until_s = now_s + IDLE_SHARE * self._keep_s
        return True

    def note_unused(self, now_s: float) -> None:
        """Make ready for the first request later than now."""
        self.idle_until_s = now_s + IDLE_SHARE * self._keep_s

    def is_silent(self) -> bool:
        """Tell whether an idle connection has neither ended nor sent bytes."""
        if self._stream.has_news:
            return False
        poll = select.poll()
        try:
            poll.register(self._stream.fileno(), select.POLLIN | select.POLLHUP)
        except (OSError, ValueError):
            return False
        return not poll.poll(0)

    async def aclose(self) -> None:
        """Close the connection; what it still carried is lost."""
        self._stream.close()
