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
        f"endpoint counter-{place}": {
            "address": f"127.0.0.1:{place + 11}",
            "kind": "service",
            "data_centre": "dc1",
            "service": "orders",
        }
        for place in range(2)
    },
}


class Core:
    """One core of which a peer owns every engine; time is virtual."""

    def __init__(self):
        self.bridge = Bridge("host-0", "dc1")
        self.now_s = 100.0
        self.actions = []
        self.requests = 0
        self.tell(events.ConfigurationRead(build(1, SECTIONS)[0]))
        peers = [
            events.ListedHost(name, "daemon", "dc1", "127.0.0.1:9", False)
            for name in ("host-1", "host-2")
        ]
        self.tell(events.HostsListed(tuple(peers)))
        for peer in peers:
            self.tell(events.PeerConnected(peer.name))
        self.owned_by("host-1", 1)

    def given(self, ask):
        return messages.GrantGiven(ask.attempt_id, ask.endpoint, self.number)

    def owned_by(self, owner, number):
        self.number = number
        for name in ENGINES:
            self.hear(owner, messages.EndpointUpdate(name, owner, number, [MODEL], 0))

    def tell(self, event):
        self.actions += self.bridge.handle(event, self.now_s)

    def hear(self, peer, message):
        self.tell(events.PeerMessage(peer, message))

    def taken(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def sent(self, kind):
        return [
            (action.host, action.message)
            for action in self.taken(SendPeer)
            if isinstance(action.message, kind)
        ]

    def pass_time(self, seconds):
        for _ in range(round(seconds * 10)):
            self.now_s += 0.1
            self.tell(events.Tick())

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
        self.tell(events.RequestArrived(request))
        return request

    def grant(self):
        owner, ask = self.sent(messages.GrantRequest)[-1]
        self.hear(owner, self.given(ask))

    def end(self, outcome, attempt_id=""):
        attempt_id = attempt_id or self.taken(Dispatch)[-1].attempt_id
        request_id = attempt_id.rpartition(".")[0]
        self.tell(events.AttemptEnded(request_id, attempt_id, outcome))


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
    assert len(context.core.taken(Dispatch)) == 1
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
def asks(context):
    context.core.arrive("streamed")


@when("the grant of the first attempt comes late")
def late_grant(context):
    owner, ask = context.core.sent(messages.GrantRequest)[0]
    context.core.actions.clear()
    context.core.hear(owner, context.core.given(ask))


@when("its adapter is held nowhere any more")
def held_nowhere(context):
    for name in ENGINES:
        emptied = messages.EndpointUpdate(name, "host-1", 1, [], 0)
        context.core.hear("host-1", emptied)


@when('"{owner}" takes over the engines')
def take_over(context, owner):
    context.core.owned_by(owner, 2)


@when("the endpoint was told to cancel it")
def cancelled(context):
    attempt_id = context.core.taken(CancelAttempt)[-1].attempt_id
    context.core.tell(events.AttemptCancelled(attempt_id, True))


@when("its caller goes away")
def caller_leaves(context):
    context.core.tell(events.CallerDisconnected("r1"))


@then('what follows is "{what}"')
def follows(context, what):
    core = context.core
    core.pass_time(0.3)
    found = "nothing"
    if core.taken(Resume):
        found = f"resume at {core.taken(Resume)[-1].offset}"
    elif core.taken(Dispatch):
        found = "another attempt"
    elif core.taken(Finish):
        outcome = core.taken(Finish)[-1].outcome
        found = f"the end: {type(outcome).__name__}"
    assert found == what, found


@then('the request is told "{outcome}"')
def told(context, outcome):
    ended = [action.outcome for action in context.core.taken(Finish)]
    assert len(ended) == 1, ended
    wanted = outcome_of(outcome)
    assert type(ended[0]) is type(wanted), ended
    if not isinstance(wanted, Complete):
        assert ended[0].reason == wanted.reason, ended


@then("nothing was told yet")
def nothing_told(context):
    assert not context.core.taken(Finish)


@then('the grant of "{attempt_id}" went back to {owners}')
def grant_back(context, attempt_id, owners):
    wanted = [owner.strip('"') for owner in owners.split(" and ")]
    back = [
        (host, message.attempt_id)
        for host, message in context.core.sent(messages.GrantReturned)
    ]
    assert back == [(owner, attempt_id) for owner in wanted], back


@then("no grant went back")
def no_grant_back(context):
    assert not context.core.sent(messages.GrantReturned)


@given("{count:d} requests arrive while every endpoint refuses connections")
def outage(context, count):
    core = context.core
    context.attempts = 0
    for _ in range(count):
        core.now_s += 0.01
        core.arrive("idempotent call")
        core.tell(events.Tick())
        while core.taken(Dispatch):
            sent = core.taken(Dispatch)[-1]
            core.actions.clear()
            context.attempts += 1
            core.end(NotRun(Reason.CONNECT_FAILED), sent.attempt_id)
    context.count = count


@then("at most {ratio:g} attempts were made a request")
def attempts_bounded(context, ratio):
    assert context.attempts <= ratio * context.count, context.attempts
    assert context.attempts > context.count, "no retry at all"


@then("each was answered at once, and told when to come back")
def answered_at_once(context):
    assert not context.core.bridge.requests.live
