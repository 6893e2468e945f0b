from behave import given, then, when

from knapweedbridge_core import Bridge, events, messages, parse_adapter_version
from knapweedbridge_core.actions import (
    CancelAttempt,
    Dispatch,
    Finish,
    Resume,
    SendPeer,
)
from knapweedbridge_core.configuration import build
from knapweedbridge_core.outcomes import Complete, NotRun, Reason, Unknown

MODEL = parse_adapter_version("refill@1")
ENGINES = ("draft-0", "draft-1")
SECTIONS = {
    "team optics": {},
    "adapter refill": {"team": "optics", "base_model": "namib-7b"},
    "version refill@1": {},
    "service orders": {"team": "optics", "path": "/orders"},
    **{
        f"endpoint {name}": {
            "address": f"127.0.0.1:{port}",
            "data_centre": "dc1",
            "base_model": "namib-7b",
        }
        for port, name in enumerate(ENGINES, 1)
    },
    **{
        f"endpoint counter-{number}": {
            "address": f"127.0.0.1:{number + 11}",
            "kind": "service",
            "data_centre": "dc1",
            "service": "orders",
        }
        for number in range(2)
    },
}


class Core:
    """A core whose peers own every engine, on a virtual clock."""

    def __init__(self):
        self.bridge = Bridge("host-0", "dc1")
        self.now_s = 100.0
        self.actions = []
        self.requests = 0
        self.handle(events.ConfigurationRead(build(1, SECTIONS)[0]))
        peers = [
            events.ListedHost(name, "daemon", "dc1", "127.0.0.1:9", False)
            for name in ("host-1", "host-2")
        ]
        self.handle(events.HostsListed(tuple(peers)))
        for peer in peers:
            self.handle(events.PeerConnected(peer.name))
        self.owned_by("host-1", 1)

    def grant_for(self, request):
        return messages.GrantGiven(request.attempt_id, request.endpoint, self.number)

    def owned_by(self, owner, number):
        self.number = number
        for name in ENGINES:
            self.receive(
                owner, messages.EndpointUpdate(name, owner, number, [MODEL], 0)
            )

    def handle(self, event):
        self.actions += self.bridge.handle(event, self.now_s)

    def receive(self, peer, message):
        self.handle(events.PeerMessage(peer, message))

    def emitted(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def sent(self, kind):
        return [
            (action.host, action.message)
            for action in self.emitted(SendPeer)
            if isinstance(action.message, kind)
        ]

    def pass_time(self, seconds):
        for _ in range(round(seconds * 10)):
            self.now_s += 0.1
            self.handle(events.Tick())

    def arrive(self, kind, **fields):
        self.requests += 1
        values = {
            "request_id": f"r{self.requests}",
            "caller": "counter",
            "team": "optics",
            "model": None if "call" in kind else MODEL,
            "service": "orders" if "call" in kind else "",
            "priority": "normal",
            "non_idempotent": "non-idempotent" in kind,
            "idempotency_key": "",
            "deadline_s": self.now_s + 30,
            "fingerprint": "f",
            "streamed": "streamed" in kind.split(),
        }
        request = events.Request(**{**values, **fields})
        self.handle(events.RequestArrived(request))
        return request

    def grant(self):
        owner, request = self.sent(messages.GrantRequest)[-1]
        self.receive(owner, self.grant_for(request))

    def end(self, outcome, attempt_id=""):
        attempt_id = attempt_id or self.emitted(Dispatch)[-1].attempt_id
        request_id = attempt_id.rpartition(".")[0]
        self.handle(events.AttemptEnded(request_id, attempt_id, outcome))


def outcome_of(text):
    kind, reason, *tokens = text.split()
    if kind == "Complete":
        return Complete(3)
    if kind == "NotRun":
        return NotRun(Reason(reason))
    return Unknown(Reason(reason), int(tokens[0]) if tokens else 0)


@given("a daemon core whose peer owns two engines")
def core(context):
    context.core = Core()


@given("a {kind} request was dispatched")
def dispatched(context, kind):
    context.core = Core()
    context.request = context.core.arrive(kind)
    if context.core.sent(messages.GrantRequest):
        context.core.grant()
    assert len(context.core.emitted(Dispatch)) == 1
    context.core.actions.clear()


@when('its attempt ends as "{outcome}"')
def ends(context, outcome):
    core = context.core
    core.end(outcome_of(outcome), "r1.1" if core.requests == 1 else "")
    if core.sent(messages.GrantRequest):
        core.grant()


@when('attempt "{attempt_id}" ends as "{outcome}"')
def attempt_ends(context, attempt_id, outcome):
    context.core.end(outcome_of(outcome), attempt_id)


@when("{seconds:g} seconds pass for the core")
def pass_time(context, seconds):
    context.core.pass_time(seconds)


@when("a streamed request asks for a grant")
def request_grant(context):
    context.core.arrive("streamed")


@when("the grant of the first attempt comes late")
def late_grant(context):
    owner, request = context.core.sent(messages.GrantRequest)[0]
    context.core.actions.clear()
    context.core.receive(owner, context.core.grant_for(request))


@when("no endpoint holds its adapter any more")
def adapter_evicted(context):
    for name in ENGINES:
        update = messages.EndpointUpdate(name, "host-1", 1, [], 0)
        context.core.receive("host-1", update)


@when('"{owner}" takes over the engines')
def take_over(context, owner):
    context.core.owned_by(owner, 2)


@when("the endpoint was told to cancel it")
def cancelled(context):
    attempt_id = context.core.emitted(CancelAttempt)[-1].attempt_id
    context.core.handle(events.AttemptCancelled(attempt_id, True))


@when("its caller disconnects")
def caller_disconnects(context):
    context.core.handle(events.CallerDisconnected("r1"))


@then('what follows is "{what}"')
def follows(context, what):
    core = context.core
    core.pass_time(0.3)
    found = "nothing"
    if core.emitted(Resume):
        found = f"resume at {core.emitted(Resume)[-1].offset}"
    elif core.emitted(Dispatch):
        found = "another attempt"
    elif core.emitted(Finish):
        outcome = core.emitted(Finish)[-1].outcome
        found = f"the end: {type(outcome).__name__}"
    assert found == what, found


@then('the request ends as "{outcome}"')
def request_ended(context, outcome):
    ended = [action.outcome for action in context.core.emitted(Finish)]
    assert len(ended) == 1, ended
    wanted = outcome_of(outcome)
    assert type(ended[0]) is type(wanted), ended
    if not isinstance(wanted, Complete):
        assert ended[0].reason == wanted.reason, ended


@then("the request has not ended")
def request_not_ended(context):
    assert not context.core.emitted(Finish)


@then('the grant of "{attempt_id}" was returned to {owners}')
def grant_returned(context, attempt_id, owners):
    wanted = [owner.strip('"') for owner in owners.split(" and ")]
    returned = [
        (host, message.attempt_id)
        for host, message in context.core.sent(messages.GrantReturned)
    ]
    assert returned == [(owner, attempt_id) for owner in wanted], returned


@then("no grant was returned")
def no_grant_returned(context):
    assert not context.core.sent(messages.GrantReturned)


@given("{count:d} requests arrive while every endpoint refuses connections")
def outage(context, count):
    core = context.core
    context.attempts = 0
    for _ in range(count):
        core.now_s += 0.01
        core.arrive("idempotent call")
        core.handle(events.Tick())
        while core.emitted(Dispatch):
            sent = core.emitted(Dispatch)[-1]
            core.actions.clear()
            context.attempts += 1
            core.end(NotRun(Reason.CONNECT_FAILED), sent.attempt_id)
    context.count = count


@then("at most {ratio:g} attempts were made a request")
def attempts_bounded(context, ratio):
    assert context.attempts <= ratio * context.count, context.attempts
    assert context.attempts > context.count, "no retry at all"


@then("each was answered at once, and told when to retry")
def answered_at_once(context):
    assert not context.core.bridge.requests.live
