import contextlib

import anyio
import orjson
from account_steps import call, put_accounts
from behave import given, then, when
from quota_steps import limited
from stories import played

from knapweedbridge_core.amounts import MAX_AMOUNT
from knapweedbridge_core.serving.messages import QuotaRequest
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.peer_sockets import PeerListener
from knapweedbridge_daemon.peers import Peers
from knapweedbridge_daemon.serving.dialects import DialectError
from knapweedbridge_daemon.serving.event_stream import EventSplitter
from knapweedbridge_daemon.serving.wire import RequestHead, ResponseHead
from knapweedbridge_daemon.store import Transaction
from knapweedbridge_platform.callers import PlatformCallers
from knapweedbridge_platform.endpoints import PlatformEndpoints
from knapweedbridge_platform.store import PlatformStore

LONG = "9" * 5000


def spelled(text):
    return text.replace("5000 digits", LONG).replace(
        "5000 zeros and a 7", "0" * 5000 + "7"
    )


@when('"{name}" with {rate:d} tokens a second sends {counts} tokens to each daemon')
@played(lease_ms=3000)
async def sends_counts(context, path, name, rate, counts):
    await put_accounts(path, [limited(name, rate)], 2)
    # A new coordinator grants nothing at first.
    await anyio.sleep(2.5)
    keys = [f"Bearer k-{name}"]
    headers = {"Token_Counts": counts}
    context.refused = [
        await call(path, "/look/1", keys, daemon=n, **headers) for n in range(3)
    ]
    await anyio.sleep(2.5)
    context.answered = [
        await call(path, "/look/1", keys, daemon=n, Token_Counts="300,100")
        for n in range(3)
    ]


@then("each of these calls got 429 with a Retry-After")
def all_refused(context):
    assert [each.status_code for each in context.refused] == [429] * 3, context.refused
    assert all(float(each.headers["Retry-After"]) > 0 for each in context.refused)


@then('a call of "{name}" with {counts} tokens is answered by each daemon')
def all_answered(context, name, counts):
    found = [each.status_code for each in context.answered]
    assert found == [200] * 3, context.answered


@when('a call states "{header}" as "{text}"')
def call_states(context, header, text):
    pairs = [(header.encode(), spelled(text).encode())]
    context.header = header
    try:
        details = PlatformCallers().read_call(RequestHead(b"POST", b"/", pairs))
    except DialectError:
        context.values = "unreadable"
        return
    if header == "Token-Counts":
        found = details.prompt_tokens, details.output_tokens
    elif header == "Prompt-Prefix":
        found = (details.prompt_parts[0][1],)
    else:
        found = (details.deadline_s,)
    most = {MAX_AMOUNT: "the most", MAX_AMOUNT / 1000: "the most"}
    unit = " s" if header == "Deadline-Ms" else ""
    context.values = " and ".join(most.get(each, f"{each}{unit}") for each in found)


@then("it is read as {values}")
def read_as(context, values):
    assert context.values == values, context.values


@when("an engine reports {field} as {number}")
def engine_reports(context, field, number):
    sound = {"models": [], "seq": 4, field: None}
    body = orjson.dumps(sound).replace(
        b'"%b":null' % field.encode(), b'"%b":%b' % (field.encode(), number.encode())
    )
    try:
        context.report = PlatformEndpoints().read_report(body)
    except DialectError:
        context.report = None


@then("the report is unreadable")
def report_unreadable(context):
    assert context.report is None, context.report


class StatingPool:
    """Answers all calls of a store with one body and one era."""

    def __init__(self, what, number):
        headers = [(b"store-era", spelled(number).encode())]
        self._head = ResponseHead(200, headers if what == "Store-Era" else [], b"OK")
        revision = number if what == "revision" else "7"
        text = '{"current_rev":R,"revision":R,"items":[],"key":"k","value":""}'
        self._body = text.replace("R", revision).encode()

    @contextlib.asynccontextmanager
    async def connection(self, destination):
        yield self

    async def call(self, request, max_bytes):
        return self._head, self._body


@given("a store that states {what} as {number}")
def stating_store(context, what, number):
    context.store = PlatformStore("127.0.0.1:1", 1.0)
    context.store._pool = StatingPool(what, number)


@then("each call to it fails as one without an answer")
def each_call_fails(context):
    store = context.store

    async def call_all():
        calls = (
            lambda: store.read("k"),
            lambda: store.read_items(""),
            lambda: store.read_changes("", 0, 0.0),
            lambda: store.commit(Transaction(puts={"k": b""})),
        )
        for each in calls:
            try:
                found = await each()
            except StoreError as error:
                assert error.may_have_applied, error
                continue
            raise AssertionError(found)

    anyio.run(call_all)


@when("a stream is resumed after event {last} and event {event} arrives")
def resumed(context, last, event):
    chunk = f"id: {spelled(event)}\ndata: x\n\n".encode()
    context.passed = EventSplitter(spelled(last)).feed(chunk).count


@then("it is passed on: {passed}")
def is_passed_on(context, passed):
    assert context.passed == (passed == "yes"), context.passed


@given("two daemons that send each other messages")
def two_peers(context):
    context.received = []


@when("one sends a number of 65 bits and then a number of 64 bits")
def sends_numbers(context):
    async def submit(event):
        context.received.append(event)

    async def send():
        async with anyio.create_task_group() as tasks:
            sender = Peers("h0", b"secret", 1.0, submit, 1)
            receiver = Peers("h1", b"secret", 1.0, submit, 1)
            listener = PeerListener()
            await listener.listen("127.0.0.1", 0)
            tasks.start_soon(listener.serve, receiver.serve)
            sender.know(tasks, {"h1": listener.address})
            for units in (1 << 64, (1 << 64) - 1):
                sender.send("h1", QuotaRequest("shop", units, 0, 0))
            with anyio.move_on_after(2.0):
                while not any(hasattr(each, "message") for each in context.received):
                    await anyio.sleep(0.01)
            context.dropped = sender.bytes.unencodable_messages
            tasks.cancel_scope.cancel()

    anyio.run(send)


@then("the other one receives the second, and the first is counted")
def second_received(context):
    found = [each.message for each in context.received if hasattr(each, "message")]
    assert found == [QuotaRequest("shop", (1 << 64) - 1, 0, 0)], found
    assert context.dropped == 1, context.dropped
