import re

import anyio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from knapweedbridge_daemon.relay import Relay
from knapweedbridge_daemon.sse import MAX_EVENT_BYTES, BrokenEventsError
from knapweedbridge_standins.virtual_loop import run_virtually


async def chunks_of(chunks, gap_s=0.0):
    for chunk in chunks:
        await anyio.sleep(gap_s)
        yield chunk


class Caller:
    """Takes what the relay writes, with the time of each write."""

    def __init__(self):
        self.writes = []

    async def take(self, chunk):
        self.writes.append((anyio.current_time(), chunk))

    @property
    def got(self):
        return b"".join(chunk for _, chunk in self.writes)


def relayed(chunks):
    caller = Caller()
    relay = Relay("", caller.take)
    run_virtually(relay.pump(chunks_of(chunks)))
    return relay, caller


def oracle(stream):
    """Return count, whole end and bytes, from the whole stream at once."""
    got, events = b"", 0
    while (end := re.search(rb"\r?\n\r?\n", stream)) is not None:
        event, stream = stream[: end.end()], stream[end.end() :]
        got += event
        data = [line for line in event.splitlines() if line.startswith(b"data:")]
        if data in ([b"data: [DONE]"], [b"data:[DONE]"]):
            return events, True, got
        events += bool(data)
    return events, False, got


EVENTS = st.sampled_from(
    [
        b"data: 1\n\n",
        b"data:2\n\n",
        b"data: 3\r\n\r\n",
        b'data: {"text": "data: [DONE]"}\n\n',
        b'data: {"text": "data: a data: b\\n\\n"}\n\n',
        b": ping\n\n",
        b"event: token\ndata: 4\ndata: 5\n\n",
        b"data: [DONE]\n\n",
        b"data: [DONE]\r\n\r\n",
        b"data: cut",
        b"data: [DONE]",
        b"\n\n",
        b"id: 7\r\n\r\n",
    ]
)


@then("for any stream and any chunking the relay agrees with the oracle")
def any_chunking(context):
    @settings(max_examples=500, derandomize=True, deadline=None, database=None)
    @for_all(st.lists(EVENTS, max_size=8), st.data())
    def agree(events, data):
        stream = b"".join(events)
        places = st.lists(st.integers(0, len(stream)), max_size=12)
        cuts = sorted(data.draw(places))
        bounds = [0, *cuts, len(stream)]
        chunks = [stream[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
        relay, caller = relayed(chunks)
        assert (relay.events, relay.whole, caller.got) == oracle(stream), chunks

    agree()


def read(text):
    return text.replace("~", "\n").replace("^", "\r").encode()


@when("the chunks {chunks} are relayed")
def relay_chunks(context, chunks):
    context.relay, context.caller = relayed(
        [read(chunk) for chunk in chunks.split(" / ")]
    )


@then("{events:d} events were counted, the end was whole: {whole}")
def counted(context, events, whole):
    found = context.relay.events, context.relay.whole
    assert found == (events, whole == "yes"), found


@then('the caller got "{got}"')
def caller_got(context, got):
    assert context.caller.got == read(got), context.caller.got


@then("an event over the limit breaks the stream")
def too_long(context):
    chunk = b"x" * 65536
    count = MAX_EVENT_BYTES // len(chunk) + 2
    caller = Caller()
    relay = Relay("", caller.take)
    try:
        run_virtually(relay.pump(chunks_of([chunk] * count)))
    except BrokenEventsError:
        assert caller.got == b""
        return
    raise AssertionError("it was held")


@given("a stream of {events:d} events, one every {gap:d} ms")
def stream_of(context, events, gap):
    context.gap_s = gap / 1000
    context.stream = [b"data: %d\n\n" % place for place in range(events)]
    context.stream[-1] += b"data: [DONE]\n\n"


async def buffered(stream, gap_s):
    """Yield as a socket does: what came while nobody read, joined."""
    started_s = anyio.current_time()
    place = 0
    while place < len(stream):
        elapsed_s = anyio.current_time() - started_s
        come = min(len(stream), int(elapsed_s / gap_s + 1e-6))
        if come <= place:
            await anyio.sleep_until(started_s + (place + 1) * gap_s)
            continue
        yield b"".join(stream[place:come])
        place = come


@when("it is relayed with a wait of {wait:d} ms")
def relay_with_wait(context, wait):
    context.caller = Caller()
    relay = Relay("", context.caller.take, wait / 1000)
    run_virtually(relay.pump(buffered(context.stream, context.gap_s)))
    assert relay.whole
    assert relay.events == len(context.stream)


@then("the caller got {writes:d} writes, the first after {first:d} ms")
def writes(context, writes, first):
    found = context.caller.writes
    assert len(found) == writes, found
    assert round(found[0][0] * 1000) == first, found[0]


@then("no event was held for over {wait:d} ms")
def held(context, wait):
    for at_s, chunk in context.caller.writes:
        for place in map(int, re.findall(rb"data: (\d+)", chunk)):
            came_s = (place + 1) * context.gap_s
            assert at_s - came_s <= wait / 1000 + 1e-6, (at_s, place)
