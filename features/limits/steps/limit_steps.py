import anyio
from behave import then, when
from pressure_calls import call_repeatedly, call_service, find_endpoint
from stories import played

CONTACT_S = 3.0
WINDOW_S = 4.0
BURST_RATIO = 1.5
BURST_CALLS = 5
NONE_LIMITED = "knapweedbridge_endpoints_limited 0.0"


@when("{name} names a limit of {limit:g} a second, and calls come until it names none")
@played()
async def names_for_a_while(context, path, name, limit):
    endpoint = find_endpoint(path, name)
    others = [each for each in path.endpoints if each.service == endpoint.service]
    for limit_per_s in (limit, None):
        for each in others:
            each.limit_per_s = limit_per_s
        await call_repeatedly(path, endpoint, 5, 2, 1, [])
    with anyio.move_on_after(8):
        while NONE_LIMITED not in await path.metrics():
            # Several at once, as single calls would all go to one endpoint.
            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    tasks.start_soon(call_service, path, endpoint, number, 1, [])
    context.metrics = await path.metrics()


@then("the log shows the limit, its end, and what was known when calls were sent")
def log_tells(context):
    lines = context.lines
    limits = [each for each in lines if each["message_type"] == "endpoint.limited"]
    changes = {(each["before_per_s"], each["limit_per_s"]) for each in limits}
    assert changes == {(None, 2.5), (2.5, None)}, changes
    sent = [each for each in lines if each["message_type"] == "attempt.ended"]
    assert {each["limit_per_s"] for each in sent} == {None, 2.5}, sent


@then("the metrics count limits that were set and ended")
def metrics_count(context):
    for kind in ("named", "ended"):
        assert f'knapweedbridge_endpoint_limits_total{{kind="{kind}"}}' in (
            context.metrics
        )
    assert NONE_LIMITED in context.metrics


@when(
    "{name} names a limit of {limit:g} a second, and {calls:d} calls a second come "
    "for {seconds:g} s"
)
@played(lease_ms=3000)
async def names_limit(context, path, name, limit, calls, seconds):
    endpoint = find_endpoint(path, name)
    # Each daemon has had responses of all endpoints before.
    await call_repeatedly(path, endpoint, 20, 1, context.daemons, [])
    endpoint.limit_per_s, context.limit_per_s = limit, limit
    context.named_s, context.answers = anyio.current_time(), []
    await call_repeatedly(
        path, endpoint, calls, seconds, context.daemons, context.answers
    )
    context.ended_s = anyio.current_time()
    context.arrivals_s = endpoint.arrivals_s


@then("from 3 s on it gets at most 1.5 times its limit plus 5 in any 4 s")
def within_limit(context):
    accepted = BURST_RATIO * context.limit_per_s * WINDOW_S + BURST_CALLS
    bound_s = context.named_s + CONTACT_S
    bound = [each for each in context.arrivals_s if each >= bound_s]
    worst = max(
        (sum(end - WINDOW_S < each <= end for each in bound) for end in bound),
        default=0,
    )
    assert worst <= accepted, f"{worst} in {WINDOW_S} s, accepted {accepted}"


@then("it gets at least half of its limit")
def gets_some(context):
    bound_s = context.named_s + CONTACT_S
    got = sum(each >= bound_s for each in context.arrivals_s)
    owed = context.limit_per_s * (context.ended_s - bound_s) / 2
    assert got >= owed, f"{got}, owed {owed}"
