"""Reader for the requests on a caller's connection."""

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
    """Raised for an invalid request, after which the connection is closed.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


@dataclass(slots=True, frozen=True)
class ReceivedRequest:
    """Complete request.

    Parameters
    ----------
    head : RequestHead
        Request line and headers.
    body : bytes
        Decoded body.
    received_s : float
        Time at which the head was read, on the event loop's clock.
    sender : str
        Network address of the sender, without a port; empty if unknown.
    """

    head: RequestHead
    body: bytes
    received_s: float
    sender: str = ""


class RequestReader:
    """Reads requests one after another, including pipelined ones.

    Parameters
    ----------
    stream : ByteStream
        Connection of the caller.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._unread = b""

    @property
    def has_unread(self) -> bool:
        """Whether bytes of the next request were received with the last one."""
        return bool(self._unread)

    async def await_request(self, limits: RequestLimits) -> bool:
        """Wait for the first bytes of a request; return False if none arrive."""
        try:
            self._unread = await self._receive(limits.idle_timeout_s)
        except TimeoutError:
            return False
        return bool(self._unread)

    async def read(
        self, limits: RequestLimits
    ) -> tuple[ReceivedRequest, Framing] | None:
        """Read a request whose first bytes were received.

        Returns
        -------
        request, framing : ReceivedRequest, Framing
            The request; None instead of both if the caller disconnected.

        Raises
        ------
        BadRequestError
            If the request is invalid, too large or not received in time.
        """
        block = await self._read_head_block(limits)
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
        return ReceivedRequest(head, body, received_s, self._stream.peer_host), framing

    async def _receive(self, within_s: float) -> bytes:
        """Receive bytes; return none if the connection ended in any way."""
        try:
            return await self._stream.receive_by(loop_time_s() + within_s)
        except ConnectionError:
            return b""

    async def _read_head_block(self, limits: RequestLimits) -> bytes | None:
        deadline_s: float | None = None
        searched = 0
        while True:
            if self._unread[0] < FIRST_PRINTABLE:
                raise BadRequestError(400, "not an HTTP/1.1 request")
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
            deadline_s = deadline_s or now_s + limits.header_timeout_s
            try:
                chunk = await self._receive(deadline_s - now_s)
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
                await self._stream.send(CONTINUE)
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
