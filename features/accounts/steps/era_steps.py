import time

import anyio
from behave import then, when
from stories import played
from whole_path import configuration, route

from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.store import HistoryGoneError, Transaction
from knapweedbridge_platform.store import PlatformStore

NEW_ROUTE = route("new", "/new/", "desk", "idempotent")


async def drafts(path, answers, seconds, daemons):
    until_s = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until_s:
        number += 1
        answer = await path.draft(f"base/a{number % 8}", number % daemons)
        answers.append((time.monotonic(), answer.status_code))


@when("the store is restored from a copy older than its daemons, and drafts go on")
@played(lease_ms=3000)
async def comes_back(context, path):
    copy = path.store.copy()
    context.answers = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(drafts, path, context.answers, 9.0, context.daemons)
        for _ in range(20):
            path.store.put("others/x", b"lost")
        await anyio.sleep(1.5)
        path.store.down = True
        await anyio.sleep(0.5)
        path.store.down = False
        path.store.come_back(copy)
        context.back_s = time.monotonic()
    context.owners = {
        key: value
        for key, (value, _, lease) in path.store.items.items()
        if "/owners/" in key and lease in path.store.leases
    }
    context.listed = [key for key in path.store.items if "/daemons/" in key]


@then("drafts were answered during and after the restore")
def answered_through(context):
    during = [s for at_s, s in context.answers if 0 < at_s - context.back_s < 3]
    after = [s for at_s, s in context.answers if at_s - context.back_s >= 3]
    assert during.count(200) > 0.8 * len(during) > 0, during
    assert after.count(200) > 0.95 * len(after) > 0, after


@then(
    "no engine was ordered by two daemons at a time, nor under a lower fencing number"
)
def rising_numbers(context):
    eras = set()
    for engine in context.path.engines:
        numbers = [order["fencing_token"] for order in engine.orders]
        assert numbers == sorted(numbers), numbers
        holders = {(o["fencing_token"], o["holder"]) for o in engine.orders}
        assert len(holders) == len({number for number, _ in holders}), holders
    eras = {
        order["fencing_token"] >> 40 for e in context.path.engines for order in e.orders
    }
    assert eras == {1, 2}, eras


@then("each engine has one owner that is listed")
def one_owner_listed(context):
    assert len(context.owners) == len(context.path.engines), context.owners
    assert len(context.listed) == context.daemons, context.listed


@when("a configuration adds a route, and the store is restored from before it")
@played(lease_ms=3000)
async def configuration_lost(context, path):
    copy = path.store.copy()
    changed = configuration(2)
    changed["routes"].append(NEW_ROUTE)
    path.store.put("op/config", changed)
    await anyio.sleep(2.0)
    path.store.come_back(copy)
    context.statuses = []
    for number in range(30):
        answer = await path.call("GET", "/new/1", number % context.daemons)
        context.statuses.append(answer.status_code)
        await anyio.sleep(0.1)
    path.store.put("op/config", changed)
    path.store.put("op/config", configuration(3, drop=("look",)))
    await anyio.sleep(2.0)
    context.dropped = [
        (await path.call("GET", "/look/1", daemon)).status_code
        for daemon in range(context.daemons)
    ]


@then("calls of the new route are always answered")
def all_along(context):
    assert set(context.statuses) == {200}, context.statuses


@then("the next configuration is in force within {seconds:d} s on all, {though}")
def next_in_force(context, seconds, though):
    assert set(context.dropped) == {404}, context.dropped


@when("an endpoint drains, and the store is restored from before that")
@played(lease_ms=3000)
async def leaving_lost(context, path):
    copy = path.store.copy()
    desk = path.desks[0]
    path.store.put(f"servers/{desk.name}", desk.entry(state="draining"))
    await anyio.sleep(2.0)
    desk.requests.clear()
    path.store.come_back(copy)
    for _ in range(20):
        await path.call("GET", "/look/1")
        await anyio.sleep(0.1)


@then("it gets no call in the next {seconds:d} s")
def no_call(context, seconds):
    left, other = context.path.desks
    assert not left.requests, len(left.requests)
    assert other.requests


@when("the store is restored, and writes another's record under the revision of ours")
@played(lease_ms=3000)
async def written_again(context, path):
    store = PlatformStore(path.store.address, 1.0)
    copy = path.store.copy()
    ours = await store.commit(Transaction({"mine/x": 0}, {"mine/x": b"ours"}))
    path.store.come_back(copy)
    # As many changes as before, so that another's record gets our revision.
    while path.store.revision + 1 < ours.revision & 0xFFFF:
        path.store.put("mine/y", b"between")
    path.store.put("mine/x", b"another's")
    context.outcomes = []
    for _ in range(2):
        try:
            found = await store.commit(
                Transaction({"mine/x": ours.revision}, {"mine/x": b"ours again"})
            )
            context.outcomes.append(found.applied)
        except StoreError as error:
            context.outcomes.append(type(error).__name__)
        try:
            await store.read_changes("mine/", ours.revision, 0.0)
            context.outcomes.append("changes")
        except HistoryGoneError:
            context.outcomes.append("history gone")
    context.value = path.store.items["mine/x"][0]
    await store.close()


@then("ours is not replaced by a transaction that compares the revision of before")
def not_replaced(context):
    # The first call is sent before any response of the new era has arrived.
    assert context.outcomes[1] == "history gone", context.outcomes
    assert context.outcomes[2:] == [False, "history gone"], context.outcomes
