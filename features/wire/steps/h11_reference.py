"""Parsing with h11, the reference for the parser in use."""

import h11

HEAD_BYTES, BODY_BYTES = 16384, 1000


def split_at(data, splits):
    bounds = [0, *sorted(splits), len(data)]
    pairs = zip(bounds, bounds[1:], strict=False)
    return [data[a:b] for a, b in pairs if a < b]


def read_requests(data, splits):
    """Return the parsed requests and the status of a rejection, if any."""
    connection = h11.Connection(h11.SERVER, HEAD_BYTES)
    pieces, requests, body = iter([*split_at(data, splits), b""]), [], b""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError as error:
            return requests, error.error_status_hint
        if event is h11.NEED_DATA:
            piece = next(pieces)
            if not piece:
                return requests, None
            connection.receive_data(piece)
        elif isinstance(event, h11.Request):
            head, body = event, b""
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > BODY_BYTES:
                return requests, 413
        elif isinstance(event, h11.EndOfMessage):
            headers = [tuple(pair) for pair in head.headers.raw_items()]
            requests.append((head.method, head.target, headers, body))
            connection.send(h11.Response(status_code=200, headers=[]))
            connection.send(h11.EndOfMessage())
            if connection.our_state is h11.MUST_CLOSE:
                return requests, None
            connection.start_next_cycle()
        else:
            return requests, None


def read_response(data, end):
    """Return the outcome for the connection, and the body."""
    connection = new_client()
    connection.receive_data(data)
    ends = [b""] if end == "closes" else []
    try:
        is_own, body, is_kept = read_one_response(connection, ends)
        while not is_own:
            rest = connection.trailing_data[0]
            connection = new_client()
            if rest:
                connection.receive_data(rest)
            is_own, body, is_kept = read_one_response(connection, ends)
    except h11.RemoteProtocolError:
        return "broken", b""
    except EOFError:
        return ("pending" if end == "stays open" else "broken"), b""
    return ("kept" if is_kept and end == "stays open" else "closed"), body


def read_one_response(connection, ends):
    """Read one response.

    Returns whether it belongs to the request, its body, and if it ends cleanly.
    """
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            if not ends:
                raise EOFError
            connection.receive_data(ends.pop())
        elif isinstance(event, h11.Response):
            is_own = dict(event.headers).get(b"request-id", b"mine") == b"mine"
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            is_clean = not connection.trailing_data[0]
            return is_own, body, connection.their_state is h11.DONE and is_clean
        elif isinstance(event, h11.ConnectionClosed):
            raise EOFError


def new_client():
    connection = h11.Connection(h11.CLIENT, 65536)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    connection.send(h11.EndOfMessage())
    return connection
