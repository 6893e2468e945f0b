import random
from unittest import mock

import anyio
import path_steps  # noqa: F401
from behave import then, when
from crashing import CrashingPool
from prompt_parts import FATAL, RETRY_INTERVAL_S, PartsPath, Traffic, make_crashing
from standins import Endpoint
from stories import played
from whole_path import WholePath

from knapweedbridge_core.serving import suspect_parts
from knapweedbridge_daemon.serving.crash_watch import CrashWatch

RECOVERY_S = 1.0
"""Time after a loss in which the engine is restarted and known."""

MESSAGE_DELAY_S = 1.0
WORK_S = 0.03
PARTS = (f"{FATAL}01", f"{FATAL}02")
in_parts = played(kind=PartsPath)


@when(
    "prompts of {parts:d} parts crash the engines that start to respond, no two alike"
)
@in_parts
async def prompts_crash(context, path, parts):
    place, crashes, how, times = context.table[0]
    context.traffic = Traffic(path, tuple(range(3)), parts - 2, int(place))
    await context.traffic.warm_up()
    context.pool = make_crashing(path, how, crashes)
    await context.traffic.run(int(times))


@when("prompts with 2 fatal parts are sent at once, no two alike")
@in_parts
async def two_parts(context, path):
    context.traffic = Traffic(path, tuple(range(3)))
    await context.traffic.warm_up()
    context.pool = make_crashing(path, "refuses")
    async with anyio.create_task_group() as tasks:
        for part in PARTS:
            tasks.start_soon(context.traffic.run, 20, part)
            await anyio.sleep(0.03)


@when(
    "a refusal expires after {expiry_s:g} s, and prompts with its part are sent for "
    "{seconds:g} s"
)
@in_parts
async def expires(context, path, expiry_s, seconds):
    context.traffic = Traffic(path, tuple(range(3)))
    await context.traffic.warm_up()
    context.pool = make_crashing(path, "refuses")
    with mock.patch.object(suspect_parts, "FIRST_REFUSAL_S", expiry_s):
        await context.traffic.run(int(seconds / RETRY_INTERVAL_S))


@then(
    "at most {lost:d} engines are lost, and the last {times:d} fatal requests are "
    "refused"
)
def parts_refused(context, lost, times):
    found = context.pool.lost_s
    print(f"{len(found)} engines lost")
    assert len(found) <= lost, found
    last = context.traffic.fatal[-times:]
    assert all(each.status == 503 and each.is_blamed for each in last), last


@then(
    "safe requests are served from 1 s after the last loss, and at most {most:d} are "
    "refused as blamed"
)
def safe_served(context, most):
    safe, lost_s = context.traffic.safe, context.pool.lost_s
    blamed = [each for each in safe if each.is_blamed]
    print(f"{len(blamed)} of {len(safe)} safe requests refused as blamed")
    assert len(blamed) <= most, blamed
    later = [each for each in safe if each.at_s > lost_s[-1] + RECOVERY_S]
    assert later
    assert all(each.is_served for each in later), later


async def ask_all(context, path, traffic):
    """Send the fatal part to all ready hosts; record how many engines crash."""
    before = len(context.pool.lost_s)
    await anyio.sleep(MESSAGE_DELAY_S)
    traffic.fatal.clear()
    traffic.hosts = tuple(range(context.daemons))
    await traffic.run(6)
    context.more = len(context.pool.lost_s) - before


async def send_fatal(context, path, hosts):
    """Send a fatal part to some hosts until they refuse it."""
    context.traffic = Traffic(path, tuple(hosts))
    await context.traffic.warm_up()
    context.pool = make_crashing(path, "refuses")
    await context.traffic.run(14)
    await anyio.sleep(RECOVERY_S)


def make_receiver(was, handle):
    """Return a handler by which the third host misses or delays messages of losses."""

    async def receive(link, daemon, message):
        if link._hub.identity.name != "host-2":
            await handle(link, daemon, message)
        elif was == "received messages 1 s late":
            await anyio.sleep(MESSAGE_DELAY_S)
            await handle(link, daemon, message)

    return receive


@when("a fatal part is sent to two hosts, and the third {was} then")
@in_parts
async def third_host(context, path, was):
    handle = CrashWatch.handle
    if was == "was not started":
        await path.kill_daemon("host-2")
    elif was.startswith("received"):
        CrashWatch.handle = make_receiver(was, handle)
        # A running daemon has bound its handlers already.
        await path.restart_daemon("host-2")
        await path.until_ready(2)
    try:
        await send_fatal(context, path, range(2))
        if not was.startswith("received"):
            await path.restart_daemon("host-2")
            await path.until_ready(2)
        await ask_all(context, path, context.traffic)
    finally:
        CrashWatch.handle = handle


@when("a fatal part is sent to all hosts, and all of them are restarted")
@in_parts
async def all_restarted(context, path):
    await send_fatal(context, path, range(3))
    for host in range(3):
        await path.restart_daemon(f"host-{host}")
    for host in range(3):
        await path.until_ready(host)
    await ask_all(context, path, context.traffic)


@then(
    "all hosts refuse it within 1 s of their readiness, and {more:d} more engines are "
    "lost"
)
def refused_by_all(context, more):
    fatal = context.traffic.fatal
    assert all(each.status == 503 for each in fatal), fatal
    assert context.more <= more, context.more


@when("2 fatal parts are sent once to each host, and then again")
@in_parts
async def once_to_each(context, path):
    traffic = context.traffic = Traffic(path, tuple(range(3)))
    await traffic.warm_up()
    context.pool = make_crashing(path, "refuses")
    for turn in range(4):
        for part in PARTS:
            await traffic.run(3, part, pause_s=0.3)
        await anyio.sleep(0.1 * turn)


@when("half of the engines crash at once {times:d} times beside safe requests")
@in_parts
async def half_crash(context, path, times):
    traffic = context.traffic = Traffic(path, tuple(range(3)))
    await traffic.warm_up()
    for each in path.engines:
        each.pause_s = 0.02
    context.pool = CrashingPool(path, "refuses")
    luck = random.Random(63)
    context.crashed_s = []

    async def crash_half():
        for _ in range(times):
            await anyio.sleep(1.2)
            context.crashed_s.append(anyio.current_time())
            for each in luck.sample(path.engines, len(path.engines) // 2):
                context.pool.crash(each)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(crash_half)
        for number in range(240):
            tasks.start_soon(traffic.send, traffic.safe, number, number % 3)
            await anyio.sleep(0.025)


@then("at most {most:d} safe request is refused as blamed, and no later one")
def none_blamed(context, most):
    safe = context.traffic.safe
    blamed = [each for each in safe if each.is_blamed]
    print(f"{len(blamed)} of {len(safe)} safe requests refused as blamed")
    assert len(blamed) <= most, blamed
    assert all(each.at_s < context.crashed_s[-1] + RECOVERY_S for each in blamed), (
        blamed
    )


@when("a fatal part crashes an engine, whose loss is detected after {seconds:g} s")
@in_parts
async def detected_after(context, path, seconds):
    traffic = context.traffic = Traffic(path, (0,))
    await traffic.warm_up()
    context.pool = make_crashing(path, "refuses")
    lost = CrashWatch.record_endpoint_lost

    async def record_later(link, *loss):
        await anyio.sleep(seconds)
        await lost(link, *loss)

    CrashWatch.record_endpoint_lost = record_later
    try:
        await traffic.run(1)
    finally:
        CrashWatch.record_endpoint_lost = lost


@then("no request with the part reaches an engine within those {seconds:g} s")
def not_within(context, seconds):
    first_s, *later = context.pool.reached_s
    assert all(at_s - first_s >= seconds for at_s in later), context.pool.reached_s


class ResettingEndpoint(Endpoint):
    """An endpoint that resets the connections of its first requests."""

    resets = 0

    async def answer(self, request, responder, behaviour):
        await anyio.sleep(WORK_S)
        if ResettingEndpoint.resets:
            ResettingEndpoint.resets -= 1
            responder._connection._wire.reset()
            return
        await super().answer(request, responder, behaviour)


class ResettingPath(WholePath):
    """A whole path whose endpoints reset connections."""

    plain_kind = ResettingEndpoint


@when(
    "the connections of {count:d} look-ups are reset at once, and their endpoints stay "
    "alive"
)
@played(kind=ResettingPath)
async def are_reset(context, path, count):
    ResettingEndpoint.resets = count
    context.took_s = {}

    async def look(number):
        began_s = anyio.current_time()
        answer = await path.call("GET", f"/look/{number}")
        context.took_s[number] = answer.status_code, anyio.current_time() - began_s

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(look, number)


@then("all of them are served within {seconds:g} s")
def served_within(context, seconds):
    found = context.took_s.values()
    assert all(status == 200 and took_s < seconds for status, took_s in found), found
