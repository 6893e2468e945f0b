from behave import then
from standins import header
from stream_callers import describe, gapped, joined, joined_in_one_answer, went_on

REFUSED_WITHIN_S = 1.0


@then("no stream holds events of two versions")
def none_joined(context):
    in_one = joined_in_one_answer(context.callers)
    found = joined(context.callers)
    assert not found, (
        f"{len(found)} of {len(context.callers)} streams are joined, "
        f"{len(in_one)} in one answer: {describe(found)}"
    )


@then("no event is missing or comes twice")
def none_gapped(context):
    found = gapped(context.callers)
    assert not found, describe(found)


@then("at least half of the streams that were taken up go on")
def half_go_on(context):
    asked = [each for each in context.callers if len(each.tries) > 1]
    found = went_on(asked)
    assert asked and len(found) >= len(asked) / 2, (
        f"{len(found)} of {len(asked)} go on: {describe(asked)}"
    )


@then("all streams that were taken up go on to their end")
def all_go_on(context):
    assert all(len(each.tries) > 1 for each in context.callers)
    bad = [each for each in context.callers if not each.is_whole]
    assert not bad, describe(bad)


@then("each take-up is refused with 503 within {seconds:f} s")
def refused_within(context, seconds):
    tries = [each.tries[-1] for each in context.callers]
    assert all(len(each.tries) > 1 for each in context.callers)
    served = [each for each in tries if each.status != 503]
    assert not served, f"{len(served)} of {len(tries)}: {describe(context.callers)}"
    slow = [round(each.took_s, 2) for each in tries if each.took_s >= seconds]
    assert not slow, f"refused after {slow} s"


@then("each take-up is refused with 503 within 1 s, and no endpoint ran it")
def refused_at_once(context):
    refused_within(context, REFUSED_WITHIN_S)
    tries = [each.tries[-1] for each in context.callers]
    ran = runs_of(context.path) & {each.call for each in tries}
    assert not ran, ran


def runs_of(path):
    """Return the requests that engines ran, by id."""
    return {
        header(request, "Request-Id")
        for engine in path.engines
        for request in engine.requests
    }
