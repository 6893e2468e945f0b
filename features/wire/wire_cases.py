"""Byte sequences that callers and endpoints may send, by name."""

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"

REQUESTS = {
    "a request": GET + b"X: \t a b \t\r\nEmpty:\r\n\r\n",
    "two at once": GET + b"\r\n" + POST + b"Content-Length: 3\r\n\r\nabc",
    "a body": POST + b"Content-Length: 5\r\n\r\nhello",
    "chunks": POST + CHUNKED + b"3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
    "chunks with a trailer": POST + CHUNKED + b"3\r\nabc\r\n0\r\nX: y\r\n\r\n",
    "chunks, then a request": POST + CHUNKED + b"1\r\na\r\n0\r\n\r\n" + GET + b"\r\n",
    "a method of its own": b"BREW /a HTTP/1.1\r\nHost: h\r\n\r\n",
    "an offered upgrade": GET + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n",
    "bytes over 127 in a value": GET + b"X: \xe9\xff\r\n\r\n",
    "a close": GET + b"Connection: close\r\n\r\n" + GET + b"\r\n",
    "HTTP/1.0": b"GET /a HTTP/1.0\r\n\r\n",
    "a wait for 100": POST + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\na",
    "a length twice": POST + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
    "two lengths": POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "a length and chunks": POST + b"Content-Length: 1\r\n" + CHUNKED + b"0\r\n\r\n",
    "chunks and a length": POST + CHUNKED[:-2] + b"Content-Length: 1\r\n\r\n0\r\n\r\n",
    "a signed length": POST + b"Content-Length: +1\r\n\r\na",
    "another coding": POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "two codings": POST + CHUNKED[:-2] + CHUNKED + b"0\r\n\r\n",
    "a chunk without a length": POST + CHUNKED + b"x\r\nabc\r\n0\r\n\r\n",
    "a chunk's length as 0x1": POST + CHUNKED + b"0x1\r\na\r\n0\r\n\r\n",
    "a chunk that is too long": POST + CHUNKED + b"1\r\nabc\r\n0\r\n\r\n",
    "a bad trailer": POST + CHUNKED + b"0\r\nX y\r\n\r\n",
    "a null in a value": GET + b"X: a\0b\r\n\r\n",
    "a return in a value": GET + b"X: a\rb\r\n\r\n",
    "a control character": GET + b"X: a\x01b\r\n\r\n",
    "a bad name": GET + b"X(: a\r\n\r\n",
    "a space before the colon": GET + b"X : a\r\n\r\n",
    "no name": GET + b": a\r\n\r\n",
    "no colon": GET + b"X\r\n\r\n",
    "a folded line": GET + b"X: a\r\n b\r\n\r\n",
    "a folded first line": b"GET /a HTTP/1.1\r\n X: a\r\nHost: h\r\n\r\n",
    "line ends without a return": b"GET /a HTTP/1.1\nHost: h\n\n",
    "no Host": b"GET /a HTTP/1.1\r\n\r\n",
    "two Hosts": GET + b"Host: i\r\n\r\n",
    "two spaces": b"GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
    "no version": b"GET /a\r\nHost: h\r\n\r\n",
    "a space in the target": b"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
    "an empty first line": b"\r\n" + GET + b"\r\n",
    "no HTTP": b"\x16\x03\x01 hello\r\n\r\n",
    "a head over the limit": GET + b"X: " + b"a" * 20000 + b"\r\n\r\n",
    "a body over the limit": POST + b"Content-Length: 2000\r\n\r\n" + b"x" * 2000,
    "chunks over the limit": POST
    + CHUNKED
    + b"7d0\r\n"
    + b"x" * 2000
    + b"\r\n0\r\n\r\n",
    "half a head": GET[:-5],
    "half a body": POST + b"Content-Length: 5\r\n\r\nhe",
}

RESPONSES = {
    "a length": OK + b"Content-Length: 3\r\n\r\nabc",
    "chunks": OK + CHUNKED + b"1\r\na\r\n2;x\r\nbc\r\n0\r\nX: y\r\n\r\n",
    "no body": b"HTTP/1.1 204 None\r\n\r\n",
    "no reason": b"HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc",
    "no length": OK + b"\r\nabc",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    "a close": OK + b"Connection: close\r\nContent-Length: 3\r\n\r\nabc",
    "an early hint": b"HTTP/1.1 103 Hint\r\nX: y\r\n\r\n"
    + OK
    + b"Content-Length: 0\r\n\r\n",
    "another's first": OK
    + b"Request-Id: other\r\nContent-Length: 2\r\n\r\nno"
    + OK
    + b"Request-Id: mine\r\nContent-Length: 3\r\n\r\nabc",
    "another's alone": OK + b"Request-Id: other\r\nContent-Length: 2\r\n\r\nno",
    "bytes after the end": OK + b"Content-Length: 3\r\n\r\nabcd",
    "a line end after the end": OK + CHUNKED + b"3\r\nabc\r\n0\r\n\r\n\r\n",
    "a body that is cut": OK + b"Content-Length: 4\r\n\r\nabc",
    "chunks that are cut": OK + CHUNKED + b"3\r\nabc\r\n",
    "a last chunk that is cut": OK + CHUNKED + b"3\r\nabc\r\n0\r\n",
    "a head that is cut": OK + b"Content-Le",
    "nothing": b"",
    "a length and chunks": OK + b"Content-Length: 3\r\n" + CHUNKED + b"0\r\n\r\n",
    "two lengths": OK + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "another coding": OK + b"Transfer-Encoding: gzip\r\n\r\nabc",
    "a chunk without a length": OK + CHUNKED + b"x\r\nabc\r\n0\r\n\r\n",
    "a null in a value": OK + b"X: a\0b\r\nContent-Length: 0\r\n\r\n",
    "a bad name": OK + b"X(: a\r\nContent-Length: 0\r\n\r\n",
    "a folded line": OK + b"X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
    "a status of two digits": b"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
    "a change of protocol": b"HTTP/1.1 101 S\r\nUpgrade: x\r\n"
    b"Connection: upgrade\r\n\r\n",
    "no HTTP": b"SSH-2.0-server\r\n\r\n",
    "a head without an end": OK + b"X: " + b"a" * 70000,
}
