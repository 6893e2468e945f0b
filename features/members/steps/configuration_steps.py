from itertools import count

import anyio
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from knapweedbridge_core import Bridge, events
from knapweedbridge_core.actions import Record
from knapweedbridge_core.changes import change
from knapweedbridge_core.configuration import build, build_parts
from knapweedbridge_core.members import Members
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.parts import EMPTY, Parts
from knapweedbridge_daemon import proposals
from knapweedbridge_daemon.configurations import (
    GENERATION_KEY,
    PART_KEY,
    Accepted,
    Conflict,
    read_parts,
    read_records,
    read_root,
    write_parts,
)
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.history import read_sections
from knapweedbridge_standins.configuration_history import (
    ConfigurationHistory,
)
from knapweedbridge_standins.configuration_history import (
    run_at_once as run,
)
from knapweedbridge_standins.configuration_runs import run_overtaken
from knapweedbridge_standins.memory_store import MemoryStore, WriteFault

WRITES = count(1)


def folder(mark="m", adapters=3):
    sections = {"team optics": {}}
    for place in range(adapters):
        model = mark if place == 0 else "namib-7b"
        sections[f"adapter a{place}"] = {"team": "optics", "base_model": model}
        sections[f"version a{place}@1"] = {}
    return sections


def apply(store, based_on, sections, highest=0):
    token = f"write {next(WRITES)}"
    return run(write_parts(store, based_on, Parts.of(sections), token, highest))


def held_by(store):
    stored = run(read_root(store))
    return stored, run(read_parts(store, stored.root, Parts())).sections()


@given("generation 1 is accepted")
def first_accepted(context):
    context.store = MemoryStore()
    assert apply(context.store, 0, folder()) == Accepted(1)


@when("the next write is {fault} and an operator applies another folder")
def apply_with_fate(context, fault):
    context.store.next_writes = [WriteFault(fault)]
    context.wanted = folder("other")
    context.ended = apply(context.store, 1, context.wanted)


@then("the operator's response says that generation {number:d} was accepted")
def told_accepted(context, number):
    assert context.ended == Accepted(number), context.ended


@then("the key-value service holds that folder as generation {number:d}")
def holds_folder(context, number):
    stored, sections = held_by(context.store)
    run(read_root(context.store))
    assert stored.generation == number
    assert sections == context.wanted
    assert len(run(read_records(context.store))) == number


@when(
    "two operators apply {kind} folders at the same time "
    "and the loser's responses are lost"
)
def two_race(context, kind):
    first = folder("first")
    second = folder("first" if kind == "equal" else "second")
    context.store.next_writes = [WriteFault.NONE, WriteFault.LOST, WriteFault.LOST]
    ended = []
    context.store.before_write = lambda: ended.append(apply(context.store, 1, second))
    ended.append(apply(context.store, 1, first))
    context.ended = ended


@then(
    "one response says that generation 2 was accepted and the other reports a conflict"
)
def one_each(context):
    assert context.ended == [Accepted(2), Conflict(2)], context.ended


@when("a part in the key-value service has the wrong content")
def damage(context):
    key = next(key for key in context.store.values if key.startswith(PART_KEY))
    context.damaged = key.removeprefix(PART_KEY)
    context.store.values[key] = (b"\x81\xa1a\x80", 1)


@then("reading the configuration fails with an error that names the part")
def reading_fails(context):
    try:
        held_by(context.store)
    except StoreError as error:
        assert context.damaged[:12] in str(error), error
    else:
        raise AssertionError("no error was raised")


@when("{number:d} more generations change one adapter each")
def many_generations(context, number):
    context.applied = {1: folder()}
    for _ in range(number):
        generation = run(read_root(context.store)).generation
        wanted = folder(f"model-{generation}")
        context.applied[generation + 1] = wanted
        assert apply(context.store, generation, wanted) == Accepted(generation + 1)


@when("generation {number:d} is read while generation {newest:d} is accepted")
def read_while_accepted(context, number, newest):
    extra = {"team other": {}, **folder(f"model-{newest}")}
    extra["adapter a2"] = {"team": "other", "base_model": "other"}
    context.store.after_list = lambda: apply(context.store, newest - 1, extra)
    context.read = run(read_sections(context.store, number))
    assert run(read_root(context.store)).generation == newest


@then("the contents are those of generation {number:d}")
def contents_of(context, number):
    assert context.read == context.applied[number], context.read


@when("the first folder is applied again {times:d} times, alternating with another")
def back_and_forth(context, times):
    for wanted in [folder(), folder("another")] * times:
        generation = run(read_root(context.store)).generation
        context.applied[generation + 1] = wanted
        assert apply(context.store, generation, wanted) == Accepted(generation + 1)


@then("every retained generation can still be read completely")
def kept_readable(context):
    kept = [record.generation for record in run(read_records(context.store))]
    assert len(kept) == 64, len(kept)
    for generation in kept:
        sections = run(read_sections(context.store, generation))
        assert sections == context.applied[generation], generation


@then("every part in the key-value service belongs to a retained generation")
def no_orphans(context):
    kept = {record.generation for record in run(read_records(context.store))}
    named = {
        digest
        for generation in kept | {min(kept) - 1}
        for digest in Parts.of(context.applied[generation]).digests
    }
    parts = {
        key.removeprefix(PART_KEY)
        for key in context.store.values
        if key.startswith(PART_KEY)
    }
    assert parts <= named - {EMPTY}, len(parts - named)
    records = [key for key in context.store.values if key.startswith(GENERATION_KEY)]
    assert len(records) == len(kept)


class Reader:
    """A core that reads the key-value service as a daemon does."""

    def __init__(self, host="host-0"):
        self.bridge = Bridge(host, "dc1")
        self.records = []

    def tell(self, event):
        for action in self.bridge.handle(event, 1.0):
            if isinstance(action, Record):
                self.records.append(action)

    def read(self, store):
        stored = run(read_root(store))
        self.tell(events.RootRead(stored.root))
        held = self.bridge.configuration
        if stored.generation > held.generation:
            parts = run(read_parts(store, stored.root, held.parts))
            self.tell(events.PartsRead(stored.root, parts))


@given("generations 1 to 9 are accepted and a daemon holds the latest")
def nine_accepted(context):
    first_accepted(context)
    for generation in range(1, 9):
        apply(context.store, generation, folder(f"model-{generation}"))
        if generation == 4:
            context.snapshot = context.store.snapshot()
    context.reader = Reader()
    context.reader.read(context.store)
    assert context.reader.bridge.configuration.generation == 9


@when("the key-value service is restored with generation 5")
def comes_back(context):
    context.store.restore(context.snapshot)


@when("the daemon reads the key-value service")
def daemon_reads(context):
    context.reader.read(context.store)


@then("the daemon still holds generation 9 and its contents")
def still_holds(context):
    held = context.reader.bridge.configuration
    assert held.generation == 9
    assert held.sections == folder("model-8")


@then("the timeline records that the key-value service is older")
def says_older(context):
    kinds = [record.kind for record in context.reader.records]
    assert "configuration.service_is_older" in kinds


@when("an operator applies a folder through the daemon")
def applies_through(context):
    held = context.reader.bridge
    highest = held.distribution.highest_known
    generation = held.configuration.generation
    context.ended = apply(context.store, generation, folder("new"), highest)


@given("generation 1 of {adapters:d} adapters is active")
def in_force(context, adapters):
    pool = context.pool
    assert pool.apply(folder("m", adapters)) == 1
    assert pool.run_until(lambda: pool.in_force(1), 5) is not None
    pool.run(2)
    pool.reset_traffic()


@when("one adapter changes")
def one_changes(context):
    pool = context.pool
    pool.service.root_reads = 0
    mark = f"model-{pool.service.root.generation}"
    changed = {"adapter a1": {"team": "optics", "base_model": mark}}
    pool.apply_changes(changed)


@then("within {limit:g} s it is active on every daemon")
def reaches_all(context, limit):
    pool = context.pool
    newest = pool.service.root.generation
    assert pool.run_until(lambda: pool.in_force(newest), limit) is not None
    for host in pool.live():
        held = pool.nodes[host].bridge.configuration
        assert held.token == pool.service.root.token
        assert held.parts.digests == pool.service.root.digests


@then("at most {reads:d} daemons read the key-value service")
def few_reads(context, reads):
    assert 1 <= context.pool.service.root_reads <= reads


@when('the key-value service is down and "{host}" is replaced')
def replaced_in_outage(context, host):
    context.pool.service.down = True
    context.pool.kill(host)
    context.pool.run(1)
    context.pool.start(host)


@then(
    '"{host}" reports that a peer sent it '
    "and that the key-value service was never reached"
)
def says_from_peer(context, host):
    node = context.pool.nodes[host]
    assert node.recorded("configuration.service_not_reached")
    status = node.bridge.distribution.status()
    assert str(status["source"]).startswith("host-")
    assert status["service_reached"] is False


@when("all watchers lose power")
def watchers_lost(context):
    for host in context.pool.live():
        if context.pool.nodes[host].bridge.distribution.should_watch():
            context.pool.kill(host, refuses=False)


@when(
    "{side:d} daemons are cut off from the others and from the key-value service "
    "for {seconds:g} s, and {changes:d} changes follow"
)
def side_cut(context, side, seconds, changes):
    pool = context.pool
    hosts = {f"host-{place}" for place in range(side)}
    pool.partition(hosts)
    pool.cut_from_service = set(hosts)
    for _ in range(changes):
        pool.run(seconds / changes)
        one_changes(context)
    pool.heal()


@then("no daemon ever went back to a lower generation")
def never_lower(context):
    for node in context.pool.nodes.values():
        taken = [
            record.fields["generation"]
            for record in node.recorded("configuration.in_force")
        ]
        assert taken == sorted(set(taken)), taken


@when('"{host}" is paused for {seconds:g} s and {changes:d} changes follow')
def paused_behind(context, host, seconds, changes):
    context.pool.pause(host, seconds)
    for _ in range(changes):
        one_changes(context)
        context.pool.run(seconds / changes)


@then("peers send less than {limit:d} bytes per daemon for the next change")
def few_bytes(context, limit):
    pool = context.pool
    pool.run(3)
    pool.reset_traffic()
    one_changes(context)
    pool.run(1)
    kinds = ("ConfigurationAsk", "ConfigurationChanged", "ConfigurationRoot")
    total = sum(
        node.traffic.kinds[kind] for node in pool.nodes.values() for kind in kinds
    )
    assert 0 < total < limit * len(pool.nodes), total
    assert not any(node.traffic.kinds["PartTold"] for node in pool.nodes.values())


KINDS = {
    "a team": ("team counter", {"share": "2"}, {"share": "3"}),
    "a key": (
        "key counter",
        {"team": "optics", "hash": "a" * 64},
        {"team": "optics", "hash": "b" * 64},
    ),
    "an adapter": (
        "adapter b",
        {"team": "optics", "base_model": "m"},
        {"team": "optics", "base_model": "n"},
    ),
    "a version": ("version a1@2", {}, {"weights": "w"}),
    "an endpoint": (
        "endpoint e",
        {"address": "127.0.0.1:1", "data_centre": "dc1", "base_model": "m"},
        {"address": "127.0.0.1:2", "data_centre": "dc1", "base_model": "m"},
    ),
    "the limit": ("weight_store", {"loads_per_s": "4"}, {"loads_per_s": "5"}),
    "a route": (
        "application r",
        {"team": "optics", "model": "a1@1"},
        {"team": "optics", "model": "a2@1"},
    ),
}


@when("{kind} is added, changed or removed in a built configuration")
def changed_built(context, kind):
    title, first, second = KINDS[kind]
    context.pairs = []
    for before, after in ((None, first), (first, second), (first, None)):
        sections = folder()
        if before is not None:
            sections[title] = before
        older = build(1, sections)[0]
        unchanged = build(1, sections)[0]
        parts = older.parts.changed({title: after})
        newer = change(older, 2, "t", parts, {title: after})
        rebuilt, faults = build_parts(2, "t", parts)
        assert not faults, faults
        context.pairs.append((newer, rebuilt, older, unchanged))


@then(
    "all look-ups equal those of a rebuilt configuration and the older one is unchanged"
)
def same_look_ups(context):
    for newer, rebuilt, older, unchanged in context.pairs:
        assert newer == rebuilt
        assert older == unchanged
        assert AdapterVersion("a1", "1") in newer.versions


@when("60 generated histories of the configuration are run")
def histories(context):
    bounds = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=60,
        stateful_step_count=40,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(ConfigurationHistory, settings=bounds)


@then(
    "no daemon ever held a lower generation or contents not accepted for its generation"
)
def checked_in_each(context):
    """`ConfigurationHistory` checks this after each step."""


@given("a daemon without contact whose peers {answer}")
def unsure_daemon(context, answer):
    context.members = Members("host-0", "dc1")
    context.members.is_stale = True
    context.answers = answer == "answer soon"
    context.add_cleanup(setattr, proposals, "CONTACT_S", proposals.CONTACT_S)
    proposals.CONTACT_S = 4.0 if context.answers else 0.2


async def wait_for_contact(context):
    async def answer():
        await anyio.sleep(0.1)
        context.members.is_stale = not context.answers

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(answer)
        try:
            await proposals.await_contact(context.members)
            context.taken = "taken"
        except StoreError:
            context.taken = "refused"


@when("it waits for contact")
def waits_for_contact(context):
    anyio.run(wait_for_contact, context)


@then("the folder is {taken}")
def folder_is(context, taken):
    assert context.taken == taken


@when("a delta reaches a daemon that has since activated a newer generation")
def delta_overtaken(context):
    context.outcome = run_overtaken()


@then("no daemon holds mixed contents")
def none_mixed(context):
    assert context.outcome.reached, "no newer generation was activated before the delta"
    assert not context.outcome.broken, context.outcome.broken
