import time

import anyio
from behave import then, when
from counting import CountingPath
from repeating_pool import RepeatingPool
from whole_path import whole_path

from knapweedbridge_daemon.serving.dialects import DaemonKeys
from knapweedbridge_daemon.serving.own_records import read_era

SLACK = 30


@when(
    "nine hosts repeat all they may from {from_s:g} to {until_s:g} s: {story}, "
    "{requests:d} requests a second"
)
def repeat_all(context, from_s, until_s, story, requests):
    context.pool = RepeatingPool(story, requests, from_s)
    context.pool.play(until_s)


@then("no window of 10 s has more repeats than its requests and the slack allow")
def within_allowance(context):
    assert context.pool.arrivals_s
    assert context.pool.worst() <= 0, context.pool.worst()


@then(
    "within {seconds:g} s they are granted {least:d} in a hundred of what is allowed "
    "in the window"
)
def are_granted(context, seconds, least):
    pool = context.pool
    granted = pool.count(pool.arrivals_s, pool.failing_from_s, seconds)
    allowed = pool.allowed(pool.failing_from_s)
    assert granted >= least / 100 * allowed, (granted, allowed)


@then("each window of 10 s from 23 s on has a third of the repeats that are allowed")
def has_a_third(context):
    pool = context.pool
    for from_s in range(23, 36):
        granted = pool.count(pool.arrivals_s, from_s)
        assert granted >= pool.allowed(from_s) / 3, (from_s, granted)


async def fail_look_ups(path, count):
    """Make look-ups that both endpoints fail."""
    for desk in path.desks:
        desk.behaviour = ["fail"] * 10 * count
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(path.call, "GET", f"/look/{number}")


@when(
    "{count:d} look-ups fail, the daemon is killed and starts again, and {more:d} more "
    "fail: {story}"
)
def killed_among_failures(context, count, more, story):
    async def scenario():
        bounds = {"budget_slack": SLACK}
        async with whole_path(1, bounds=bounds, kind=CountingPath) as path:
            context.path = path
            await anyio.sleep(3)
            path.store.down = "away" in story
            await fail_look_ups(path, count)
            await path.kill_daemon("host-0")
            path.store.down = False
            await path.start_again("host-0")
            await path.until_ready(0)
            await anyio.sleep(1)
            await fail_look_ups(path, more)
            context.repeats = path.count_repeats()
            context.allowed = 0.2 * (count + more) + SLACK
            context.span_s = path.repeats_s[-1] - path.repeats_s[0]

    anyio.run(scenario)


@then("no 10 s have more repeats than a fifth of the look-ups and the slack")
def path_within_allowance(context):
    assert context.span_s < 10, context.span_s
    assert context.repeats <= context.allowed, (context.repeats, context.allowed)


@then("more than {least:d} repeats have arrived")
def some_repeats(context, least):
    assert context.repeats > least, context.repeats


@when("the store comes back from an older copy")
def comes_back_older(context):
    async def scenario():
        key = DaemonKeys().era
        async with whole_path() as path:
            context.path = path
            context.eras = [read_era(path.store.items[key][0])]
            path.store.come_back(path.store.copy())
            await path.until(
                lambda: read_era(path.store.items[key][0])[0] == 2, "the era is known"
            )
            context.eras.append(read_era(path.store.items[key][0]))

    anyio.run(scenario)


@then("its first era was recorded as begun at any time, and the next as begun just now")
def eras_recorded(context):
    (first, first_s), (second, second_s) = context.eras
    assert (first, first_s, second) == (1, 0.0, 2), context.eras
    assert 0 <= time.time() - second_s < 10, context.eras
