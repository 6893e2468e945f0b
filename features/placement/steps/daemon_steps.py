from behave import given, then, when

from knapweedbridge_core import Bridge, NotRun, events, rendezvous
from knapweedbridge_core.actions import (
    Dispatch,
    Finish,
    OrderEndpoint,
    RequestReport,
    StoreRead,
    StoreWrite,
)
from knapweedbridge_core.configuration import build
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_standins.history import World


class Core:
    """One core; the platform answers at once, engines when told."""

    def __init__(self, engines, slots, loads_per_s):
        sections = {"team t": {}, "weight_store": {"loads_per_s": str(loads_per_s)}}
        for name in [*"abcdefghij", "late"]:
            sections[f"adapter {name}"] = {"team": "t", "base_model": "m"}
            sections[f"version {name}@1"] = {}
        for n in range(engines):
            sections[f"endpoint draft-{n}"] = {
                "address": f"127.0.0.1:{n + 1}",
                "data_centre": "dc1",
                "base_model": "m",
                "slots": str(slots),
            }
        self.bridge = Bridge("host-0", "dc1")
        self.now_s = 100.0
        self.actions = []
        self.fails = False
        self.requests = 0
        self.tell(events.ConfigurationRead(build(1, sections)[0]))
        self.wait(3.0)

    def tell(self, event):
        for action in self.bridge.handle(event, self.now_s):
            self.actions.append(action)
            if isinstance(action, (StoreRead, StoreWrite)):
                self.tell(events.StoreResponse(action.token, True, True, {}))
            elif isinstance(action, RequestReport):
                held = self.bridge.ledgers.get(action.endpoint)
                loaded = tuple(held.loaded) if held else ()
                report = events.EndpointReported(
                    action.endpoint, loaded, {}, self.now_s
                )
                self.tell(report)

    def wait(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.1
            self.tell(events.Tick())
            self.end_orders()

    def end_orders(self):
        for order in self.taken(OrderEndpoint):
            self.actions.remove(order)
            kept = order.kind != "load" or not self.fails
            self.now_s += 0.05
            self.tell(events.OrderEnded(order.endpoint, order.kind, order.model, kept))
            if order.kind == "evict":
                self.evicted = order.model.adapter

    def ask(self, name, left_s=60.0):
        self.requests += 1
        request_id = f"r{self.requests}"
        request = events.Request(
            request_id, "c", "t", AdapterVersion(name, "1"), "", "normal",
            False, "", self.now_s + left_s, "f",
        )  # fmt: skip
        self.tell(events.RequestArrived(request))
        return request_id

    def taken(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def finished(self, request_id):
        found = [f for f in self.taken(Finish) if f.request_id == request_id]
        return found[0].outcome if found else None


@given(
    "a daemon core with {engines:d} engine of {slots:d} slots"
    " and {rate:d} loads a second"
)
@given(
    "a daemon core with {engines:d} engines of {slots:d} slots"
    " and {rate:d} loads a second"
)
def core(context, engines, slots, rate):
    context.core = Core(engines, slots, rate)


@when("requests for {count:d} cold adapters arrive with {left_s:d} seconds left")
def cold(context, count, left_s):
    context.core.ask("j", left_s)
    context.core.wait(1.5)
    for name in "abcdefgh"[:count]:
        context.core.ask(name, left_s)


@when("a request for another cold adapter arrives with {left_s:d} seconds left")
def another(context, left_s):
    context.request = context.core.ask("late", left_s)


@then('it is finished at once as not run for "{reason}", to come back later')
def refused(context, reason):
    outcome = context.core.finished(context.request)
    assert isinstance(outcome, NotRun) and outcome.reason == reason, outcome
    assert outcome.retry_after_s >= 1.0


@then("a request for a loaded adapter is dispatched at once")
def dispatched(context):
    request_id = context.core.ask("j")
    sent = [action.request_id for action in context.core.taken(Dispatch)]
    assert request_id in sent, sent


@when("a request arrives and each of its loads fails")
def all_fail(context):
    context.core.fails = True
    context.request = context.core.ask("a")


@then('it is finished within {seconds:d} seconds as not run for "{reason}"')
def finished_within(context, seconds, reason):
    context.core.wait(seconds)
    refused(context, reason)


@when('adapter "a" is loaded and used {times:d} times, and adapter "b" once')
def hot(context, times):
    for name in ["a"] * times + ["b"]:
        request_id = context.core.ask(name)
        context.core.wait(1.0)
        for sent in context.core.taken(Dispatch):
            if sent.request_id == request_id:
                ended = events.AttemptEnded(request_id, sent.attempt_id, _complete())
                context.core.tell(ended)


def _complete():
    from knapweedbridge_core import Complete

    return Complete(3)


@when('a request for adapter "{name}" arrives')
def third(context, name):
    context.core.ask(name)
    context.core.wait(3.0)


@then('the engine is told to evict "{name}"')
def evicted(context, name):
    assert context.core.evicted == name, context.core.evicted


@given(
    "a history of {daemons:d} daemons with seed {seed:d}"
    " in which the load order's daemon is killed"
)
def history(context, daemons, seed):
    world = World(seed, daemons=daemons, engines=2, slots=3, adapters=9)
    world.load(4, 60)
    names = [f"host-{n}" for n in range(daemons)]
    orderer = rendezvous.choose("load-order", names)
    world.at(15, lambda: world.kill(orderer))
    world.at(30, lambda: world.start(orderer))
    world.run(90)
    context.world = world


@then("no promise is broken and requests were answered")
def holds_promises(context):
    checker = context.world.checker
    assert not checker.violations, checker.violations[:3]
    assert checker.counts["Complete"] > 50, checker.counts


@when('the engine that holds "{name}" is listed as leaving')
def leaves(context, name):
    core = context.core
    (context.left,) = core.bridge.view.holders(AdapterVersion(name, "1"))
    gone = events.ListedHost(context.left, "endpoint", "dc1", "127.0.0.1:1", True)
    core.tell(events.HostsListed((gone,)))


@then("that request is dispatched to another engine")
def elsewhere(context):
    sent = context.core.taken(Dispatch)[-1]
    assert sent.request_id == f"r{context.core.requests}", sent
    assert sent.endpoint != context.left, sent


@when('{count:d} requests for "{name}" are dispatched and end at once')
def come_and_go(context, count, name):
    core = context.core
    for _ in range(count):
        request_id = core.ask(name)
        (sent,) = [d for d in core.taken(Dispatch) if d.request_id == request_id]
        core.tell(events.AttemptEnded(request_id, sent.attempt_id, _complete()))


@then("the engine is seen to run {running:d} requests")
def seen_running(context, running):
    (seen,) = context.core.bridge.view.endpoints.values()
    assert seen.running == running, seen
