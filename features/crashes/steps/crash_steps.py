import anyio
import path_steps  # noqa: F401
from behave import then, when
from crashing import (
    DEADLY,
    UNLISTED_AFTER_S,
    CrashingEndpoint,
    CrashingEngine,
    CrashingPool,
    come_again,
    send,
)
from stories import WRITTEN_S, played
from whole_path import WholePath

from knapweedbridge_daemon.serving.crash_watch import CrashWatch

BODY = b"a body that is long enough to be known again"
BODIES = {"with a body": BODY, "without body": b""}
LEARNT_S = 1.0
"""Time within which a host that is ready, and reaches the store, knows what it says."""

INNOCENT = b"innocent"


class CrashingPath(WholePath):
    """A whole path whose endpoints a deadly request ends."""

    plain_kind = CrashingEndpoint
    engine_kind = CrashingEngine


crashing = played(kind=CrashingPath)


@when(
    'a "{kind}" request "{body}" crashes each endpoint that runs it, and comes by all '
    "hosts in turn"
)
@crashing
async def comes_in_turn(context, path, kind, body):
    how, times = context.table[0]
    if kind in ("draft", "note"):
        # Its adapter is loaded, so that it begins at once.
        assert await send(path, "draft", 0, INNOCENT, body=BODY) == 200
    context.pool = CrashingPool(path, how)
    hosts = range(context.daemons)
    context.statuses = await come_again(path, kind, hosts, int(times), BODIES[body])
    await anyio.sleep(UNLISTED_AFTER_S)
    context.others = [
        await send(path, kind, host, INNOCENT, "127.0.0.2", BODIES[body])
        for host in hosts
    ]


@when(
    'a "{kind}" request without body crashes each endpoint that runs it, and comes by '
    "another address each time"
)
@crashing
async def comes_by_addresses(context, path, kind):
    if kind == "note":
        assert await send(path, "draft", 0, INNOCENT, body=BODY) == 200
    context.pool = CrashingPool(path, "refuses")
    callers = [f"127.0.0.{number}" for number in range(20, 30)]
    context.statuses = await come_again(
        path, kind, range(context.daemons), 10, b"", callers
    )


@then("at most {lost:d} endpoints are lost, and the last {times:d} times it is refused")
def lost_and_refused(context, lost, times):
    assert len(context.pool.lost_s) <= lost, context.pool.lost_s
    assert context.statuses[-times:] == [503] * times, context.statuses


@then("the same request of another caller is served")
def other_is_served(context):
    assert set(context.others) == {200}, context.others


async def end_two(context, path, hosts):
    """Have a deadly look-up end two endpoints by some hosts."""
    context.pool = CrashingPool(path, "refuses")
    with anyio.fail_after(6):
        while len(context.pool.lost_s) < 2:
            await come_again(path, "look", hosts, 1, b"")
    # Until the endpoints are back and the hosts know that.
    await anyio.sleep(2 * UNLISTED_AFTER_S)


async def ask_all(context, path, hosts):
    """Record how each host answers the deadly look-up, and whether it ends more."""
    before = len(context.pool.lost_s)
    await anyio.sleep(LEARNT_S)
    context.statuses = await come_again(path, "look", hosts, 2 * len(hosts), b"")
    context.more = len(context.pool.lost_s) - before


@when("a deadly look-up ends two endpoints by two hosts, and the third {was} then")
@crashing
async def third_host(context, path, was):
    hosts = list(range(context.daemons))
    if was == "was not started":
        await path.kill_daemon("host-2")
    if was == "heard no other host":
        handle = CrashWatch.handle

        async def hear_nothing(link, daemon, message):
            if link._hub.identity.name != "host-2":
                await handle(link, daemon, message)

        CrashWatch.handle = hear_nothing
        # A daemon that runs has its handlers already.
        await path.restart_daemon("host-2")
        await path.until_ready(2)
    try:
        await end_two(context, path, hosts[:2])
        if was != "heard no other host":
            await path.restart_daemon("host-2")
            await path.until_ready(2)
        await ask_all(context, path, hosts)
    finally:
        if was == "heard no other host":
            CrashWatch.handle = handle


@when("a deadly look-up ends two endpoints, and all hosts start again")
@crashing
async def all_start_again(context, path):
    hosts = list(range(context.daemons))
    await end_two(context, path, hosts)
    for host in hosts:
        await path.restart_daemon(f"host-{host}")
    for host in hosts:
        await path.until_ready(host)
    await ask_all(context, path, hosts)


@then(
    "it is refused by all hosts within 1 s of their readiness, and ends no further "
    "endpoint"
)
def refused_by_all(context):
    assert set(context.statuses) == {503}, context.statuses
    assert not context.more, context.more


@when("{count:d} deadly look-ups of several callers come by all hosts in turn")
@crashing
async def several_deadly(context, path, count):
    context.pool = CrashingPool(path, "refuses")
    context.statuses = {}

    async def one(number):
        statuses = context.statuses[number] = []
        for turn in range(10):
            host, caller = (number + turn) % context.daemons, f"127.0.0.{number + 3}"
            statuses.append(await send(path, "look", host, DEADLY, caller))
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
    "a deadly look-up comes by all hosts in turn beside {innocent:d} innocent look-ups"
)
@crashing
async def beside_innocent(context, path, innocent):
    context.pool = CrashingPool(path, "refuses")
    for each in path.desks:
        each.work_s = 0.03
    hosts = range(context.daemons)

    async def call(number):
        caller = f"127.0.0.{10 + number}"
        return await send(path, "look", number % 3, INNOCENT, caller)

    async def deadly():
        await come_again(path, "look", hosts, 8, b"")

    context.first = {}

    async def innocent_call(number):
        context.first[number] = await call(number)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(deadly)
        for number in range(innocent):
            tasks.start_soon(innocent_call, number)
            await anyio.sleep(0.03)
    await anyio.sleep(UNLISTED_AFTER_S)
    context.later = {
        number: await call(number)
        for number, status in context.first.items()
        if status != 200
    }


@then("at most {lost:d} endpoints are lost")
def lost_at_most(context, lost):
    assert len(context.pool.lost_s) <= lost, context.pool.lost_s


@then(
    "of the innocent look-ups at most {most:d} are not served, neither at once nor "
    "when they come again"
)
def innocent_served(context, most):
    not_served = [n for n, status in context.later.items() if status != 200]
    assert len(not_served) <= most, (context.first, context.later)


@when("a caller leaves a silent endpoint after {seconds:g} s")
@crashing
async def leaves_after(context, path, seconds):
    for each in path.desks:
        each.go_dark()
    with anyio.move_on_after(seconds):
        await send(path, "order", 0, INNOCENT, body=BODY, deadline_ms=4000)
    await anyio.sleep(0.3)
    context.status = await send(path, "draft", 0, INNOCENT, body=BODY)
    await anyio.sleep(WRITTEN_S)
    context.kinds = {line["message_type"] for line in path.lines(0)}


@then("its host serves on, and has counted no error of its own")
def serves_on(context):
    assert context.status == 200, context.status
    assert "daemon.fault" not in context.kinds
