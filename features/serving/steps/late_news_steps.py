from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import ClusterState, DaemonRecord
from knapweedbridge_core.serving.cluster_state import DaemonNamed
from knapweedbridge_core.serving.messages import RelayRequest, StoreUpdate
from knapweedbridge_daemon.serving.relay_log import RelayLog
from knapweedbridge_daemon.serving.store_update_codec import pack_items
from knapweedbridge_daemon.store import StoreItem, StoreItems
from knapweedbridge_standins.relay_pool import (
    ListedStore,
    PoolDaemon,
    RelayPool,
    endpoint_item,
)
from knapweedbridge_standins.serving_histories import HISTORIES
from knapweedbridge_standins.virtual_loop import run_virtually

SETTLED_S = 6.0
OFFSETS_S = [0.11 * n for n in range(15)]
RECORDS = [DaemonRecord(f"h{n}", 1, "a:1", f"d{n % 2}") for n in range(40)]


def believed():
    cluster = ClusterState()
    for record in RECORDS:
        cluster.take(DaemonNamed(record), 0.0)
    return cluster


class Story:
    """Four relays and a hearer of one of them, in data centres of twenty."""

    def __init__(self, tasks):
        cluster = believed()
        self.relays = cluster.relays["d1"]
        self.hearer = next(
            record.name
            for record in RECORDS
            if cluster.relays_for(record.name, "d1")[:1] == self.relays[:1]
        )
        played = {*self.relays, *cluster.relays["d0"], self.hearer}
        self.pool = RelayPool(tasks, RECORDS, played)
        self.pool.store.list_endpoint("e1")

    @property
    def own_relay(self):
        return self.relays[0]


async def nothing(story):
    pass


async def freeze(story):
    story.pool.wire.cut.add(story.own_relay)
    story.pool.store.turned_away.add(story.own_relay)


async def fill_links(story, relays):
    """Let a queue of 4 s grow, so slowly that messages never stop coming."""
    for tenths in range(1, 41):
        await anyio.sleep(0.15)
        for relay in relays:
            story.pool.wire.held_s[relay] = tenths / 10


async def fill_one(story):
    await fill_links(story, story.relays[:1])


async def fill_both(story):
    await fill_links(story, story.relays)


async def turn_one_away(story):
    story.pool.store.turned_away.add(story.own_relay)


async def turn_both_away(story):
    story.pool.store.turned_away.update(story.relays)


TROUBLES = {
    "nothing happens": nothing,
    "its relay is frozen": freeze,
    "its relay's link has filled up for 4 s": fill_one,
    "both relays' links have filled up for 4 s": fill_both,
    "the store answers its relay no more": turn_one_away,
    "the store answers both relays no more": turn_both_away,
}


async def lag_s(changes, trouble, offset_s, who="a hearer of that relay"):
    """Return how long after the store's word a daemon knows of the leaving."""
    async with anyio.create_task_group() as tasks:
        story = Story(tasks)
        tasks.start_soon(story.pool.change, changes)
        await anyio.sleep(SETTLED_S + offset_s)
        await trouble(story)
        story.pool.store.list_endpoint("e1", leaving=True)
        acknowledged_s = anyio.current_time()
        name = story.hearer if who == "a hearer of that relay" else story.own_relay
        daemon = story.pool.daemons[name]
        while not daemon.knows_leaving("e1"):
            if anyio.current_time() - acknowledged_s > 10:
                break
            await anyio.sleep(0.01)
        took_s = anyio.current_time() - acknowledged_s
        tasks.cancel_scope.cancel()
    return took_s


@given(
    "a pool of 40 daemons in 2 data centres whose store changes {changes:g} times a "
    "second"
)
def busy_pool(context, changes):
    context.changes = changes


@when("the store turns a hearer away, which misses {missed}, and an endpoint leaves")
def hearer_turned_away(context, missed):
    silent_s = 0.0 if missed == "nothing" else float(missed.split()[-2])

    async def trouble(story):
        path = story.own_relay, story.hearer
        story.pool.store.turned_away.add(story.hearer)
        story.pool.wire.lost.add(path)
        await anyio.sleep(silent_s)
        story.pool.wire.lost.discard(path)

    context.trouble = trouble


def turned_away(story, whom):
    """Name the daemons of a data centre that the store is to turn away."""
    if whom == "the relay":
        return [story.own_relay]
    if whom == "the relay and a hearer":
        return [story.own_relay, story.hearer]
    return [*story.relays, story.hearer]


@when("the store turns {whom} away, and an endpoint leaves {moment}")
def some_turned_away(context, whom, moment):
    async def trouble(story):
        story.pool.store.turned_away.update(turned_away(story, whom))
        await anyio.sleep(0.0 if moment == "at once" else 5.0)

    context.trouble = trouble


@when("{trouble}, and an endpoint leaves")
def trouble_comes(context, trouble):
    context.trouble = TROUBLES[trouble]


@then("{who} knows within {bound_s:g} s")
def known_in_time(context, who, bound_s):
    lags_s = [
        run_virtually(lag_s(context.changes, context.trouble, each, who))
        for each in OFFSETS_S
    ]
    assert max(lags_s) <= bound_s, max(lags_s)


async def calls_in_peace(changes):
    """Return the calls of the hearer and its relay in 20 s, all being well."""
    async with anyio.create_task_group() as tasks:
        story = Story(tasks)
        tasks.start_soon(story.pool.change, changes)
        await anyio.sleep(SETTLED_S)
        counts = story.pool.store.calls
        counts.clear()
        await anyio.sleep(20)
        calls = counts[story.hearer], counts[story.own_relay]
        tasks.cancel_scope.cancel()
    return calls


@when("nothing happens for 20 s")
def peace(context):
    context.calls = run_virtually(calls_in_peace(context.changes))


@then("eighteen hearers call the store less often than two relays")
def fewer_calls(context):
    hearer, relay = context.calls
    assert 18 * hearer < 2 * relay, context.calls


@given("a relay that handed on changes of {keys:d} keys up to revision {newest:d}")
def handed_on(context, keys, newest):
    context.log = RelayLog()
    for revision in range(6, newest + 1):
        item = StoreItem(f"k{revision % keys}", b"", revision)
        context.log.add(revision - 1, [item])


@when("a hearer has missed what came after revision {known:d}")
def has_gap_before(context, known):
    context.missed = context.log.after(known)


@then("it is told nothing, as some are gone")
def told_nothing(context):
    assert context.missed is None


@then("it is told {count:d} items, all after {known:d}")
def told_items(context, count, known):
    assert len(context.missed) == count, len(context.missed)
    assert all(item.revision > known for item in context.missed)
    assert len({item.key for item in context.missed}) == count


class SlowStore:
    """Answers a look with the entry of revision 9, after a while."""

    def __init__(self, took_s):
        self.took_s = took_s

    async def read_changes(self, prefix, revision, wait_s):
        await anyio.sleep(self.took_s)
        return StoreItems([endpoint_item("e1", False, 9)], 9)


@given(
    "a hearer that looks at the store, whose answer of revision 9 takes {took_s:g} s"
)
def looking_hearer(context, took_s):
    wire = SimpleNamespace(hear=lambda *hearer: None)
    daemon = PoolDaemon(RECORDS[1], RECORDS, ListedStore(), wire)
    daemon.hub.dialects.store = SlowStore(took_s)
    daemon.follower._revision = 8
    context.daemon = daemon


@when(
    "its relay tells it meanwhile, at revision {revision:d}, that the endpoint leaves"
)
def overtaken(context, revision):
    follower = context.daemon.follower

    async def story():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower._watch_once, "", 0.0)
            await anyio.sleep(0.1)
            items = [endpoint_item("e1", True, revision)]
            follower.heard("h3", StoreUpdate(8, revision, pack_items(items)))
            assert context.daemon.knows_leaving("e1")

    run_virtually(story())


@then(
    "the endpoint is still leaving once the answer has come, at revision {revision:d}"
)
def keep_leaving(context, revision):
    assert context.daemon.knows_leaving("e1")
    assert context.daemon.follower._revision == revision


@then('the random history {seed:d} of "{mechanism}" breaks nothing')
def history_holds(context, seed, mechanism):
    broken = HISTORIES[mechanism](seed)
    assert not broken, broken[:5]


class SentPeers:
    """Keeps what a daemon sends, with the time of each message."""

    def __init__(self):
        self.sent = []

    def send(self, daemon, message):
        self.sent.append((daemon, message))


@given("a daemon at revision {revision:d} that the store turns away")
def behind(context, revision):
    daemon = PoolDaemon(
        RECORDS[5], RECORDS, ListedStore(), SimpleNamespace(hear=lambda *hearer: None)
    )
    daemon.follower._revision = revision
    daemon.link._peers = context.peers = SentPeers()
    context.daemon = daemon


async def tell_of(context, relay, since):
    told = StoreUpdate(since, since + 1, pack_items([]))
    await context.daemon.link._dispatch(relay, told)


@when("relay h1 tells it of changes after {since:d}, and relay h3 {pause_s:g} s later")
def relays_tell(context, since, pause_s):
    async def story():
        await tell_of(context, "h1", since)
        await anyio.sleep(pause_s)
        await tell_of(context, "h3", since)
        context.asked = list(context.peers.sent)
        await anyio.sleep(0.2)
        await tell_of(context, "h1", since)
        await tell_of(context, "h3", since)
        context.asked_later = context.peers.sent[len(context.asked) :]

    run_virtually(story())


@then("it has asked h1 and h3 for what came after {revision:d}")
def asked_both(context, revision):
    question = RelayRequest(False, revision)
    assert context.asked == [("h1", question), ("h3", question)], context.asked


@then("when both tell again 0.2 s later, it asks neither again")
def asks_neither(context):
    assert not context.asked_later, context.asked_later
