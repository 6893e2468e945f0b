"""What decides at which version a stream goes on, without a network."""

from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import anyio
from behave import given, register_type, then, when
from parse import with_pattern

from knapweedbridge_core.serving import (
    CallKind,
    ClusterState,
    EndpointRecord,
    Fleet,
    OriginQuery,
    OriginTable,
    Route,
    SoftwareVersions,
    StreamOrigin,
    VersionView,
    WeightedService,
    origin_coordinators,
    understands,
)
from knapweedbridge_core.serving.origin_messages import (
    OriginRequest,
    OriginResponse,
    OriginsRecorded,
)
from knapweedbridge_core.serving.software_versions import NO_RECORD, VersionRecord
from knapweedbridge_core.serving.store_eras import stamp
from knapweedbridge_daemon.serving.call import Call
from knapweedbridge_daemon.serving.dialects import CallDetails
from knapweedbridge_daemon.serving.origin_publisher import (
    REFRESH_INTERVAL_S,
    OriginPublisher,
)
from knapweedbridge_standins.virtual_loop import run_virtually

MESSAGES = {
    "OriginsRecorded": OriginsRecorded([]),
    "OriginAsked": OriginRequest("s", "a", 1.0, 1),
    "OriginAnswered": OriginResponse(1, "", None, 0.0, [], True),
}
KEEPERS = ["k0", "k1", "k2"]
STREAMS = [f"stream-{number}" for number in range(3000)]


@with_pattern(r"[^\"]*")
def any_text(text):
    return text


register_type(Any=any_text)


def names(text):
    return [each for each in text.split(",") if each]


def view_of(versions, view):
    return VersionView(frozenset(names(versions)), view == "current")


@given('a host that knows the versions "{known:Any}", its view is {view:w}')
def asking_host(context, known, view):
    context.question = OriginQuery(KEEPERS, view_of(known, view))


@when('its keepers answer "{answers:Any}"')
def keepers_answer(context, answers):
    for keeper, answer in zip(KEEPERS, filter(None, answers.split(";")), strict=False):
        software, versions, view = (answer.split("/") + ["", ""])[:3]
        context.question.answer(
            keeper,
            None if software == "none" else software,
            view_of(versions, view),
        )


@when('"{host}" answers that it began at {software:w}')
def stranger_answers(context, host, software):
    context.question.answer(host, software, view_of(software, "current"))


@then('the stream goes on at "{version:Any}", decided: {decided:w}')
def goes_on_at(context, version, decided):
    assert context.question.software() == (version or None)
    assert context.question.is_decided == (decided == "yes")


@given("{hosts:d} hosts that may keep origins, in {data_centres:d} data centres")
def hosts_that_keep(context, hosts, data_centres):
    context.candidates = {
        f"dc{centre}": [f"h{n}" for n in range(hosts) if n % data_centres == centre]
        for centre in range(data_centres)
    }


@then("each stream has {keepers:d} keepers, in as many data centres as there are")
def keepers_of_each(context, keepers):
    centre_of = {
        name: centre for centre, each in context.candidates.items() for name in each
    }
    for stream in STREAMS:
        found = origin_coordinators(stream, context.candidates)
        assert len(set(found)) == len(found) == keepers, found
        reached = {centre_of[name] for name in found}
        assert len(reached) == min(keepers, len(context.candidates)), found


@then("no host keeps more than {over:g} times its share of {streams:d} streams")
def shares_are_even(context, over, streams):
    kept = Counter()
    for stream in STREAMS[:streams]:
        kept.update(origin_coordinators(stream, context.candidates))
    hosts = sum(map(len, context.candidates.values()))
    assert max(kept.values()) <= over * kept.total() / hosts, kept.most_common(3)


@then("where a host goes, only the streams that it kept have another keeper")
def stable_as_hosts_go(context):
    first = next(iter(context.candidates))
    gone = context.candidates[first][0]
    left = {
        centre: [name for name in each if name != gone]
        for centre, each in context.candidates.items()
    }
    for stream in STREAMS:
        before = set(origin_coordinators(stream, context.candidates))
        after = set(origin_coordinators(stream, left))
        assert before - {gone} <= after, (stream, before, after)
        assert gone in before or before == after, (stream, before, after)


@when("the origins of {streams:d} streams are recorded that last {life_s:g} s")
def origins_recorded(context, streams, life_s):
    context.origins = OriginTable()
    for number in range(streams):
        context.origins.record(f"r{number}", StreamOrigin("a", "v1", life_s), 0.0)


@when("one more is recorded {after_s:g} s later")
def one_more_recorded(context, after_s):
    context.origins.record("last", StreamOrigin("a", "v1", after_s + 10.0), after_s)


@then("the table holds {streams:d} streams, and not the oldest")
def holds_newest(context, streams):
    assert len(context.origins) == streams, len(context.table)
    assert context.origins.find("r0") is None
    assert context.origins.find("r100099") is not None


@then("the table holds {streams:d} streams")
def holds(context, streams):
    assert len(context.origins) == streams, len(context.table)


@when("a stream's origin is recorded at v1 until 10 s, and at v2 until {until_s:g} s")
def recorded_twice(context, until_s):
    context.origins = OriginTable()
    context.origins.record("s", StreamOrigin("a", "v1", 10.0), 0.0)
    context.origins.record("s", StreamOrigin("a", "v2", until_s), 1.0)


@then("it began at {software:w}, and is over at {over_s:g} s")
def began_and_over(context, software, over_s):
    origin = context.origins.find("s")
    assert (origin.software, origin.until_s) == (software, over_s), origin


@given('endpoints of a service at the versions "{listed:Any}"')
def endpoints_at(context, listed):
    context.versions = SoftwareVersions()
    for software in names(listed):
        context.versions.listed("a", software)


@when('those of "{gone:Any}" go, and {after_s:g} s pass')
def endpoints_go(context, gone, after_s):
    for software in names(gone):
        context.versions.dropped("a", software, 0.0)
    context.now_s = after_s


@given('the store\'s record of it has "{recorded:Any}", complete in era {era:Any}')
@given('the store\'s record of it has "{recorded:Any}", complete in era')
def record_has(context, recorded, era=""):
    versions = frozenset(names(recorded))
    record = VersionRecord(versions, int(era) if era else None, stamp(1, 7))
    context.versions.recorded("a", record if versions else NO_RECORD, 0.0)


@then('streams begin on "{begin:Any}", and have begun on "{begun:Any}" in era 1')
def begin_and_begun(context, begin, begun):
    found = {each for each in ("v1", "v2") if context.versions.may_begin("a", each)}
    assert found == set(names(begin)), found
    assert context.versions.begun_on("a", 1) == set(names(begun))


@when("the host is cut off until {until_s:g} s")
def host_cut_off(context, until_s):
    context.versions.restart_expiry(until_s)


@when("{after_s:g} s pass, and a host that {knows} writes in era 1")
def host_writes(context, after_s, knows):
    context.written = context.versions.to_record(
        "a", after_s, 1, knows == "knows all versions"
    )


@then('it writes "{written:Any}", complete in era {era:Any}')
@then('it writes "{written:Any}", complete in era')
def it_writes(context, written, era=""):
    if not written:
        assert context.written is None, context.written
        return
    wanted = VersionRecord(frozenset(names(written)), int(era) if era else None)
    assert context.written == wanted, context.written


@given('an endpoint that is listed at "{software}"')
def endpoint_listed(context, software):
    context.record = EndpointRecord(
        "e", "a", "a:1", "x", 8, False, started_ms=1000, software=software
    )
    context.fleet = Fleet()
    context.fleet.listed(context.record, 0.0)
    context.versions = context.fleet.software


@when('it starts again at "{software}", and {after_s:g} s pass')
def starts_again(context, software, after_s):
    record = replace(context.record, started_ms=2000, software=software)
    context.fleet.listed(record, 0.0)
    context.now_s = after_s


@then('streams may have begun on "{versions:Any}"')
@then('streams of its service may have begun on "{versions:Any}"')
def may_have_begun_on(context, versions):
    wanted = set(names(versions))
    assert context.versions.of("a", context.now_s) == wanted
    several = context.versions.has_several("a", context.now_s)
    assert several == (len(wanted) > 1)


@then("a daemon of protocol {protocol:d} understands {message:w}: {gets:w}")
def daemon_understands(context, protocol, message, gets):
    assert understands(protocol, MESSAGES[message]) == (gets == "yes")


@when(
    "a request of a route of the kind {kind} names the last event that its caller has"
)
def names_last_event(context, kind):
    services = (WeightedService("s", 1.0),)
    route = Route("r", "h", "/", CallKind(kind), services, 15.0, 1.0)
    details = CallDetails(call_id="c", after_event="3")
    context.call = Call(None, None, route, "s", details, 0.0)


@then("it counts as resumed: {resumed}")
def counts_as_resumed(context, resumed):
    assert context.call.is_resumed == context.call.has_begun == (resumed == "yes")


@when("a host starts, and the store answers it after {after_s:g} s")
def store_answers_after(context, after_s):
    changed = SimpleNamespace(wait=anyio.sleep)
    cluster = ClusterState()
    hub = SimpleNamespace(synced=False, cluster_changed=changed, cluster=cluster)
    context.followed_s = {}

    async def story():
        origins = OriginPublisher(hub, None)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(origins.run)
            await anyio.sleep(after_s)
            context.followed_s[after_s] = origins.uptime_s
            hub.synced = True
            await anyio.sleep(5)
            context.followed_s[after_s + 5] = origins.uptime_s
            tasks.cancel_scope.cancel()

    run_virtually(story())


@then(
    "it has followed the store for {first_s:g} s until then, and for {later_s:g} s at "
    "{at_s:g} s"
)
def followed_for(context, first_s, later_s, at_s):
    first, later = context.followed_s.values()
    assert first == first_s and list(context.followed_s)[1] == at_s
    assert later_s - REFRESH_INTERVAL_S <= later <= later_s, context.followed_s
