import random
from unittest import mock

import anyio
import path_steps  # noqa: F401
from behave import then, when
from crashing import CrashingPool
from prompt_parts import COMES_AGAIN_S, DEADLY, PartsPath, Traffic, crash_by_parts
from standins import Endpoint
from stories import played
from whole_path import WholePath

from knapweedbridge_core.serving import suspect_parts
from knapweedbridge_daemon.serving.crash_watch import CrashWatch

BACK_S = 1.0
"""Time after a loss within which the engine is back and known."""

LATE_S = 1.0
RUNS_S = 0.03
PARTS = (f"{DEADLY}01", f"{DEADLY}02")
in_parts = played(kind=PartsPath)


@when("prompts of {parts:d} parts crash the engines that begin an answer, no two alike")
@in_parts
async def prompts_crash(context, path, parts):
    place, ends, how, times = context.table[0]
    context.traffic = Traffic(path, tuple(range(3)), parts - 2, int(place))
    await context.traffic.warm_up()
    context.pool = crash_by_parts(path, how, ends)
    await context.traffic.come(int(times))


@when("prompts with 2 deadly parts come at once, no two alike")
@in_parts
async def two_parts(context, path):
    context.traffic = Traffic(path, tuple(range(3)))
    await context.traffic.warm_up()
    context.pool = crash_by_parts(path, "refuses")
    async with anyio.create_task_group() as tasks:
        for part in PARTS:
            tasks.start_soon(context.traffic.come, 20, part)
            await anyio.sleep(0.03)


@when(
    "a refusal lapses after {lapse:g} s, and prompts with its part go on coming for "
    "{seconds:g} s"
)
@in_parts
async def lapses(context, path, lapse, seconds):
    context.traffic = Traffic(path, tuple(range(3)))
    await context.traffic.warm_up()
    context.pool = crash_by_parts(path, "refuses")
    with mock.patch.object(suspect_parts, "FIRST_REFUSAL_S", lapse):
        await context.traffic.come(int(seconds / COMES_AGAIN_S))


@then(
    "at most {lost:d} engines are lost, and the last {times:d} deadly requests are "
    "refused"
)
def parts_refused(context, lost, times):
    found = context.pool.lost_s
    print(f"{len(found)} engines lost")
    assert len(found) <= lost, found
    last = context.traffic.deadly[-times:]
    assert all(each.status == 503 and each.is_blamed for each in last), last


@then(
    "sound requests are served from 1 s after the last loss, and at most {most:d} are "
    "refused as blamed"
)
def sound_served(context, most):
    sound, lost_s = context.traffic.sound, context.pool.lost_s
    blamed = [each for each in sound if each.is_blamed]
    print(f"{len(blamed)} of {len(sound)} sound requests refused as blamed")
    assert len(blamed) <= most, blamed
    later = [each for each in sound if each.at_s > lost_s[-1] + BACK_S]
    assert later
    assert all(each.is_served for each in later), later


async def ask_all(context, path, traffic):
    """Send the deadly part to all hosts, once they are ready; note what it ends."""
    before = len(context.pool.lost_s)
    await anyio.sleep(LATE_S)
    traffic.deadly.clear()
    traffic.hosts = tuple(range(context.daemons))
    await traffic.come(6)
    context.more = len(context.pool.lost_s) - before


async def meet(context, path, hosts):
    """Have some hosts meet a deadly part until they refuse it."""
    context.traffic = Traffic(path, tuple(hosts))
    await context.traffic.warm_up()
    context.pool = crash_by_parts(path, "refuses")
    await context.traffic.come(14)
    await anyio.sleep(BACK_S)


def hearing(was, hears):
    """Return how the third host receives what others tell it of losses."""

    async def receive(link, daemon, message):
        if link._hub.identity.name != "host-2":
            await hears(link, daemon, message)
        elif was == "heard the others 1 s late":
            await anyio.sleep(LATE_S)
            await hears(link, daemon, message)

    return receive


@when("two hosts meet a deadly part, and the third {was} then")
@in_parts
async def third_host(context, path, was):
    hears = CrashWatch.handle
    if was == "was not started":
        await path.kill_daemon("host-2")
    elif was.startswith("heard"):
        CrashWatch.handle = hearing(was, hears)
        # A daemon that runs has its handlers already.
        await path.restart_daemon("host-2")
        await path.until_ready(2)
    try:
        await meet(context, path, range(2))
        if not was.startswith("heard"):
            await path.restart_daemon("host-2")
            await path.until_ready(2)
        await ask_all(context, path, context.traffic)
    finally:
        CrashWatch.handle = hears


@when("hosts meet a deadly part, and all of them start again")
@in_parts
async def all_start_again(context, path):
    await meet(context, path, range(3))
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
    deadly = context.traffic.deadly
    assert all(each.status == 503 for each in deadly), deadly
    assert context.more <= more, context.more


@when("2 deadly parts come once to each host, and then again")
@in_parts
async def once_to_each(context, path):
    traffic = context.traffic = Traffic(path, tuple(range(3)))
    await traffic.warm_up()
    context.pool = crash_by_parts(path, "refuses")
    for turn in range(4):
        for part in PARTS:
            await traffic.come(3, part, pause_s=0.3)
        await anyio.sleep(0.1 * turn)


@when("half of the engines end at once {times:d} times beside sound requests")
@in_parts
async def half_ends(context, path, times):
    traffic = context.traffic = Traffic(path, tuple(range(3)))
    await traffic.warm_up()
    for each in path.engines:
        each.pause_s = 0.02
    context.pool = CrashingPool(path, "refuses")
    luck = random.Random(63)
    context.ended_s = []

    async def end_half():
        for _ in range(times):
            await anyio.sleep(1.2)
            context.ended_s.append(anyio.current_time())
            for each in luck.sample(path.engines, len(path.engines) // 2):
                context.pool.crash(each)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(end_half)
        for number in range(240):
            tasks.start_soon(traffic.send, traffic.sound, number, number % 3)
            await anyio.sleep(0.025)


@then("at most {most:d} sound request is refused as blamed, and no later one")
def none_blamed(context, most):
    sound = context.traffic.sound
    blamed = [each for each in sound if each.is_blamed]
    print(f"{len(blamed)} of {len(sound)} sound requests refused as blamed")
    assert len(blamed) <= most, blamed
    assert all(each.at_s < context.ended_s[-1] + BACK_S for each in blamed), blamed


@when("a deadly part ends an engine, and the proof of its loss takes {seconds:g} s")
@in_parts
async def proof_takes(context, path, seconds):
    traffic = context.traffic = Traffic(path, (0,))
    await traffic.warm_up()
    context.pool = crash_by_parts(path, "refuses")
    lost = CrashWatch.record_endpoint_lost

    async def lost_later(link, *loss):
        await anyio.sleep(seconds)
        await lost(link, *loss)

    CrashWatch.record_endpoint_lost = lost_later
    try:
        await traffic.come(1)
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
        await anyio.sleep(RUNS_S)
        if ResettingEndpoint.resets:
            ResettingEndpoint.resets -= 1
            responder._connection._wire.reset()
            return
        await super().answer(request, responder, behaviour)


class ResettingPath(WholePath):
    """A whole path with such endpoints."""

    plain_kind = ResettingEndpoint


@when(
    "the connections of {count:d} look-ups are reset at once, and their endpoints run "
    "on"
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
