from collections import Counter

import anyio
import msgpack
from behave import given, then, when

from knapweedbridge_core.codec import decode, encode
from knapweedbridge_core.serving import (
    AttemptEnd,
    DaemonRecord,
    EndpointRecord,
    PlainAsk,
)
from knapweedbridge_core.serving.cluster_state import EndpointNamed
from knapweedbridge_core.serving.permit_messages import PermitResponse
from knapweedbridge_daemon.serving.plain_load_server import load_coordinator
from knapweedbridge_daemon.serving.plain_version_probe import is_plain_message
from knapweedbridge_standins.relay_pool import RelayPool
from knapweedbridge_standins.virtual_loop import run_virtually

SETTLED_S = 4.0
OBJECTIVE_S = 0.4


@given("a pool of {daemons:d} daemons before {endpoints:d} plain endpoints of 6 slots")
def pool_before(context, daemons, endpoints):
    context.daemons, context.plain = daemons, endpoints


def played(context, story):
    """Run a story in a pool whose daemons know each other and the endpoints."""

    async def whole():
        async with anyio.create_task_group() as tasks:
            records = [
                DaemonRecord(f"h{n}", 1, "a:1", f"d{n % 2}")
                for n in range(context.daemons)
            ]
            pool = RelayPool(tasks, records)
            await anyio.sleep(SETTLED_S)
            for daemon in pool.daemons.values():
                list_endpoints(daemon, context.plain)
            context.sent = 0
            count_messages(context, pool)
            await probe_versions(pool)
            await story(pool)
            tasks.cancel_scope.cancel()

    run_virtually(whole())


def list_endpoints(daemon, count):
    for number in range(count):
        record = EndpointRecord(
            f"p{number}", "files", "10.0.0.1:80", f"d{number}", 6, False
        )
        daemon.hub.cluster.take(EndpointNamed(record), anyio.current_time())


def count_messages(context, pool):
    send = pool.wire.send

    def counted(sender, hearer, message):
        if is_plain_message(message):
            context.sent += 1
            message = decode(msgpack.unpackb(encode(message)))
        send(sender, hearer, message)

    pool.wire.send = counted


async def probe_versions(pool):
    """Probe the versions of the coordinators, as the first requests do."""
    for daemon in pool.daemons.values():
        for endpoint in endpoints_of(daemon):
            coordinator = load_coordinator(daemon.hub, endpoint)
            if not daemon.hub.cluster.is_small_pool:
                await daemon.link.plain._client._may_request(coordinator)
    await anyio.sleep(0.01)


def endpoints_of(daemon):
    return daemon.hub.cluster.fleet.of_service("files", anyio.current_time())


async def place(daemon, data_centre="d0"):
    """Place a request as `CallPlacer` does; return its endpoint and time in ms."""
    ask = PlainAsk(data_centre, frozenset(), OBJECTIVE_S)
    began_s = anyio.current_time()
    endpoint = await daemon.link.plain.choose(ask, endpoints_of(daemon))
    endpoint.own_calls += 1
    return endpoint, (anyio.current_time() - began_s) * 1000


def near_daemons(pool):
    return [each for each in pool.daemons.values() if int(each.name[1:]) % 2 == 0]


@when("{requests:d} daemons of one data centre place a request each, {gap:d} ms apart")
def place_each(context, requests, gap):
    async def story(pool):
        context.chosen = []
        near = near_daemons(pool)
        for number in range(requests):
            daemon = near[number % len(near)]
            endpoint, _ = await place(daemon)
            context.chosen.append(endpoint.name)
            await anyio.sleep(gap / 1000)

    played(context, story)


@then("the endpoints run {running}, and {messages} plain messages were sent")
def endpoints_run(context, running, messages):
    counts = [context.chosen.count(f"p{n}") for n in range(context.plain)]
    assert counts == list(map(int, running.split())), counts
    assert (context.sent > 0) == (messages == "some"), context.sent


@then("no endpoint runs more than {most:d} of them")
def none_runs_more(context, most):
    counts = Counter(context.chosen)
    assert max(counts.values()) <= most, counts


@when("the coordinator of the near endpoint is {trouble}, and a request is placed")
def in_trouble(context, trouble):
    async def story(pool):
        coordinator = load_coordinator(
            near_daemons(pool)[0].hub, endpoints_of(near_daemons(pool)[0])[0]
        )
        requester = next(
            each for each in near_daemons(pool) if each.name != coordinator
        )
        if trouble.startswith("cut"):
            pool.wire.cut.add(coordinator)
        elif trouble == "older":
            make_older(pool, coordinator)
        first, context.first_ms = await place(requester)
        second, context.next_ms = await place(requester)
        context.names = first.name, second.name
        if "unlisted" in trouble:
            pool.unlist_daemon(coordinator)
        context.requester, context.pool = requester, pool
        context.later = []
        for _ in range(2):
            # The first request probes the version of a new coordinator.
            await anyio.sleep(1.2)
            placed_s = anyio.current_time()
            await place(requester)
            known = requester.link.plain._client._known.get("p0")
            context.later.append(known is not None and known.received_s >= placed_s)

    played(context, story)


def make_older(pool, coordinator):
    """Make a daemon fail on messages that older versions do not know."""
    daemon, take = pool.daemons[coordinator], pool.daemons[coordinator].link._dispatch
    for each in pool.daemons.values():
        each.link.plain._client._counting_incarnations.pop(coordinator, None)
        each.link.plain._client._paused_until_s.pop(coordinator, None)

    async def take_older(sender, message):
        if isinstance(message, PermitResponse):
            await daemon.link.permits.handle(sender, message)
            return
        assert not is_plain_message(message), "an older daemon would close the stream"
        await take(sender, message)

    pool.wire.hear(coordinator, take_older)


@then("it goes to the near endpoint after {least:d} to {most:d} ms")
def goes_near(context, least, most):
    assert context.names == ("p0", "p0"), context.names
    assert least - 0.1 <= context.first_ms <= most, context.first_ms


@then("the next one goes there after 0 to {most:d} ms")
def next_goes(context, most):
    assert context.next_ms <= most, context.next_ms


@then("a request that is placed {after:g} s later is counted: {counted}")
def later_counted(context, after, counted):
    found = context.later[-1]
    assert found == (counted == "yes"), context.later


@when("6 requests are placed at the near endpoint, and each of them {story}")
def placed_then(context, story):
    ends = {"is answered": AttemptEnd.ANSWERED, "is aborted": AttemptEnd.ABANDONED}

    async def whole(pool):
        for daemon in near_daemons(pool)[:6]:
            if story.startswith("is cancelled"):
                with anyio.move_on_after(0.001):
                    await place(daemon)
                continue
            endpoint, _ = await place(daemon)
            if story in ends:
                await daemon.link.plain.ended(endpoint, ends[story])
        await anyio.sleep(0.05)
        requester = near_daemons(pool)[0]
        endpoint = endpoints_of(requester)[0]
        coordinator = pool.daemons[load_coordinator(requester.hub, endpoint)]
        counter = coordinator.link.plain._server._counters[endpoint.start]
        context.count = counter.state(anyio.current_time()).running

    played(context, whole)


@then("its coordinator counts {count:d} requests there")
def counts(context, count):
    assert context.count == count, context.count
