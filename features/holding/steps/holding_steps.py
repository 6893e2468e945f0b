import random
from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.connection_limit import ConnectionLimit, ConnectionState
from knapweedbridge_core.resource_shares import MB, Machine, divide
from knapweedbridge_core.serving import (
    BodyIntake,
    DecodeTurns,
    HeldKind,
    MemoryBudget,
)
from knapweedbridge_core.serving.body_intake import COPIES
from knapweedbridge_daemon.serving.client_streams import ClientStream
from knapweedbridge_daemon.serving.http_bodies import (
    ELEMENTS_A_STEP,
    BodyError,
    ChunkedBody,
)
from knapweedbridge_daemon.serving.http_client import (
    ConnectionPool,
    Connector,
    Destination,
    NotSentError,
)
from knapweedbridge_standins.virtual_loop import run_virtually

KB = 1000
SIDE_LISTENERS = 2
SEED = 82


@given(
    "a machine of {memory:d} MB with {descriptors:d} descriptors, {files:d} of them "
    "for files"
)
def machine(context, memory, descriptors, files):
    context.machine = Machine(memory * MB, descriptors, files)
    context.shares = divide(context.machine)


@then(
    "{held:g} MB are for bodies and responses, and {connections:d} connections for "
    "callers"
)
def shares(context, held, connections):
    found = context.shares
    assert abs(found.held_bytes / MB - held) < 0.05, found
    assert found.caller_connections == connections, found


@then(
    "a quarter of the sockets or more is left to the store and to peers that proved "
    "themselves, or to tunnels"
)
def sockets_left(context):
    found, sockets = context.shares, context.machine.sockets
    taken = found.caller_connections + found.endpoint_connections
    taken += SIDE_LISTENERS * found.side_connections + found.unproven_peers
    assert sockets == 1 or taken <= 0.9 * sockets, (taken, sockets)
    assert sockets == 1 or taken - found.endpoint_connections <= 0.75 * sockets


@given("a limit of {limit:d} connections")
def connection_limit(context, limit):
    context.limit = ConnectionLimit(limit)
    context.now_s = 0.0


@given("connections that are {states}")
def connections(context, states):
    for number, state in enumerate(states.split(", "), 1):
        context.limit.add(number, 0.0)
        context.limit.enter(number, ConnectionState(state), 0.0)


@when("{seconds:g} s later one more comes")
def one_more(context, seconds):
    context.now_s += seconds
    context.is_full = context.limit.is_full
    context.chosen = context.limit.choose(context.now_s) if context.is_full else None


@then("{chosen} gives way")
def gives_way(context, chosen):
    assert context.is_full
    assert str(context.chosen).lower() == chosen, context.chosen


@then("there is room")
def room(context):
    assert not context.is_full


@given(
    "a budget of {limit:d} kB for callers, of which complete requests hold {kept:d} kB"
)
def budget(context, limit, kept):
    context.budget = MemoryBudget(limit * KB)
    context.budget.hold(HeldKind.BODIES, kept * KB)
    context.intake = BodyIntake(context.budget)
    context.bodies, context.evicted = [], []


def begin(context, sender):
    body = context.intake.begin(sender, lambda: context.evicted.append(sender), 0.0)
    context.bodies.append(body)
    return body


@given("bodies that are being received: {bodies}")
def receiving(context, bodies):
    for each in bodies.split(", "):
        sender, _, size = each.partition(" ")
        assert context.intake.grow(begin(context, sender), int(size) * KB, 0.0)


@when("{sender} sends {size:d} kB more, {seconds:g} s later")
def sends(context, sender, size, seconds):
    body = begin(context, sender)
    context.is_received = context.intake.grow(body, size * KB, seconds)
    if not context.is_received:
        context.evicted.append(sender)


@then("{evicted} give way, and the body is {outcome}")
def body_outcome(context, evicted, outcome):
    expected = [] if evicted == "none" else evicted.split(" and ")
    assert context.evicted == expected, context.evicted
    assert context.is_received == (outcome == "received")
    assert context.budget.held_bytes <= context.budget.limit_bytes


@then("{sender} receives nothing more")
def receives_nothing(context, sender):
    held = context.budget.held_bytes
    body = next(each for each in context.bodies if each.sender == sender)
    assert not context.intake.grow(body, KB, 0.0)
    assert context.budget.held_bytes == held


@then("nothing is held when all have ended")
def nothing_held(context):
    for body in context.bodies:
        context.intake.end(body)
    assert context.budget.held_bytes == 0 == len(context.intake)


@then("an announced body of {announced:d} kB is {outcome}")
def announced_body(context, announced, outcome):
    is_refused = context.intake.must_refuse(announced * KB)
    assert is_refused == (outcome == "refused"), (announced * COPIES, is_refused)


def chunked(rng, chunks):
    body, packed = b"", b""
    for _ in range(chunks):
        part = rng.randbytes(rng.choice((1, 1, 2, 17, 300)))
        extension = rng.choice((b"", b"", b";a=b", b" "))
        packed += b"%x%b\r\n%b\r\n" % (len(part), extension, part)
        body += part
    return body, packed + b"0\r\n\r\n"


@then("any chunked body is the same in steps as at once, split anywhere")
def same_in_steps(context):
    rng = random.Random(SEED)
    for _ in range(60):
        body, packed = chunked(rng, rng.choice((0, 1, 40, 1500)))
        packed += rng.choice((b"", b"GET"))
        decoder, decoded, place = ChunkedBody(), b"", 0
        while place < len(packed) and not decoder.is_complete:
            size = rng.choice((1, 3, 500, 100_000))
            decoded += decoder.step(packed[place : place + size])
            place += size
            while decoder.has_more:
                decoded += decoder.step(b"")
        whole = ChunkedBody()
        assert decoded == body == whole.feed(packed), SEED
        assert decoder.is_complete and whole.is_complete
        assert whole.rest in (b"", b"GET")


@then("a step decodes 512 chunks at most")
def bounded_step(context):
    decoder = ChunkedBody()
    found = decoder.step(b"1\r\nx\r\n" * 5000)
    assert len(found) == ELEMENTS_A_STEP == 512 and decoder.has_more


@then("a body with 64 kB of chunk extensions is decoded, and one with more is invalid")
def extensions(context):
    chunk = b"1;" + b"x" * 4093 + b"\r\nx\r\n"
    decoder = ChunkedBody()
    assert decoder.feed(chunk * 16) == b"x" * 16
    try:
        decoder.feed(chunk)
    except BodyError:
        return
    raise AssertionError("extensions are not bounded")


@then("the ninth body of tiny chunks is refused until one of the others ends")
def ninth(context):
    turns = DecodeTurns()
    bodies = [SimpleNamespace() for _ in range(9)]
    turns = DecodeTurns()
    entered = [turns.enter(id(body)) for body in bodies]
    assert entered == [True] * 8 + [False], entered
    assert turns.enter(id(bodies[0]))
    turns.leave(id(bodies[3]))
    assert turns.enter(id(bodies[8])) and len(turns) == 8


class SilentStream(ClientStream):
    """A connection on which nothing comes."""

    forwarder = ""

    def __init__(self, connector):
        self._connector = connector

    @property
    def has_news(self):
        return False

    def fileno(self):
        raise OSError

    async def receive(self):
        await anyio.sleep_forever()

    async def send(self, data):
        pass

    def close(self):
        self._connector.open -= 1


class CountingConnector(Connector):
    """Opens silent connections, and counts those that are open."""

    def __init__(self):
        self.open = self.most = 0

    async def connect(self, destination):
        self.open += 1
        self.most = max(self.most, self.open)
        return SilentStream(self)


@given("a pool of {limit:d} connections")
def pool(context, limit):
    context.limit = limit


@given("{lent:d} connections in use and {idle:d} idle")
def pool_use(context, lent, idle):
    context.lent, context.idle = lent, idle


@when("one more is asked for, and one is given back after {seconds:g} s")
def one_more_lent(context, seconds):
    async def lend(pool, number, until_s):
        async with pool.connection(Destination(f"127.0.0.1:{number}")):
            await anyio.sleep(until_s)

    async def story():
        pool = ConnectionPool()
        pool.limit = context.limit
        pool.connector = context.connector = CountingConnector()
        for number in range(context.idle):
            pool.adopt(await pool.connector.connect(None), f"127.0.0.1:9{number}")
        async with anyio.create_task_group() as tasks:
            for number in range(context.lent):
                until_s = seconds if number == 0 else 60
                tasks.start_soon(lend, pool, number, until_s)
            await anyio.sleep(0.01)
            try:
                await lend(pool, 50, 0)
                context.outcome = "opened"
            except NotSentError as error:
                context.outcome = "refused"
                assert not error.is_lost
            tasks.cancel_scope.cancel()

    run_virtually(story())


@then("it is {outcome}, and at most 2 were open")
def lent_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome
    assert context.connector.most <= context.limit, context.connector.most
    assert context.connector.open == 0 or context.outcome == "refused"


@then("a body of {size:d} kB that comes alone is received")
def comes_alone(context, size):
    body = begin(context, "a")
    assert all(context.intake.grow(body, KB, 0.0) for _ in range(size))
    assert context.evicted == []
