import random
from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.codec import tag_of
from knapweedbridge_core.serving import (
    EndpointRecord,
    EndpointStart,
    EngineController,
    EngineLimits,
    EngineSpeed,
    EngineUpdates,
    Fleet,
    LearnedRates,
    SpeedReports,
)
from knapweedbridge_daemon.serving.engine_observations import EngineObservations
from knapweedbridge_daemon.serving.metrics_registry import MetricsRegistry
from knapweedbridge_daemon.serving.running_calls import RunningCalls
from knapweedbridge_daemon.serving.speed_tracker import SpeedTracker

NOW_S = 100.0


def see(speed, daemon, times, at_s):
    speed.record_first_event(daemon, times, at_s)
    speed.record_gaps(daemon, times, 20, at_s)


@when(
    "{daemons:d} daemons see {count:d} responses in {s:g} s that take {times:g} times"
)
def responses(context, daemons, count, s, times):
    luck = random.Random(3)
    context.speed, context.now_s = EngineSpeed(), NOW_S + s
    context.seen = [
        (f"h{n % daemons}", times * luck.uniform(0.95, 1.05), NOW_S + s * n / count)
        for n in range(count)
    ]


@when("of them {deviation}")
def of_them(context, deviation):
    more = 3 if "sends 3 times" in deviation else 1
    for number, (daemon, times, at_s) in enumerate(context.seen):
        wrong = daemon == "h1" and "one daemon" in deviation
        if "15%" in deviation and number % 7 == 3:
            times *= 2.5
        if wrong:
            times = float("nan") if "nan" in deviation else 6.0
        for _ in range(more if wrong else 1):
            see(context.speed, daemon, times, at_s)


@when("after that they take {times:g} times for {s:g} s")
def after_that(context, times, s):
    for number in range(int(5 * s)):
        see(context.speed, f"h{number % 9}", times, context.now_s + number / 5)
    context.now_s += (int(5 * s) - 1) / 5


@when("after that one response a minute takes {times:g} times, for {minutes:d} minutes")
def once_a_minute(context, times, minutes):
    for _ in range(minutes):
        context.now_s += 60
        see(context.speed, "h1", times, context.now_s)


@then("its speed is from {least:g} to {most:g}")
def speed_from(context, least, most):
    assert least <= context.speed.speed <= most, context.speed.speed


@then("it {is_or_not} in a slow period")
def in_slow_period(context, is_or_not):
    found = context.speed.is_in_slow_period(context.now_s)
    assert found == (is_or_not == "is"), context.speed.slow_period_ratio(context.now_s)


@when(
    "an owner starts from {published:g}, and sees 2 responses that take {times:g} times"
)
def starts_from(context, published, times):
    context.speed = EngineSpeed()
    context.speed.set_prior(published)
    assert context.speed.speed == published
    for daemon in ("h1", "h2"):
        context.speed.record_first_event(daemon, times, NOW_S)


def make_endpoint():
    record = EndpointRecord("e1", "llm", "127.0.0.1:1", "d1", 12, False, ("m",))
    return Fleet().listed(record, NOW_S)


@when("an owner that has seen {calls:d} calls gets reports of times of {s:g} s")
def uncertain_owner(context, calls, s):
    rates, context.speed = LearnedRates(), EngineSpeed()
    for _ in range(calls):
        rates.record_first_event(make_endpoint(), 1000, 0, 0.1, NOW_S)
    reports = SpeedReports(rates, "llm", context.speed)
    for number in range(20):
        reports.take(f"h{number}", [[1000, 0, s]], [10.0, 10 * s], NOW_S)


@given("an owner whose calls take {s:g} s, with {gap:g} s between events")
def owner(context, s, gap):
    context.rates, endpoint = LearnedRates(), make_endpoint()
    for number in range(100):
        context.rates.record_first_event(endpoint, 1000, 0, s, NOW_S + number)
        context.rates.record_gap(endpoint, gap)
    context.keeper = EngineController(EngineLimits(12, 10**6, 8, 1e5, 10.0))
    context.reports = SpeedReports(context.rates, "llm", context.keeper.speed)


@when("{daemons:d} daemons report first events after {s:g} s and events each {gap:g} s")
def reports(context, daemons, s, gap):
    for number in range(daemons):
        first_events = [[1000, 0, s]] * 2
        context.reports.take(f"h{number}", first_events, [20.0, 20 * gap], NOW_S)
    for wrong in (float("nan"), float("inf"), -1.0):
        context.reports.take("h9", [[wrong, 0, wrong]], [wrong, wrong], NOW_S)
        context.reports.take("h9", [], [20.0, wrong], NOW_S)


@then("its updates on the engine state a speed from {least:g} to {most:g}")
def updates_state(context, least, most):
    updates = EngineUpdates(EndpointStart("e1", 0), 1, context.keeper)
    sent_updates = updates.tell(["h1"], False, NOW_S)
    updates.mark_calls_changed()
    sent_updates += updates.tell(["h1"], False, NOW_S + 1)
    kinds = {tag_of(each.message) for each in sent_updates}
    assert kinds == {"EngineTold", "EngineChanged"}, kinds
    assert all(least <= each.message.speed <= most for each in sent_updates), (
        sent_updates
    )


@when(
    "a daemon sees {firsts:d} first events and {gaps:d} gaps of {s:g} s "
    "before it reports"
)
def observed(context, firsts, gaps, s):
    context.observed, context.start = EngineObservations(), EndpointStart("e1", 1)
    for number in range(firsts):
        context.observed.record_first_event(context.start, number, 0, 0.1)
    for _ in range(gaps):
        context.observed.record_gap(context.start, s)


@then(
    "the report contains the last {most:d} first events, "
    "and {gaps:d} gaps of {s:g} s in all"
)
def report(context, most, gaps, s):
    first_events, found = context.observed.take(context.start)
    assert [each[0] for each in first_events] == list(range(20 - most, 20))
    assert found[0] == gaps and abs(found[1] - s) < 1e-9, found


@then("the next report is empty")
def no_report(context):
    assert context.observed.take(context.start) == ([], [])


def make_hub(learn):
    """Return a hub with the attributes that sending and receiving reports need."""
    fleet, lines = Fleet(), []
    fleet.speeds.enabled = learn
    record = EndpointRecord("e1", "llm", "127.0.0.1:1", "d1", 12, False, ("m",))
    endpoint = fleet.listed(record, NOW_S)
    endpoint.owner = "h1"
    rates = LearnedRates()
    for number in range(100):
        rates.record_first_event(endpoint, 1000, 0, 0.1, NOW_S + number)
        rates.record_gap(endpoint, 0.05)
    log = SimpleNamespace(info=lambda kind, **fields: lines.append((kind, fields)))
    return SimpleNamespace(
        cluster=SimpleNamespace(fleet=fleet, is_small_pool=False),
        rates=rates,
        log=log,
        lines=lines,
        metrics=MetricsRegistry(),
    )


async def reported(hub, s, gap):
    """Return the messages of a daemon whose streams on e1 take so long."""
    sent = []

    async def send(daemon, message):
        sent.append((daemon, message))

    endpoint = hub.cluster.fleet.endpoints["e1"]
    running = RunningCalls(hub, send)
    for _ in range(4):
        running.observed.record_first_event(endpoint.start, 1000, 0, s)
    for _ in range(40):
        running.record_pause(endpoint, gap)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(running.run)
        running.tell(endpoint.start)
        await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    return sent


@when(
    "daemons' streams begin after {s:g} s with events each {gap:g} s, "
    "and speeds are learned: {learn}"
)
def streams_seen(context, s, gap, learn):
    context.hub = make_hub(learn == "yes")
    endpoint = context.hub.cluster.fleet.endpoints["e1"]
    context.keeper = EngineController(EngineLimits(12, 10**6, 8, 1e5, 10.0))
    speeds = SpeedTracker(context.hub, endpoint, context.keeper)
    sent = anyio.run(reported, context.hub, s, gap)
    assert [daemon for daemon, _ in sent] == ["h1"], sent
    for number in range(6):
        speeds.take(f"h{number}", sent[0][1], NOW_S + number)


@then(
    "their owner holds a speed from {least:g} to {most:g}, and logs it {lines:d} times"
)
def owner_holds(context, least, most, lines):
    assert least <= context.keeper.speed.speed <= most, context.keeper.speed.speed
    assert len(context.hub.lines) == lines, context.hub.lines
    assert all(kind == "engine.speed" for kind, _ in context.hub.lines)
