from behave import then, when
from stories import played

from knapweedbridge_daemon.serving.wire import ResponseHead
from knapweedbridge_platform.endpoints import PlatformEndpoints


@when('an endpoint responds with {status:d} and the header "{name}: {value}"')
def endpoint_responds(context, status, name, value):
    head = ResponseHead(status, [(name.encode(), value.encode())], b"")
    context.answer = PlatformEndpoints().read_response(head)


@then("the endpoint is {state}, requests a pause of {pause}, unreadable: {unreadable}")
def is_decoded_as(context, state, pause, unreadable):
    answer = context.answer
    assert answer.leaves == (state == "draining"), answer
    assert answer.retry_after_s == (None if pause == "none" else float(pause)), answer
    assert bool(answer.unreadable) == (unreadable == "yes"), answer


@when("all plain endpoints {do}, and a call arrives")
@played()
async def signal_all(context, path, do):
    for desk in path.desks:
        if do == "announce draining":
            desk.leaves = True
        else:
            desk.retry_after_s = 3
    await path.call("GET", "/look/1")
    context.metrics = await path.metrics()


@then('the log has a line "{line}", and the gauge "{gauge}" counts it')
def is_logged(context, line, gauge):
    assert line in {each["message_type"] for each in context.lines}, context.lines
    (level,) = (
        row.split()[1]
        for row in context.metrics.splitlines()
        if row.startswith(f"knapweedbridge_{gauge} ")
    )
    assert float(level) > 0, context.metrics
