from behave import given, then, when

from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.load_queue import DaemonDemand
from knapweedbridge_core.load_rate import share_of_rate
from knapweedbridge_core.loads import LoadOrder, Pool
from knapweedbridge_core.messages import EndpointUpdate
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.policy import PlacementPolicy
from knapweedbridge_core.view import View


def model(name):
    return AdapterVersion(name, "1")


class LoadBench:
    def __init__(self, engines, slots, loads_per_s):
        entries = [
            EndpointEntry(f"draft-{n}", "engine", "", "dc1", "m", "", slots, 16, False)
            for n in range(engines)
        ]
        self.pool = Pool(entries, View(), lambda model: "m", loads_per_s)
        self.now_s = 100.0
        self.order = None
        self.refusals = []
        for entry in entries:
            self.holds(entry.name, [])
        self.policy()

    def policy(self, **settings):
        self.order = LoadOrder("host-0", PlacementPolicy(**settings))

    def holds(self, name, models):
        self.pool.view.apply_update(EndpointUpdate(name, "o", 1, models, 0))

    def wanted(self, name, waiters=1, host="host-1", left_s=60.0):
        deadline_s = self.now_s + left_s
        asker = DaemonDemand(waiters, self.now_s, deadline_s, deadline_s, self.now_s)
        return self.order.wanted(model(name), host, asker, self.pool)

    def start(self):
        self.placed = self.order.next_load(self.pool, self.now_s)
        return self.placed

    def loaded(self):
        name = self.placed.endpoint
        held = self.pool.view.endpoints[name].loaded
        self.holds(name, [*held - {self.placed.victim}, self.placed.model])
        self.order.loaded(self.placed.model, self.now_s)


@given("a pool of {engines:d} engine with {slots:d} slots and {rate:d} loads a second")
@given("a pool of {engines:d} engines with {slots:d} slots and {rate:d} loads a second")
def pool(context, engines, slots, rate):
    context.bench = LoadBench(engines, slots, rate)


@given('the order "{order}"')
def the_order(context, order):
    context.bench.policy(order=order)


@given('the forecast "{forecast}"')
def the_forecast(context, forecast):
    context.bench.policy(forecast=forecast)


@given('the engine holds "{names}"')
def holds(context, names):
    context.bench.holds("draft-0", [model(name) for name in names.split()])


@given("full engines")
def full(context):
    for entry in context.bench.pool.engines:
        held = [model(f"{entry.name}.{n}") for n in range(entry.slots)]
        context.bench.holds(entry.name, held)


@when('"{name}" is wanted by {waiters:d} requests at "{host}"')
def wanted(context, name, waiters, host):
    context.refusal = context.bench.wanted(name, waiters, host)


@when('"{name}" is wanted by 1 requests with {left_s:g} seconds left')
def wanted_left(context, name, left_s):
    context.refusal = context.bench.wanted(name, left_s=left_s)


@when("{adapters:d} adapters are wanted by callers with {left_s:g} seconds left")
def many_wanted(context, adapters, left_s):
    for n in range(adapters):
        assert context.bench.wanted(f"m{n}", left_s=left_s) is None


@when('"{name}" is used {times:d} times')
def used(context, name, times):
    context.bench.order.used(model(name), times, context.bench.now_s)


@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.bench.now_s += seconds


@when("{adapters:d} adapters are wanted and each load ends after {load_s:g} seconds")
def quick_loads(context, adapters, load_s):
    bench = context.bench
    for n in range(adapters):
        bench.wanted(f"m{n}")
    context.starts = 0
    end_s = bench.now_s + 10.0
    while bench.now_s < end_s:
        for n in range(adapters):
            if not bench.pool.view.copies(model(f"m{n}")):
                bench.wanted(f"m{n}")
        if bench.start() is not None:
            context.starts += 1
            bench.now_s += load_s
            bench.loaded()
        else:
            bench.now_s += 0.01


@then("10 seconds start from {low:d} to {high:d} loads")
def starts(context, low, high):
    assert low <= context.starts <= high, context.starts


@when("{reachable:d} of {known:d} daemons are reached at {rate:d} loads a second")
def cut(context, reachable, known, rate):
    context.share = share_of_rate(rate, reachable, known)


@then("the share is {share:g} loads a second")
def share(context, share):
    assert context.share == share


@when("the next load starts")
def load_starts(context):
    assert context.bench.start() is not None


@when("the owner declines it")
def declines(context):
    bench = context.bench
    bench.order.record_declined(bench.placed.model, bench.pool.loads_per_s, bench.now_s)


@when("it fails")
def fails(context):
    bench = context.bench
    context.failed_at = bench.placed.endpoint
    bench.order.failed(bench.placed.model, bench.placed.endpoint, bench.now_s)


@when("each of its loads fails until it is given up")
def fails_always(context):
    context.tried = 0
    context.told = []
    while not context.told:
        bench = context.bench
        bench.now_s += 0.1
        bench.wanted("a", 2)
        if bench.start() is not None:
            context.tried += 1
            bench.order.failed(bench.placed.model, bench.placed.endpoint, bench.now_s)
        context.told = bench.order.suspended_refusals(bench.now_s)
        assert context.tried < 10


@then("{tried:d} loads were tried")
def loads_tried(context, tried):
    assert context.tried == tried


@then('"{host}" is told that "{name}" fails, to come back in {pause_s:d} seconds')
def told(context, host, name, pause_s):
    ((told_host, refusal),) = context.told
    assert (told_host, refusal.model, refusal.fails) == (host, model(name), True)
    assert refusal.retry_after_s == pause_s, refusal


@then("it is refused as failing")
def refused_as_failing(context):
    assert context.refusal.fails


@then("it is refused")
def refused(context):
    assert context.refusal is not None and context.refusal.retry_after_s > 0


@then("it is accepted")
def accepted(context):
    assert context.refusal is None


@then('the next loads are "{names}"')
def next_loads(context, names):
    bench = context.bench
    got = []
    for _ in range(len(names.split()) + 1):
        if bench.start() is not None:
            got.append(bench.placed.model.adapter)
            bench.loaded()
        bench.now_s += 0.5
    assert got == names.split(), got


@then("no load starts")
def no_load(context):
    assert context.bench.start() is None


@then('the next load evicts "{name}"')
def evicts(context, name):
    placed = context.bench.start()
    assert placed is not None and placed.victim == model(name), placed


@then('the next load is "{name}" on another engine')
def elsewhere(context, name):
    placed = context.bench.start()
    assert placed.model == model(name) and placed.endpoint != context.failed_at


@when("{adapters:d} adapters were used and {waiting:d} are wanted")
def large(context, adapters, waiting):
    for n in range(adapters):
        context.bench.order.used(model(f"u{n}"), 1, context.bench.now_s)
    many_wanted(context, waiting, 600.0)


@then("one decision weighs {slots:d} slots")
def weighs(context, slots):
    bench = context.bench
    weighed = []
    rate = bench.order.forecast.rate_per_s
    bench.order.forecast.rate_per_s = lambda held, now_s: (
        weighed.append(held) or rate(held, now_s)
    )
    assert bench.start() is not None
    assert len(weighed) == slots, len(weighed)


@given('"{endpoint}" holds "{names}"')
def engine_holds(context, endpoint, names):
    context.bench.holds(endpoint, [model(name) for name in names.split()])


@when('"{names}" are used')
def are_used(context, names):
    for times, name in enumerate(names.split(), 1):
        context.bench.order.used(model(name), times, context.bench.now_s)


@then('the slot of "{name}" is wanted on the other engine')
def slot_wanted(context, name):
    bench = context.bench
    context.wanted = bench.order.next_slot(bench.pool, bench.now_s)
    assert context.wanted.victim == model(name), context.wanted
    assert context.wanted.endpoint != bench.placed.endpoint


@when("the owner keeps it")
def keeps(context):
    wanted = context.wanted
    context.bench.order.record_slot_declined(
        wanted.endpoint, wanted.victim, context.bench.now_s
    )
