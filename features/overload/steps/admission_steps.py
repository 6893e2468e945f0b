from behave import given, then, when
from overload_scenarios import configuration_of, make_pool, request_of, run_overload

from knapweedbridge_core.fair_queue import FairQueue
from knapweedbridge_core.limits import Limits
from knapweedbridge_core.outcomes import Complete, NotRun, Reason
from knapweedbridge_standins.virtual_pool import TICK_S

REQUEST_INTERVAL_S = 0.02


@when('twice the capacity is offered with "{admission}"')
def offered(context, admission):
    context.found = run_overload(admission=admission)


@then("goodput is {bound} {percent:d}% of the capacity")
def goodput(context, bound, percent):
    _compare(context.found.goodput, bound, percent)


@then("{bound} {percent:d}% of the interactive requests are answered in time")
def interactive_answered(context, bound, percent):
    _compare(context.found.answered["interactive"], bound, percent)


@then("no refused request was infeasible for longer than a tick")
def infeasible(context):
    assert context.found.held_back_longest_s <= TICK_S, context.found


def _compare(part, bound, percent):
    if bound in ("under", "less than"):
        assert part < percent / 100, part
    else:
        assert part >= percent / 100, part


def _request(name, **wanted):
    return request_of(make_pool(1, 1), name, fingerprint=name, **wanted)


@given('a queue in which "{many}" waits with {a:d} requests and "{few}" with {b:d}')
def shared_queue(context, many, a, few, b):
    context.queue = FairQueue()
    for team, count in ((many, a), (few, b)):
        model = _request("r", team=team)
        for _ in range(count):
            context.queue.add(model)


@when("{count:d} requests are popped")
def pop(context, count):
    context.popped = [context.queue.pop({}) for _ in range(count)]


@then('{count:d} of them are of "{team}"')
def of_team(context, count, team):
    found = sum(request.team == team for request in context.popped)
    assert found == count, found


@given('a queue with one "{first}", one "{second}" and one "{third}" request')
def mixed_queue(context, first, second, third):
    context.queue = FairQueue()
    for priority in (first, second, third):
        context.queue.add(_request(priority, priority=priority))


@then('they are popped as "{order}"')
def popped_as(context, order):
    popped = [context.queue.pop({}).priority for _ in order.split()]
    assert " ".join(popped) == order, popped


@given("a key with {rate:d} requests a second and {daemons:d} daemons")
def limited_key(context, rate, daemons):
    key = {"team": "optics", "hash": "0" * 64, "requests_per_s": str(rate)}
    context.configuration = configuration_of(1, 8, extra={"key counter": key})
    context.daemons = daemons


@when("it sends {sent:d} requests in one second to one of them")
def sends(context, sent):
    limits, request = Limits(), _request("r")
    context.waits = [
        limits.acquire(
            request,
            context.configuration,
            context.daemons,
            100.0 + number * REQUEST_INTERVAL_S,
        )
        for number in range(sent)
    ]


@then("{admitted:d} are admitted, and the others are told when to retry")
def admitted(context, admitted):
    found = sum(wait_s == 0 for wait_s in context.waits)
    assert found == admitted, found


def _ask(context, name, **wanted):
    request = request_of(context.pool, name, fingerprint=name, **wanted)
    context.pool.ask("host-0", request)


def _ask_interactive(context, count):
    for number in range(count):
        _ask(context, f"interactive-{number}", priority="interactive")
    context.burst_s = context.pool.clock.now_s


@given("a daemon at its concurrency limit with requests of 1 s")
def at_limit(context):
    context.pool = make_pool(1, 1, batch=2)
    context.pool.clock.run(5.0)
    for round_ in range(2):
        for number in range(3):
            _ask(context, f"filling-{round_}-{number}")
        context.pool.clock.run(2.5 if round_ == 0 else 0.1)


@when(
    'a "{priority}" request within {within:d} s waits, '
    "then {n:d} interactive ones arrive"
)
def overtaken(context, priority, within, n):
    _ask(context, "waiting", priority=priority, within_s=float(within))
    context.pool.clock.run(0.3)
    _ask_interactive(context, n)
    context.pool.clock.run(60.0)


@when(
    "{n:d} interactive requests wait, "
    'and a "{priority}" request within {within:d} s arrives'
)
def too_late(context, n, priority, within):
    _ask_interactive(context, n)
    _ask(context, "waiting", priority=priority, within_s=float(within))
    context.pool.clock.run(60.0)


@then("the waiting request is answered")
def waiting_answered(context):
    outcome, _ = context.pool.finished["waiting"]
    assert isinstance(outcome, Complete), outcome


@then("the waiting request is refused in the event of the burst")
@then("that request is refused in the event of its arrival")
def refused_in_event(context):
    outcome, at_s = context.pool.finished["waiting"]
    assert isinstance(outcome, NotRun), outcome
    assert outcome.reason is Reason.OVERLOAD, outcome
    assert at_s == context.burst_s, at_s - context.burst_s
