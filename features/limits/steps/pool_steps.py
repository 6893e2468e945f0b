import math

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import DaemonRecord
from knapweedbridge_core.serving.messages import RelayRequest
from knapweedbridge_core.serving.permit_messages import LimitReport, LimitUpdate
from knapweedbridge_daemon.serving.dialects import ResponseDetails
from knapweedbridge_daemon.serving.wire import ResponseHead
from knapweedbridge_platform.endpoints import PlatformEndpoints
from knapweedbridge_standins.relay_pool import RelayPool
from knapweedbridge_standins.serving_histories import HISTORIES
from knapweedbridge_standins.virtual_loop import run_virtually

SETTLED_S = 4.0
SPREAD_S = 0.1
REQUEST_PERIOD_S = 2.5


@when('an endpoint\'s response names the limit "{value}"')
def answer_names(context, value):
    headers = [(b"Server-Limit", value.encode())]
    context.answer = PlatformEndpoints().read_response(ResponseHead(200, headers, b""))


@then("it is read as {limit}")
def read_as(context, limit):
    answer = context.answer
    if limit == "unreadable":
        assert answer.limit_per_s is None and answer.unreadable, answer
    else:
        assert answer.limit_per_s == float(limit), answer
        assert not answer.unreadable, answer


@given("a pool of {daemons:d} daemons, whose relays subscribe to each other")
def relaying_pool(context, daemons):
    context.daemons = daemons


async def settled(context, tasks):
    records = [
        DaemonRecord(f"h{n}", 1, "a:1", f"d{n % 2}") for n in range(context.daemons)
    ]
    pool = RelayPool(tasks, records)
    pool.store.list_endpoint("e0")
    for daemon in pool.daemons.values():
        daemon.hub.lease.ends_s = math.inf
    await anyio.sleep(SETTLED_S)
    for relays in pool.daemons["h0"].hub.cluster.relays.values():
        first, second = relays
        await pool.daemons[first].link.send(second, RelayRequest())
        await pool.daemons[second].link.send(first, RelayRequest())
    await anyio.sleep(0.01)
    return pool


def endpoint_of(daemon):
    return daemon.hub.cluster.fleet.endpoints["e0"]


async def record_limit(daemon, limit_per_s, endpoint=None, sent_s=math.inf):
    answer = ResponseDetails(
        False, True, False, endpoint=endpoint, limit_per_s=limit_per_s
    )
    await daemon.link.backpressure.take(endpoint_of(daemon), answer, sent_s)


@when("one of them learns that an endpoint accepts 1 call a second")
def one_hears(context):
    async def story():
        async with anyio.create_task_group() as tasks:
            pool = await settled(context, tasks)
            messages, send = [], pool.wire.send

            def counted(sender, receiver, message):
                if isinstance(message, LimitReport | LimitUpdate):
                    messages.append(message)
                send(sender, receiver, message)

            pool.wire.send = counted
            await record_limit(pool.daemons["h3"], 1.0)
            await anyio.sleep(SPREAD_S)
            known = [endpoint_of(each).pressure for each in pool.daemons.values()]
            context.unaware = sum(each.limit_per_s != 1.0 for each in known)
            await anyio.sleep(2.0)
            context.messages = len(messages)
            tasks.cancel_scope.cancel()

    run_virtually(story())


@then("all know it within 0.1 s, through at most {messages:d} messages")
def all_know(context, messages):
    assert not context.unaware, context.unaware
    assert context.messages <= messages, context.messages


@when("an endpoint names a limit, and its coordinator is cut off")
def keeper_cut_off(context):
    async def story():
        async with anyio.create_task_group() as tasks:
            pool = await settled(context, tasks)
            requester = pool.daemons["h3"]
            await record_limit(requester, 5.0)
            await anyio.sleep(1.0)
            coordinator = requester.link.permits._coordinator(endpoint_of(requester))
            others = [
                each for each in pool.daemons.values() if each.name != coordinator
            ]
            pool.wire.cut.add(coordinator)
            context.without = await permits(others)
            pool.unlist_daemon(coordinator)
            await anyio.sleep(1.0)
            context.after = await permits(others)
            tasks.cancel_scope.cancel()

    run_virtually(story())


async def permits(daemons):
    """Count the permits that daemons get within `REQUEST_PERIOD_S`."""
    count, until_s = 0, anyio.current_time() + REQUEST_PERIOD_S
    while anyio.current_time() < until_s:
        for daemon in daemons:
            count += await daemon.link.permits.take(endpoint_of(daemon))
        await anyio.sleep(0.05)
    return count


@then("no other daemon gets a permit, until the coordinator is removed from the list")
def none_without(context):
    assert context.without == 0, context.without
    assert context.after > 0, context.after


@when("a response of another endpoint at its address names a limit")
def another_names(context):
    async def story():
        async with anyio.create_task_group() as tasks:
            pool = await settled(context, tasks)
            await record_limit(pool.daemons["h3"], 1.0, endpoint="e1")
            await anyio.sleep(SPREAD_S)
            known = [endpoint_of(each).pressure for each in pool.daemons.values()]
            context.limited = [each for each in known if each.is_limited]
            tasks.cancel_scope.cancel()

    run_virtually(story())


@then("no daemon treats the endpoint as limited")
def none_limited(context):
    assert not context.limited, context.limited


@when("a limit is named, and a response to an earlier call, without one, comes later")
def answer_of_before(context):
    async def story():
        async with anyio.create_task_group() as tasks:
            pool = await settled(context, tasks)
            sent_s = anyio.current_time()
            await anyio.sleep(0.01)
            await record_limit(pool.daemons["h3"], 1.0)
            await anyio.sleep(SPREAD_S)
            await record_limit(pool.daemons["h5"], None, sent_s=sent_s)
            await anyio.sleep(SPREAD_S)
            known = [endpoint_of(each).pressure for each in pool.daemons.values()]
            context.limited = [each for each in known if each.is_limited]
            tasks.cancel_scope.cancel()

    run_virtually(story())


@then("all {count:d} daemons treat the endpoint as limited")
def all_limited(context, count):
    assert len(context.limited) == count, context.limited


@then('{count:d} random histories of "{mechanism}" break nothing')
def histories_hold(context, count, mechanism):
    broken = {seed: HISTORIES[mechanism](seed) for seed in range(count)}
    assert not any(broken.values()), {seed: b[:3] for seed, b in broken.items() if b}
