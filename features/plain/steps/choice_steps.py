import heapq

from behave import given, then, when

from knapweedbridge_core.serving import (
    Endpoint,
    EndpointRecord,
    PlainAsk,
    PlainCounter,
    PlainState,
    choose_counted,
    is_clearly_best,
)

LISTED = {"h1", "h2", "h9"}
RATE_PER_S = 20.0
WORK_S = 0.09


@given("endpoints of {slots:d} slots with {states}")
def endpoints_with(context, slots, states):
    context.endpoints, context.states = [], {}
    for number, state in enumerate(states.split()):
        name, _, reports = state.partition("=")
        record = EndpointRecord(name, "s", "10.0.0.1:80", f"d{number}", slots, False)
        endpoint = Endpoint(record)
        context.endpoints.append(endpoint)
        if reports.endswith("!"):
            endpoint.failure_share = 1.0
        if reports != "?":
            running, work_ms, typical_ms = map(int, reports.rstrip("!").split("/"))
            state = PlainState(running, work_ms / 1000, typical_ms / 1000)
            context.states[name] = state


@when(
    "a request of data centre {centre} with an objective of {objective:g} s is "
    "placed, {tried} tried"
)
def placed(context, centre, objective, tried):
    names = frozenset() if tried == "none" else frozenset(tried.split())
    ask = PlainAsk(centre, names, objective)
    untried = [each for each in context.endpoints if each.name not in names]
    context.enough = is_clearly_best(
        ask, untried[0], context.endpoints, context.states, 0.0
    )
    context.chosen = choose_counted(ask, context.endpoints, context.states, 0.0)


@then("it goes to {chosen}, and the first response suffices: {enough}")
def goes_to(context, chosen, enough):
    assert context.chosen.name == chosen, context.chosen.name
    assert context.enough == (enough == "yes"), context.enough


def simulate(context, seconds, factor):
    """Run requests at equal intervals; the factor holds for those that begin now."""
    until_s = context.now_s + seconds
    while context.now_s < until_s:
        context.now_s += 1 / RATE_PER_S
        while context.ends_s and context.ends_s[0] <= context.now_s:
            end_s = heapq.heappop(context.ends_s)
            context.counter.take("h1", len(context.ends_s), end_s, ended=1)
        heapq.heappush(context.ends_s, context.now_s + WORK_S * factor)
        context.counter.take("h1", len(context.ends_s), context.now_s)


@given(
    "a counter of an endpoint with {slots:d} slots, 20 requests a second of 90 ms "
    "for {seconds:g} s"
)
def counter_at_work(context, slots, seconds):
    context.counter, context.now_s, context.ends_s = PlainCounter(slots), 0.0, []
    simulate(context, seconds, 1.0)


@when(
    "for {lasts:g} s they take {factor:g} times as long, and {since:g} s pass as before"
)
def slower(context, lasts, factor, since):
    simulate(context, lasts, factor)
    simulate(context, since, 1.0)


@then("a request is expected to take {work} ms, typically {typical} ms")
def expected(context, work, typical):
    state = context.counter.state(context.now_s)
    for took_s, bounds in ((state.work_s, work), (state.typical_s, typical)):
        least_ms, most_ms = map(int, bounds.split("-"))
        assert least_ms <= took_s * 1000 <= most_ms, state


@given("a counter of an endpoint with {slots:d} slots")
def counter_of(context, slots):
    context.counter = PlainCounter(slots)


@when("daemons report {reports}, and {after:g} s later {requester} requests the load")
def daemons_tell(context, reports, after, requester):
    for word in reports.split() if reports != "nothing" else ():
        name, _, calls = word.partition("=")
        refused = int(calls.endswith("!"))
        context.counter.take(name, int(calls.rstrip("!")), 0.0, refused=refused)
    context.counter.remove_missing(LISTED)
    context.state = context.counter.state(after, requester)


@then("{running:d} requests run there")
def run_there(context, running):
    assert context.state.running == running, context.state
