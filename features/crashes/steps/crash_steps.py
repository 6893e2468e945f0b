import anyio
import path_steps  # noqa: F401
from behave import given, then, when
from crashing import (
    FATAL,
    UNLISTED_AFTER_S,
    CrashingEndpoint,
    CrashingEngine,
    CrashingPool,
    send,
    send_repeatedly,
)
from stories import WRITTEN_S, played
from whole_path import WholePath

from knapweedbridge_core.serving import CrashLedger
from knapweedbridge_core.serving.fingerprinting import SEPARATOR
from knapweedbridge_daemon.serving.crash_watch import CrashWatch

BODY = b"a body that is long enough to be recognized"
BODIES = {"with a body": BODY, "without body": b""}
REFUSAL_KNOWN_S = 1.0
"""Time in which a ready host knows the refusals in the store."""

HARMLESS = b"innocent"


class CrashingPath(WholePath):
    """A whole path whose endpoints a fatal request crashes."""

    plain_kind = CrashingEndpoint
    engine_kind = CrashingEngine


crashing = played(kind=CrashingPath)


@when(
    'a "{kind}" request "{body}" crashes each endpoint that runs it, and is sent to '
    "all hosts in turn"
)
@crashing
async def sent_in_turn(context, path, kind, body):
    how, times = context.table[0]
    if kind in ("draft", "note"):
        # Loads the adapter, so that the fatal request starts at once.
        assert await send(path, "draft", 0, HARMLESS, body=BODY) == 200
    context.pool = CrashingPool(path, how)
    hosts = range(context.daemons)
    context.statuses = await send_repeatedly(
        path, kind, hosts, int(times), BODIES[body]
    )
    await anyio.sleep(UNLISTED_AFTER_S)
    context.others = [
        await send(path, kind, host, HARMLESS, "127.0.0.2", BODIES[body])
        for host in hosts
    ]


@when(
    'a "{kind}" request without body crashes each endpoint that runs it, and is sent '
    "from another address each time"
)
@crashing
async def sent_from_addresses(context, path, kind):
    if kind == "note":
        assert await send(path, "draft", 0, HARMLESS, body=BODY) == 200
    context.pool = CrashingPool(path, "refuses")
    callers = [f"127.0.0.{number}" for number in range(20, 30)]
    context.statuses = await send_repeatedly(
        path, kind, range(context.daemons), 10, b"", callers
    )


@then("at most {lost:d} endpoints are lost, and the last {times:d} times it is refused")
def lost_and_refused(context, lost, times):
    assert len(context.pool.lost_s) <= lost, context.pool.lost_s
    assert context.statuses[-times:] == [503] * times, context.statuses


@then("the same request of another caller is served")
def other_is_served(context):
    assert set(context.others) == {200}, context.others


async def crash_two(context, path, hosts):
    """Crash two endpoints by a fatal look-up that is sent to some hosts."""
    context.pool = CrashingPool(path, "refuses")
    with anyio.fail_after(6):
        while len(context.pool.lost_s) < 2:
            await send_repeatedly(path, "look", hosts, 1, b"")
    # Waits until the endpoints are back and the hosts know that.
    await anyio.sleep(2 * UNLISTED_AFTER_S)


async def ask_all(context, path, hosts):
    """Record how each host answers the fatal look-up, and what else it crashes."""
    before = len(context.pool.lost_s)
    await anyio.sleep(REFUSAL_KNOWN_S)
    context.statuses = await send_repeatedly(path, "look", hosts, 2 * len(hosts), b"")
    context.more = len(context.pool.lost_s) - before


@when(
    "a fatal look-up sent to two hosts crashes two endpoints, and the third {was} then"
)
@crashing
async def third_host(context, path, was):
    hosts = list(range(context.daemons))
    if was == "was not started":
        await path.kill_daemon("host-2")
    if was == "received no message":
        handle = CrashWatch.handle

        async def drop_messages(link, daemon, message):
            if link._hub.identity.name != "host-2":
                await handle(link, daemon, message)

        CrashWatch.handle = drop_messages
        # A running daemon has bound its handlers already.
        await path.restart_daemon("host-2")
        await path.until_ready(2)
    try:
        await crash_two(context, path, hosts[:2])
        if was != "received no message":
            await path.restart_daemon("host-2")
            await path.until_ready(2)
        await ask_all(context, path, hosts)
    finally:
        if was == "received no message":
            CrashWatch.handle = handle


@when("a fatal look-up crashes two endpoints, and all hosts are restarted")
@crashing
async def all_restarted(context, path):
    hosts = list(range(context.daemons))
    await crash_two(context, path, hosts)
    for host in hosts:
        await path.restart_daemon(f"host-{host}")
    for host in hosts:
        await path.until_ready(host)
    await ask_all(context, path, hosts)


@then(
    "it is refused by all hosts within 1 s of their readiness, and crashes no further "
    "endpoint"
)
def refused_by_all(context):
    assert set(context.statuses) == {503}, context.statuses
    assert not context.more, context.more


@when("{count:d} fatal look-ups of several callers are sent to all hosts in turn")
@crashing
async def several_fatal(context, path, count):
    context.pool = CrashingPool(path, "refuses")
    context.statuses = {}

    async def one(number):
        statuses = context.statuses[number] = []
        for turn in range(10):
            host, caller = (number + turn) % context.daemons, f"127.0.0.{number + 3}"
            statuses.append(await send(path, "look", host, FATAL, caller))
            await anyio.sleep(0.5)

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(one, number)


@then("at most {lost:d} endpoints are lost, and each of them is refused in the end")
def several_refused(context, lost):
    assert len(context.pool.lost_s) <= lost, context.pool.lost_s
    ends = [statuses[-2:] for statuses in context.statuses.values()]
    assert all(end == [503, 503] for end in ends), context.statuses


@when(
    "a fatal look-up is sent to all hosts in turn beside {harmless:d} harmless look-ups"
)
@crashing
async def beside_harmless(context, path, harmless):
    context.pool = CrashingPool(path, "refuses")
    for each in path.desks:
        each.work_s = 0.03
    hosts = range(context.daemons)

    async def call(number):
        caller = f"127.0.0.{10 + number}"
        return await send(path, "look", number % 3, HARMLESS, caller)

    async def fatal():
        await send_repeatedly(path, "look", hosts, 8, b"")

    context.first = {}

    async def harmless_call(number):
        context.first[number] = await call(number)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fatal)
        for number in range(harmless):
            tasks.start_soon(harmless_call, number)
            await anyio.sleep(0.03)
    await anyio.sleep(UNLISTED_AFTER_S)
    context.later = {
        number: await call(number)
        for number, status in context.first.items()
        if status != 200
    }


STATUSES = {"fail": 500, "fail as too late": 504}


@when(
    "a fatal look-up is sent to all hosts in turn, and after each crash endpoints "
    "{fail} it once"
)
@crashing
async def failed_now_and_then(context, path, fail):
    context.pool = CrashingPool(path, "refuses")
    context.pool.fails_with = STATUSES[fail]
    hosts = range(context.daemons)
    context.statuses = await send_repeatedly(path, "look", hosts, 14, b"")


@when(
    "a fatal look-up is sent by two other addresses at once each time, to the only "
    "endpoint"
)
@crashing
async def sent_by_pairs(context, path):
    context.pool = CrashingPool(path, "refuses")
    gone = path.desks.pop()
    path.crash(gone)
    await path.until_known(gone, range(context.daemons))
    context.statuses = []

    async def one(host, number):
        context.statuses.append(
            await send(path, "look", host, caller=f"127.0.0.{number}")
        )

    for turn in range(8):
        async with anyio.create_task_group() as tasks:
            for each in (0, 1):
                host = (2 * turn + each) % context.daemons
                tasks.start_soon(one, host, 20 + 2 * turn + each)
        # The only endpoint is back, and the hosts know it.
        await anyio.sleep(UNLISTED_AFTER_S)


@given("a ledger of crashes")
def new_ledger(context):
    context.ledger = CrashLedger()


@when(
    "endpoints are lost, one each 2 s, with the same request of the addresses "
    '"{losses}"'
)
def lost_with(context, losses):
    context.now_s = 0.0
    for number, addresses in enumerate(losses.split(";")):
        context.now_s += 2.0
        context.ledger.record_loss_time(f"e{number}", context.now_s)
        for address in addresses.split(","):
            mark = f"digest{SEPARATOR}{address}"
            context.ledger.told(mark, f"e{number} 0", context.now_s)


@then('the request of address "{address}" is refused: {refused}')
def refused_for(context, address, refused):
    mark = f"digest{SEPARATOR}{address}"
    found = context.ledger.refused_for_s(mark, context.now_s + 1.0) > 0
    assert found == (refused == "yes"), context.ledger.refused_for_s(mark, 1.0)


@then("at most {lost:d} endpoints are lost")
def lost_at_most(context, lost):
    assert len(context.pool.lost_s) <= lost, context.pool.lost_s


@then(
    "of the harmless look-ups at most {most:d} are not served, neither at once nor "
    "when they are repeated"
)
def harmless_served(context, most):
    not_served = [n for n, status in context.later.items() if status != 200]
    assert len(not_served) <= most, (context.first, context.later)


@when("a caller disconnects from a silent endpoint after {seconds:g} s")
@crashing
async def disconnects_after(context, path, seconds):
    for each in path.desks:
        each.freeze()
    with anyio.move_on_after(seconds):
        await send(path, "order", 0, HARMLESS, body=BODY, deadline_ms=4000)
    await anyio.sleep(0.3)
    context.status = await send(path, "draft", 0, HARMLESS, body=BODY)
    await anyio.sleep(WRITTEN_S)
    context.kinds = {line["message_type"] for line in path.lines(0)}


@then("its host keeps serving, and has logged no internal error")
def keeps_serving(context):
    assert context.status == 200, context.status
    assert "daemon.fault" not in context.kinds
