from behave import given, then, when

from knapweedbridge_core import Bridge, Complete, events, parse_adapter_version
from knapweedbridge_core.actions import (
    Dispatch,
    Finish,
    OrderEndpoint,
    RequestReport,
    StoreRead,
    StoreWrite,
)
from knapweedbridge_core.configuration import build

SECTIONS = {
    "team optics": {},
    "adapter refill": {"team": "optics", "base_model": "namib-7b"},
    "version refill@1": {},
    "adapter fitting": {"team": "optics", "base_model": "namib-7b"},
    "version fitting@1": {},
    "endpoint draft-0": {
        "address": "127.0.0.1:1",
        "data_centre": "dc1",
        "base_model": "namib-7b",
    },
}


class Core:
    """Drive one core by hand; the key-value service and reports answer at once."""

    def __init__(self, slots):
        self.bridge = Bridge("host-0", "dc1")
        self.now_s = 100.0
        self.actions = []
        sections = {**SECTIONS}
        sections["endpoint draft-0"] = {
            **SECTIONS["endpoint draft-0"],
            "slots": str(slots),
        }
        self.handle(events.ConfigurationRead(build(1, sections)[0]))
        self.handle(events.Tick())

    def handle(self, event):
        for action in self.bridge.handle(event, self.now_s):
            self.actions.append(action)
            self._answer(action)

    def _answer(self, action):
        if isinstance(action, (StoreRead, StoreWrite)):
            self.handle(events.StoreResponse(action.token, True, True, {}))
        elif isinstance(action, RequestReport):
            self.handle(events.EndpointReported(action.endpoint, (), {}, self.now_s))

    def actions_of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]


@given('a daemon core that owns engine "draft-0" with {slots:d} slots')
def core(context, slots):
    context.core = Core(slots)
    context.requests = 0


@when('a request for "{name}" arrives')
def arrives(context, name):
    context.requests += 1
    request = events.Request(
        request_id=f"r{context.requests}",
        caller="counter",
        team="optics",
        model=parse_adapter_version(name),
        service="",
        priority="normal",
        non_idempotent=False,
        idempotency_key="",
        deadline_s=context.core.now_s + 60,
        fingerprint="f",
    )
    context.core.handle(events.RequestArrived(request))


@when('the engine finishes the load of "{name}"')
def load_finishes(context, name):
    model = parse_adapter_version(name)
    context.core.handle(events.OrderEnded("draft-0", "load", model, True))


@when("the attempt completes")
def attempt_completes(context):
    sent = context.core.actions_of(Dispatch)[0]
    ended = events.AttemptEnded(sent.request_id, sent.attempt_id, Complete(3))
    context.core.handle(ended)


@when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    for _ in range(seconds * 5):
        context.core.now_s += 0.2
        context.core.handle(events.Tick())


@then('the engine is ordered to {kind} "{name}"')
def ordered(context, kind, name):
    orders = [(o.kind, str(o.model)) for o in context.core.actions_of(OrderEndpoint)]
    assert (kind, name) in orders, orders


@then("no eviction was ordered")
def no_eviction(context):
    orders = [order.kind for order in context.core.actions_of(OrderEndpoint)]
    assert "evict" not in orders, orders


@then('the request is dispatched to "{endpoint}"')
def dispatched(context, endpoint):
    assert context.core.actions_of(Dispatch)[-1].endpoint == endpoint


@then('the request is finished as "{outcome}"')
def finished(context, outcome):
    assert type(context.core.actions_of(Finish)[-1].outcome).__name__ == outcome
