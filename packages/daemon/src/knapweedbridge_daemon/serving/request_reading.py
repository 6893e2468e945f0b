"""Reads the requests of one caller's connection, whole."""

from contextlib import suppress
from dataclasses import dataclass

from knapweedbridge_core.serving import RequestLimits
from knapweedbridge_daemon.serving.byte_stream import ByteStream
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_bodies import BodyError
from knapweedbridge_daemon.serving.http_heads import (
    END_OF_HEAD,
    Framing,
    HeadError,
    read_request_head,
    request_body,
)
from knapweedbridge_daemon.serving.wire import RequestHead

FIRST_PRINTABLE = 0x21
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BadRequestError(Exception):
    """A request that cannot be read; it is answered and its connection closed.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


@dataclass(slots=True, frozen=True)
class ReceivedRequest:
    """A request, whole.

    Parameters
    ----------
    head : RequestHead
        Its first part.
    body : bytes
        Its body.
    received_s : float
        When its head was read, on the daemon's clock.
    sender : str
        Network address that it came from, without a port; empty where that is unknown.
    """

    head: RequestHead
    body: bytes
    received_s: float
    sender: str = ""


class RequestReader:
    """Reads requests one after another; what comes early is the next one's.

    Parameters
    ----------
    wire : ByteStream
        The caller's connection.
    """

    def __init__(self, wire: ByteStream) -> None:
        self._wire = wire
        self._unread = b""

    @property
    def has_unread(self) -> bool:
        """Whether bytes of a next request came with the last one."""
        return bool(self._unread)

    async def await_first(self, limits: RequestLimits) -> bool:
        """Wait for a request's first bytes; False where none come."""
        try:
            self._unread = await self._receive(limits.idle_timeout_s)
        except TimeoutError:
            return False
        return bool(self._unread)

    async def read(
        self, limits: RequestLimits
    ) -> tuple[ReceivedRequest, Framing] | None:
        """Read a request whose first bytes came; None where the caller left.

        Raises
        ------
        BadRequestError
            If it cannot be read.
        """
        block = await self._head_block(limits)
        if block is None:
            return None
        try:
            head, framing = read_request_head(block)
        except HeadError as error:
            raise BadRequestError(error.status, str(error)) from error
        received_s = loop_time_s()
        body = await self._read_body(framing, limits)
        if body is None:
            return None
        return ReceivedRequest(head, body, received_s, self._wire.peer_host), framing

    async def _receive(self, within_s: float) -> bytes:
        """Receive; nothing is returned where the connection ended in any way."""
        try:
            return await self._wire.receive_by(loop_time_s() + within_s)
        except ConnectionError:
            return b""

    async def _head_block(self, limits: RequestLimits) -> bytes | None:
        due_s: float | None = None
        searched = 0
        while True:
            if self._unread[0] < FIRST_PRINTABLE:
                raise BadRequestError(400, "no request of HTTP/1.1")
            end = self._unread.find(END_OF_HEAD, searched)
            size = end if end >= 0 else len(self._unread)
            if size > limits.header_bytes:
                raise BadRequestError(431, "the head is too large")
            if end >= 0:
                break
            if b"\n\n" in self._unread:
                raise BadRequestError(400, "line ends without a carriage return")
            searched = max(0, len(self._unread) - len(END_OF_HEAD) + 1)
            now_s = loop_time_s()
            due_s = due_s or now_s + limits.header_timeout_s
            try:
                chunk = await self._receive(due_s - now_s)
            except TimeoutError:
                raise BadRequestError(408, "the head took too long") from None
            if not chunk:
                return None
            self._unread += chunk
        end += len(END_OF_HEAD)
        block, self._unread = self._unread[:end], self._unread[end:]
        return block

    async def _read_body(self, framing: Framing, limits: RequestLimits) -> bytes | None:
        if (framing.length or 0) > limits.body_bytes:
            raise BadRequestError(413, "the body is too large")
        if framing.expects_continue:
            with suppress(ConnectionError):
                await self._wire.send(CONTINUE)
        body = request_body(framing)
        parts: list[bytes] = []
        size = 0
        while not body.is_complete:
            data, self._unread = self._unread, b""
            try:
                data = data or await self._receive(limits.idle_timeout_s)
                part = body.feed(data)
            except TimeoutError:
                raise BadRequestError(408, "the body took too long") from None
            except BodyError as error:
                raise BadRequestError(400, str(error)) from error
            if not data:
                return None
            parts.append(part)
            size += len(part)
            if size > limits.body_bytes:
                raise BadRequestError(413, "the body is too large")
            if body.is_complete:
                self._unread = body.rest
        return parts[0] if len(parts) == 1 else b"".join(parts)
