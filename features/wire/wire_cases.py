"""Byte sequences sent by callers and endpoints, by name."""

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"

REQUESTS = {
    "a request": GET + b"X: \t a b \t\r\nEmpty:\r\n\r\n",
    "two pipelined requests": GET + b"\r\n" + POST + b"Content-Length: 3\r\n\r\nabc",
    "a body with a length": POST + b"Content-Length: 5\r\n\r\nhello",
    "a chunked body": POST + CHUNKED + b"3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
    "a chunked body with a trailer": POST + CHUNKED + b"3\r\nabc\r\n0\r\nX: y\r\n\r\n",
    "a chunked body, then a request": POST
    + CHUNKED
    + b"1\r\na\r\n0\r\n\r\n"
    + GET
    + b"\r\n",
    "a custom method": b"BREW /a HTTP/1.1\r\nHost: h\r\n\r\n",
    "an upgrade offer": GET + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n",
    "non-ASCII bytes in a value": GET + b"X: \xe9\xff\r\n\r\n",
    "Connection: close": GET + b"Connection: close\r\n\r\n" + GET + b"\r\n",
    "HTTP/1.0": b"GET /a HTTP/1.0\r\n\r\n",
    "Expect: 100-continue": POST
    + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\na",
    "the same Content-Length twice": POST
    + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
    "two Content-Lengths": POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "Content-Length, then chunked": POST
    + b"Content-Length: 1\r\n"
    + CHUNKED
    + b"0\r\n\r\n",
    "chunked, then Content-Length": POST
    + CHUNKED[:-2]
    + b"Content-Length: 1\r\n\r\n0\r\n\r\n",
    "a signed Content-Length": POST + b"Content-Length: +1\r\n\r\na",
    "an unsupported coding": POST
    + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "two transfer codings": POST + CHUNKED[:-2] + CHUNKED + b"0\r\n\r\n",
    "a chunk without a size": POST + CHUNKED + b"x\r\nabc\r\n0\r\n\r\n",
    "a chunk size of 0x1": POST + CHUNKED + b"0x1\r\na\r\n0\r\n\r\n",
    "a chunk longer than its size": POST + CHUNKED + b"1\r\nabc\r\n0\r\n\r\n",
    "an invalid trailer": POST + CHUNKED + b"0\r\nX y\r\n\r\n",
    "a NUL in a value": GET + b"X: a\0b\r\n\r\n",
    "a carriage return in a value": GET + b"X: a\rb\r\n\r\n",
    "a control character in a value": GET + b"X: a\x01b\r\n\r\n",
    "an invalid header name": GET + b"X(: a\r\n\r\n",
    "a space before the colon": GET + b"X : a\r\n\r\n",
    "an empty header name": GET + b": a\r\n\r\n",
    "a header without a colon": GET + b"X\r\n\r\n",
    "a folded header": GET + b"X: a\r\n b\r\n\r\n",
    "a folded first header": b"GET /a HTTP/1.1\r\n X: a\r\nHost: h\r\n\r\n",
    "line ends without a CR": b"GET /a HTTP/1.1\nHost: h\n\n",
    "no Host": b"GET /a HTTP/1.1\r\n\r\n",
    "two Hosts": GET + b"Host: i\r\n\r\n",
    "two spaces in the first line": b"GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
    "no HTTP version": b"GET /a\r\nHost: h\r\n\r\n",
    "a space in the target": b"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
    "an empty first line": b"\r\n" + GET + b"\r\n",
    "not HTTP": b"\x16\x03\x01 hello\r\n\r\n",
    "a head over the limit": GET + b"X: " + b"a" * 20000 + b"\r\n\r\n",
    "a body over the limit": POST + b"Content-Length: 2000\r\n\r\n" + b"x" * 2000,
    "a chunked body over the limit": POST
    + CHUNKED
    + b"7d0\r\n"
    + b"x" * 2000
    + b"\r\n0\r\n\r\n",
    "a partial head": GET[:-5],
    "a partial body": POST + b"Content-Length: 5\r\n\r\nhe",
}

RESPONSES = {
    "a Content-Length": OK + b"Content-Length: 3\r\n\r\nabc",
    "a chunked body": OK + CHUNKED + b"1\r\na\r\n2;x\r\nbc\r\n0\r\nX: y\r\n\r\n",
    "no body": b"HTTP/1.1 204 None\r\n\r\n",
    "no reason phrase": b"HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc",
    "no Content-Length": OK + b"\r\nabc",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    "Connection: close": OK + b"Connection: close\r\nContent-Length: 3\r\n\r\nabc",
    "an early hint": b"HTTP/1.1 103 Hint\r\nX: y\r\n\r\n"
    + OK
    + b"Content-Length: 0\r\n\r\n",
    "another call's response first": OK
    + b"Request-Id: other\r\nContent-Length: 2\r\n\r\nno"
    + OK
    + b"Request-Id: mine\r\nContent-Length: 3\r\n\r\nabc",
    "only another call's response": OK
    + b"Request-Id: other\r\nContent-Length: 2\r\n\r\nno",
    "bytes after the end": OK + b"Content-Length: 3\r\n\r\nabcd",
    "a line break after the end": OK + CHUNKED + b"3\r\nabc\r\n0\r\n\r\n\r\n",
    "a truncated body": OK + b"Content-Length: 4\r\n\r\nabc",
    "truncated chunks": OK + CHUNKED + b"3\r\nabc\r\n",
    "a truncated last chunk": OK + CHUNKED + b"3\r\nabc\r\n0\r\n",
    "a truncated head": OK + b"Content-Le",
    "nothing": b"",
    "Content-Length and chunked": OK
    + b"Content-Length: 3\r\n"
    + CHUNKED
    + b"0\r\n\r\n",
    "two Content-Lengths": OK + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "an unsupported coding": OK + b"Transfer-Encoding: gzip\r\n\r\nabc",
    "a chunk without a size": OK + CHUNKED + b"x\r\nabc\r\n0\r\n\r\n",
    "a NUL in a value": OK + b"X: a\0b\r\nContent-Length: 0\r\n\r\n",
    "an invalid header name": OK + b"X(: a\r\nContent-Length: 0\r\n\r\n",
    "a folded header": OK + b"X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
    "a status of two digits": b"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
    "the status 000": b"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
    "the status 099": b"HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
    "a protocol switch": b"HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "not HTTP": b"SSH-2.0-server\r\n\r\n",
    "an endless head": OK + b"X: " + b"a" * 70000,
}
