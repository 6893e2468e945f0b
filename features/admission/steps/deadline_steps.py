import math

from behave import given, then, when

from knapweedbridge_core.serving import UsualDeadlines

ROUTE = "draft"
ERROR_S = 0.06


def read_stated(text):
    """Read ``40 x 15, 30 x 14..11``: deadlines that many requests state."""
    found = []
    for part in text.split(","):
        number, _, value = part.strip().partition(" x ")
        begin, _, end = value.partition("..")
        count = int(number)
        step = (float(end or begin) - float(begin)) / count if end else 0.0
        found += [float(begin) + step * n for n in range(count)]
    return found


@given("requests of a route stated {stated} s, {apart:g} s apart")
def stated_before(context, stated, apart):
    context.usual, context.now_s = UsualDeadlines(), 100.0
    for deadline_s in read_stated(stated):
        context.usual.spent_s(ROUTE, deadline_s, context.now_s)
        context.now_s += apart


@when("a request states {deadline} s")
def states(context, deadline):
    value = None if deadline == "none" else float(deadline)
    context.spent_s = context.usual.spent_s(ROUTE, value, context.now_s)


@then("its caller has spent {spent:g} s")
def has_spent(context, spent):
    assert math.isclose(context.spent_s, spent, abs_tol=ERROR_S), context.spent_s
