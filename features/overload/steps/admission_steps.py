from behave import given, then, when
from overload_scenarios import configuration_of, make_pool, request_of, run_overload

from knapweedbridge_core.fair_queue import FairQueue
from knapweedbridge_core.limits import Limits

STEP_S = 0.02


@when('twice the capacity is offered with "{admission}"')
def offered(context, admission):
    context.found = run_overload(admission=admission == "admission")


@then("goodput is {bound} {percent:d}% of the capacity")
def goodput(context, bound, percent):
    _compare(context.found.goodput, bound, percent)


@then("{bound} {percent:d}% of the interactive requests are answered in time")
def interactive(context, bound, percent):
    _compare(context.found.answered["interactive"], bound, percent)


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


@when("{count:d} requests are taken")
def take(context, count):
    context.taken = [context.queue.pop({}) for _ in range(count)]


@then('{count:d} of them are of "{team}"')
def of_team(context, count, team):
    found = sum(request.team == team for request in context.taken)
    assert found == count, found


@given('a queue with one "{first}", one "{second}" and one "{third}" request')
def mixed_queue(context, first, second, third):
    context.queue = FairQueue()
    for priority in (first, second, third):
        context.queue.add(_request(priority, priority=priority))


@then('they are taken as "{order}"')
def taken_as(context, order):
    taken = [context.queue.pop({}).priority for _ in order.split()]
    assert " ".join(taken) == order, taken


@given("a key with {rate:d} requests a second and {daemons:d} daemons")
def limited_key(context, rate, daemons):
    key = {"team": "optics", "hash": "0" * 64, "requests_per_s": str(rate)}
    context.configuration = configuration_of(1, 8, extra={"key counter": key})
    context.daemons = daemons


@when("it sends {sent:d} requests in one second to one of them")
def sends(context, sent):
    limits, request = Limits(), _request("r")
    context.waits = [
        limits.wait_s(
            request, context.configuration, context.daemons, 100.0 + place * STEP_S
        )
        for place in range(sent)
    ]


@then("{taken:d} are taken, and the others are told when to come back")
def taken(context, taken):
    found = sum(wait_s == 0 for wait_s in context.waits)
    assert found == taken, found
