import random
import time

from behave import given, then, when

from knapweedbridge_core.serving import (
    Admit,
    AdmitAll,
    CallKind,
    Endpoint,
    EndpointRecord,
    LoadOn,
    ModelRef,
    NoEngine,
    OverdueLast,
    PendingRequest,
    Reject,
    Route,
    SendTo,
    TooLate,
    Wait,
    has_spare,
)
from knapweedbridge_core.serving.endpoint import HeldAdapter

NOW_S = 100.0
SLOTS, PACE_TOKENS = 8, 8000
ADAPTER = ModelRef("m", "a1")
POLICIES = {"as_others": AdmitAll, "last": OverdueLast}


def make_engine(calls=0, unread_tokens=0):
    record = EndpointRecord("e", "llm", "", "a", SLOTS, False, ("m",), {})
    return Endpoint(
        record,
        own_calls=calls,
        own_unread_tokens=unread_tokens,
        pace_tokens=PACE_TOKENS,
    )


ENGINE = make_engine()
SEND = SendTo(ENGINE, None)
CHOICES = {
    "send": SEND,
    "load": LoadOn(ENGINE),
    "none": NoEngine(),
    "late": TooLate(0.5, ENGINE, SEND),
    "ran": TooLate(0.5, ENGINE, SEND),
}


def make_case(key=0, rank=1, left_s=10.0, spent_s=2.0, here_s=0.0, **more):
    """Make a request of objective 1 s; ``left_s`` is from when it came here."""
    route = Route("draft", "", "/", CallKind.STREAM, (), 15.0, 1.0, urgency=rank)
    received_s = NOW_S - here_s
    deadline_s = received_s + left_s
    return PendingRequest(key, route, received_s, deadline_s, spent_s, **more)


def told(verdict):
    if isinstance(verdict, Admit):
        return "admitted" if verdict.rank is None else "admitted last"
    return {Wait: "waiting", Reject: "refused"}[type(verdict)]


@given('overdue calls go "{policy}"')
def overdue_calls_go(context, policy):
    context.policy = POLICIES[policy](random.Random(1))


@when(
    "a request with {left:g} s left is judged, {spent:g} s spent, {here:g} s here, "
    'for which placement says "{choice}"'
)
def is_judged(context, left, spent, here, choice):
    case = make_case(0, 1, left, spent, here, may_have_run=choice == "ran")
    context.verdict = context.policy.decide(case, CHOICES[choice], NOW_S)


@then("it is {verdict}")
def it_is(context, verdict):
    assert told(context.verdict) == verdict, context.verdict


@when(
    "{calls:d} calls run in 8 slots, and {unread:d} tokens are unread of a pace of 8000"
)
def engine_runs(context, calls, unread):
    context.engine = make_engine(calls, unread)


@then("the engine has capacity left: {left}")
def has_capacity(context, left):
    assert has_spare(context.engine) == (left == "yes")


@when(
    "{sent:d} waiting requests were sent within 2 s, and then {more:d} overdue "
    "requests come"
)
def sent_and_come(context, sent, more):
    for n in range(sent):
        began_s = NOW_S - 2.0 + 2.0 * n / sent
        case = make_case(n, here_s=NOW_S - began_s)
        context.policy.decide(case, NoEngine(), began_s)
        context.policy.left(case, began_s, sent=True)
    cases = [make_case(10_000 + n) for n in range(more)]
    context.told = [told(context.policy.decide(c, NoEngine(), NOW_S)) for c in cases]


@then(
    "at most {most:d} and at least {least:d} of them wait, and the others are refused"
)
def some_wait(context, most, least):
    waiting = context.told.count("waiting")
    assert least <= waiting <= most, waiting
    assert context.policy.queued() == waiting
    assert context.told.count("refused") == len(context.told) - waiting


def queue_up(policy, cases):
    """Let requests wait, each after one that was sent, so that there is room."""
    for n in range(40):
        sent = make_case(20_000 + n)
        policy.decide(sent, NoEngine(), NOW_S)
        policy.left(sent, NOW_S, sent=True)
    for case in cases:
        assert isinstance(policy.decide(case, NoEngine(), NOW_S), Wait)


@when('requests wait with rank and deadline "{listed}", and one place is left')
def wait_in_order(context, listed):
    pairs = [tuple(map(int, each.split())) for each in listed.split(",")]
    cases = {p: make_case(n, p[0], p[1]) for n, p in enumerate(pairs)}
    queue_up(context.policy, cases.values())
    one_place, context.order = [make_engine(SLOTS - 2)], []
    while cases:
        may_go = [
            pair
            for pair, case in cases.items()
            if context.policy.eligible_engines(case, one_place, NOW_S)
        ]
        assert len(may_go) == 1, may_go
        context.order += may_go
        context.policy.left(cases.pop(may_go[0]), NOW_S, sent=True)


@then('they may go to an engine in the order "{listed}"')
def in_order(context, listed):
    assert ", ".join(f"{r} {d}" for r, d in context.order) == listed, context.order


@when("a waiting request's caller leaves")
def caller_leaves(context):
    cases = [make_case(n) for n in range(3)]
    judged = [told(context.policy.decide(each, NoEngine(), NOW_S)) for each in cases]
    assert judged == ["waiting", "waiting", "refused"], judged
    context.policy.left(cases[0], NOW_S, sent=False)


@then("the next overdue request waits")
def next_waits(context):
    assert told(context.policy.decide(make_case(3), NoEngine(), NOW_S)) == "waiting"


@when("{number:d} overdue requests with {left:g} s left are refused")
def are_refused(context, number, left):
    decide = context.policy.decide
    for n in range(2):
        assert told(decide(make_case(n), NoEngine(), NOW_S)) == "waiting"
    cases = [make_case(n, left_s=left) for n in range(2, number + 2)]
    context.verdicts = [decide(case, NoEngine(), NOW_S) for case in cases]


@then("they are to come back within {most:g} s, and not all at once")
def come_back(context, most):
    back_s = [verdict.retry_after_s for verdict in context.verdicts]
    assert min(back_s) >= 0.0 and max(back_s) <= most + 1e-6, back_s
    assert len(set(back_s)) > 1, back_s


@when(
    "a request was refused, and {after:g} s later the same comes with {spent:g} s spent"
)
def same_comes(context, after, spent):
    policy = context.policy
    for n in (10, 11):
        policy.decide(make_case(n, here_s=after), NoEngine(), NOW_S - after)
    refused = make_case(1, spent_s=0.0, here_s=after, mark="same")
    verdict = policy.decide(refused, CHOICES["late"], NOW_S - after)
    assert isinstance(verdict, Reject), verdict
    policy.left(make_case(10), NOW_S, sent=False)
    again = make_case(2, spent_s=spent, mark="same")
    policy.decide(again, NoEngine(), NOW_S)
    context.verdict = policy.decide(again, SEND, NOW_S)


@then("a judgement with {number:d} waiting requests takes at most {most:g} ms")
def takes_little(context, number, most):
    policy, engines = context.policy, [make_engine() for _ in range(30)]
    for n in range(400):
        sent = make_case(20_000 + n)
        policy.decide(sent, NoEngine(), NOW_S)
        policy.left(sent, NOW_S, sent=True)
    queue_up(policy, [make_case(n) for n in range(number)])
    rounds, case = 200, make_case(3)
    began_s = time.process_time()
    for _ in range(rounds):
        policy.eligible_engines(case, engines, NOW_S)
        policy.patience_s(case, False, NOW_S)
        policy.decide(case, NoEngine(), NOW_S)
    took_ms = (time.process_time() - began_s) / rounds * 1000
    print(f"{took_ms * 1000:.0f} us a judgement")
    assert took_ms <= most, took_ms


def make_named(name, held, idle, free):
    record = EndpointRecord(name, "llm", "", "d0", SLOTS, False, ("m",), {})
    engine = Endpoint(record, pace_tokens=PACE_TOKENS, places_free=int(name in free))
    engine.own_calls = 0 if name in idle else SLOTS
    if name in held:
        engine.held[ADAPTER] = HeldAdapter(1, 0.0)
    return engine


@when(
    'one comes whose adapter "{held}" hold, of engines a, b and c; "{idle}" are idle, '
    '"{free}" have free places'
)
def overdue_of_adapter(context, held, idle, free):
    engines = [make_named(name, held, idle, free) for name in "abc"]
    case = make_case(model=ADAPTER)
    context.found = context.policy.eligible_engines(case, engines, NOW_S)


@then('it may go to "{names}"')
def may_go_to(context, names):
    found = "".join(each.name for each in context.found) or "-"
    assert found == names, found
