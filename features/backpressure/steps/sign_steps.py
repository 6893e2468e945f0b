from behave import then, when
from pressure_calls import metrics
from stories import played

from knapweedbridge_daemon.serving.wire import ResponseHead
from knapweedbridge_platform.endpoints import PlatformEndpoints


@when('an endpoint answers {status:d} with "{name}" of "{value}"')
def endpoint_answers(context, status, name, value):
    head = ResponseHead(status, [(name.encode(), value.encode())], b"")
    context.answer = PlatformEndpoints().read_response(head)


@then("the endpoint is {leaves}, wants a rest of {rest}, unreadable: {unreadable}")
def is_read_as(context, leaves, rest, unreadable):
    answer = context.answer
    assert answer.leaves == (leaves == "leaving"), answer
    assert answer.retry_after_s == (None if rest == "none" else float(rest)), answer
    assert bool(answer.unreadable) == (unreadable == "yes"), answer


@when("all plain endpoints {do}, and a call comes")
@played()
async def all_do(context, path, do):
    for desk in path.desks:
        if do == "leave":
            desk.leaves = True
        else:
            desk.retry_after_s = 3
    await path.call("GET", "/look/1")
    context.metrics = await metrics(path)


@then('the log tells it as "{line}", and the gauge "{gauge}" counts it')
def told_as(context, line, gauge):
    assert line in {each["message_type"] for each in context.lines}, context.lines
    (level,) = (
        row.split()[1]
        for row in context.metrics.splitlines()
        if row.startswith(f"knapweedbridge_{gauge} ")
    )
    assert float(level) > 0, context.metrics
