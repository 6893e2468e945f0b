import re

from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from knapweedbridge_daemon.serving.event_stream import EventSplitter

EVENTS = st.sampled_from(
    [
        b"id: 2\ndata: a\n\n",
        b"id: 3\r\ndata: b\r\n\r\n",
        b"data: c\nid:4\n\n",
        b"id: x\n\n",
        b"data: no id\n\n",
        b": ping\n\n",
        b"\n\n",
        b"\r\n\r\n",
        b"\n\r\n",
        b"data: cut",
        b"id: 5\n",
    ]
)


def events_of(stream, after):
    """Return the bytes, the number and the last id of the events, and the rest."""
    kept, last_id = [], None
    while (end := re.search(rb"\r?\n\r?\n", stream)) is not None:
        event, stream = stream[: end.end()], stream[end.end() :]
        found = re.search(rb"(?:^|\n)id: ?([^\r\n]*)", event)
        named = found[1].decode() if found else None
        if after and named and named.isdecimal() and int(named) <= after:
            continue
        kept.append(event)
        last_id = last_id if named is None else named
    return b"".join(kept), len(kept), last_id, stream


@then("for any stream and any chunks the events after {after} are those of the stream")
def any_chunks(context, after):
    after = None if after == "none" else after

    @settings(max_examples=1000, derandomize=True, deadline=None, database=None)
    @for_all(st.lists(EVENTS, max_size=7), st.data())
    def check_split(events, data):
        stream = b"".join(events)
        random_ends = st.lists(st.integers(0, len(stream)), max_size=6)
        # Most chunks are one event each; some streams are split at other places.
        ends = [sum(map(len, events[: n + 1])) for n in range(len(events))]
        bounds = [
            0,
            *sorted(data.draw(st.one_of(random_ends, st.just(ends)))),
            len(stream),
        ]
        splitter, found, count, last_id = EventSplitter(after), b"", 0, None
        for start, end in zip(bounds, bounds[1:], strict=False):
            part = splitter.feed(stream[start:end])
            found, count = found + part.data, count + part.count
            last_id = last_id if part.last_id is None else part.last_id
        expected = events_of(stream, int(after or 0))
        assert (found, count, last_id, splitter.rest) == expected, (stream, bounds)

    check_split()
