"""Encoding of responses to callers, with a framing that the request allows."""

from knapweedbridge_daemon.serving.http_heads import Framing, has_no_body, pack_head
from knapweedbridge_daemon.serving.wire import Headers, ResponseHead, connection_options


class ResponsePacker:
    """Encodes one response: its head, the parts of its body, and its end.

    Parameters
    ----------
    method : bytes
        Method of the request.
    framing : Framing
        Framing of the request, which tells how its connection continues.
    """

    def __init__(self, method: bytes, framing: Framing) -> None:
        self._method = method
        self._is_http10 = framing.is_http10
        self._closes = framing.closes
        self._has_body = True
        self._is_chunked = False
        self._remaining: int | None = None
        self._begun = False
        self._ended = False
        self.ends_by_close = False

    @property
    def is_cut(self) -> bool:
        """Whether a response was started and is not complete."""
        return self._begun and not self._ended

    @property
    def keeps(self) -> bool:
        """Whether the connection may carry another request."""
        return self._ended and not self._closes

    def head(self, head: ResponseHead, closing: bool) -> bytes:
        """Encode the head.

        Parameters
        ----------
        closing : bool
            Whether the connection is closed after this response.
        """
        self._begun = True
        self._has_body = not has_no_body(self._method, head.status)
        headers, length, has_coding = self._split_framing(head.headers)
        self._closes = self._closes or closing
        self._add_framing(head, headers, length, has_coding)
        if self._closes:
            headers = [pair for pair in headers if pair[0].lower() != b"connection"]
            headers.append((b"Connection", b"close"))
        return pack_head(b"HTTP/1.1 %d %b" % (head.status, head.reason), headers)

    def _split_framing(self, given: Headers) -> tuple[Headers, int | None, bool]:
        """Return the headers without framing, the length, and if there is a coding."""
        headers: Headers = []
        length = None
        has_coding = False
        for pair in given:
            name = pair[0].lower()
            if name == b"content-length":
                length = int(pair[1])
                continue
            if name == b"transfer-encoding":
                has_coding = True
                continue
            if name == b"connection" and b"close" in connection_options([pair]):
                self._closes = True
            headers.append(pair)
        return headers, length, has_coding

    def _add_framing(
        self, head: ResponseHead, headers: Headers, length: int | None, has_coding: bool
    ) -> None:
        if length is not None and not has_coding:
            headers.append((b"Content-Length", b"%d" % length))
            self._remaining = length
        elif not self._has_body and self._method != b"HEAD":
            return
        elif not self._is_http10:
            headers.append((b"Transfer-Encoding", b"chunked"))
            self._is_chunked = True
        elif self._has_body:
            self.ends_by_close = True
            self._closes = True

    def data(self, data: bytes) -> bytes:
        """Encode a part of the body.

        Raises
        ------
        ValueError
            If the body becomes longer than its Content-Length.
        """
        if not (data and self._has_body):
            return b""
        if self._is_chunked:
            return b"%x\r\n%b\r\n" % (len(data), data)
        if self._remaining is not None:
            self._remaining -= len(data)
            if self._remaining < 0:
                raise ValueError("body is longer than its Content-Length")
        return data

    def end(self) -> bytes:
        """Encode the end of the response.

        Raises
        ------
        ValueError
            If the body is shorter than its Content-Length.
        """
        if self._has_body and self._remaining:
            raise ValueError("body is shorter than its Content-Length")
        self._ended = True
        return b"0\r\n\r\n" if self._is_chunked and self._has_body else b""
