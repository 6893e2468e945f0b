"""The bytes of one response to a caller, framed as its request allows."""

from knapweedbridge_daemon.serving.http_heads import Framing, has_no_body, pack_head
from knapweedbridge_daemon.serving.wire import Headers, ResponseHead, connection_options


class ResponsePacker:
    """Packs one response: its head, the parts of its body, its end.

    Parameters
    ----------
    method : bytes
        Method of the request.
    framing : Framing
        What the request's head told of its connection.
    """

    def __init__(self, method: bytes, framing: Framing) -> None:
        self._method = method
        self._is_http10 = framing.is_http10
        self._closes = framing.closes
        self._has_body = True
        self._is_chunked = False
        self._left: int | None = None
        self._begun = False
        self._ended = False
        self.ends_by_close = False

    @property
    def is_cut(self) -> bool:
        """Whether a response was begun and has not come to its end."""
        return self._begun and not self._ended

    @property
    def keeps(self) -> bool:
        """Whether the connection may carry another request."""
        return self._ended and not self._closes

    def head(self, head: ResponseHead, closing: bool) -> bytes:
        """Pack the head.

        Parameters
        ----------
        closing : bool
            Whether the connection ends after this response.
        """
        self._begun = True
        self._has_body = not has_no_body(self._method, head.status)
        headers, length, is_coded = self._own_headers(head.headers)
        self._closes = self._closes or closing
        self._frame(head, headers, length, is_coded)
        if self._closes:
            headers = [pair for pair in headers if pair[0].lower() != b"connection"]
            headers.append((b"Connection", b"close"))
        return pack_head(b"HTTP/1.1 %d %b" % (head.status, head.reason), headers)

    def _own_headers(self, given: Headers) -> tuple[Headers, int | None, bool]:
        """Return the headers without their framing, and what it was."""
        headers: Headers = []
        length = None
        is_coded = False
        for pair in given:
            name = pair[0].lower()
            if name == b"content-length":
                length = int(pair[1])
                continue
            if name == b"transfer-encoding":
                is_coded = True
                continue
            if name == b"connection" and b"close" in connection_options([pair]):
                self._closes = True
            headers.append(pair)
        return headers, length, is_coded

    def _frame(
        self, head: ResponseHead, headers: Headers, length: int | None, is_coded: bool
    ) -> None:
        if length is not None and not is_coded:
            headers.append((b"Content-Length", b"%d" % length))
            self._left = length
        elif not self._has_body and self._method != b"HEAD":
            return
        elif not self._is_http10:
            headers.append((b"Transfer-Encoding", b"chunked"))
            self._is_chunked = True
        elif self._has_body:
            self.ends_by_close = True
            self._closes = True

    def data(self, data: bytes) -> bytes:
        """Pack a part of the body; raises ValueError beyond its told length."""
        if not (data and self._has_body):
            return b""
        if self._is_chunked:
            return b"%x\r\n%b\r\n" % (len(data), data)
        if self._left is not None:
            self._left -= len(data)
            if self._left < 0:
                raise ValueError("a body that is longer than its head tells")
        return data

    def end(self) -> bytes:
        """Pack the end; raises ValueError before the body's told length."""
        if self._has_body and self._left:
            raise ValueError("a body that is shorter than its head tells")
        self._ended = True
        return b"0\r\n\r\n" if self._is_chunked and self._has_body else b""
