"""Reader for the requests on a caller's connection."""

from contextlib import suppress
from dataclasses import dataclass

import anyio

from knapweedbridge_core.serving import RequestLimits
from knapweedbridge_daemon.serving.body_reception import BodyReception
from knapweedbridge_daemon.serving.byte_stream import ByteStream
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_bodies import BodyDecoder, BodyError
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


class OverloadedError(BadRequestError):
    """Raised for a request that is not read because too much is held.

    Attributes
    ----------
    reason : str
        What there is too much of, for the response.
    """

    reason: str = "overloaded"

    def __init__(self, message: str) -> None:
        super().__init__(503, message)


class NoMemoryError(OverloadedError):
    """Raised for a request whose body cannot be received for lack of memory."""

    reason = "no_memory"


class NoTurnError(OverloadedError):
    """Raised for a body of tiny chunks while others are decoded."""

    reason = "no_turn"


class NoConnectionError(OverloadedError):
    """Raised on a connection for which there is no room."""

    reason = "no_connection"


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
    reception : BodyReception
        Counts the bodies of all connections while they are received.
    """

    def __init__(self, stream: ByteStream, reception: BodyReception) -> None:
        self._stream = stream
        self._reception = reception
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
        announced_bytes = framing.length or 0
        if announced_bytes > limits.body_bytes:
            raise BadRequestError(413, "the body is too large")
        if announced_bytes and self._reception.must_refuse(announced_bytes):
            raise NoMemoryError("no memory for the body")
        if framing.expects_continue:
            with suppress(ConnectionError):
                await self._stream.send(CONTINUE)
        decoder = request_body(framing)
        data, self._unread = self._unread, b""
        if not decoder.is_complete or data:
            first = self._decode(decoder, data, limits.body_bytes)
            if not decoder.is_complete:
                return await self._receive_body(decoder, first, limits)
            self._unread = decoder.rest
            return first
        return b""

    async def _receive_body(
        self, decoder: BodyDecoder, first: bytes, limits: RequestLimits
    ) -> bytes | None:
        """Receive a body that did not come with its head; it may be evicted."""
        with anyio.CancelScope() as scope:
            with self._reception.body(self._stream.peer_host, scope.cancel) as body:
                received = bytearray()
                part = first
                while True:
                    received += part
                    if part and not body.grow(len(part)):
                        raise NoMemoryError("no memory for the body")
                    if decoder.is_complete:
                        self._unread = decoder.rest
                        return bytes(received)
                    if decoder.has_more:
                        if not await body.await_turn():
                            raise NoTurnError("too many bodies of tiny chunks")
                        data = b""
                    else:
                        data = await self._receive_part(limits.idle_timeout_s)
                        if not data:
                            return None
                    most_bytes = limits.body_bytes - len(received)
                    part = self._decode(decoder, data, most_bytes)
        raise NoMemoryError("the body gave way to others")

    async def _receive_part(self, within_s: float) -> bytes:
        try:
            return await self._receive(within_s)
        except TimeoutError:
            raise BadRequestError(408, "the body took too long") from None

    @staticmethod
    def _decode(decoder: BodyDecoder, data: bytes, most_bytes: int) -> bytes:
        try:
            part = decoder.step(data)
        except BodyError as error:
            raise BadRequestError(400, str(error)) from error
        if len(part) > most_bytes:
            raise BadRequestError(413, "the body is too large")
        return part
