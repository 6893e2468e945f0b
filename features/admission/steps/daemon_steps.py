import functools
import time
from unittest import mock

import anyio
import whole_path
from behave import given, then, when

from knapweedbridge_core.serving import overload

QUOTA_BOUNDS = {"quota_window_s": 8, "quota_over": 0.1, "quota_slack": 0}
USUAL, OVERDUE = "4000", "2500"
WRITTEN_S = 0.15
LATE_S = 0.35
"""What a busy machine adds to a time."""


@given(
    "a pool that serves accounts with quotas: {quotas}, with overdue calls {setting}"
)
def pool_with_quotas(context, quotas, setting):
    context.bounds = QUOTA_BOUNDS if quotas == "yes" else {}
    context.settings = ""
    if setting != "by the template":
        context.settings = f"\n[admission]\noverdue_calls = {setting}\n"


def told_settings(context):
    """Fill the platform's template with the pool's bounds, and add its settings."""
    plain = whole_path.fill

    def fill(template, fields):
        fields["bounds"].update(context.bounds)
        return plain(template, fields) + context.settings

    return mock.patch.object(whole_path, "fill", fill)


def played(work):
    """Make a step of a story that follows 20 usual drafts."""

    @functools.wraps(work)
    def step(context, **values):
        async def story():
            async with whole_path.whole_path() as path:
                for _ in range(20):
                    response = await draft(path, USUAL)
                    assert response.status_code == 200, response.status_code
                await work(context, path, **values)
                await anyio.sleep(WRITTEN_S)
                context.lines = path.lines()
                context.metrics = await path.metrics()
                context.engine_requests = [
                    each for engine in path.engines for each in engine.requests
                ]

        with told_settings(context):
            anyio.run(story)

    return step


async def draft(path, deadline_ms, **headers):
    return await path.draft("base", **{"Deadline-Ms": deadline_ms, **headers})


def no_capacity():
    return mock.patch.object(overload, "has_spare", lambda engine: False)


async def timed_draft(path, deadline_ms, found):
    began_s = time.monotonic()
    response = await draft(path, deadline_ms)
    found.append((time.monotonic() - began_s, response))


@when("20 drafts come that may take 4 s, and then one that may take 2.5 s")
@played
async def one_overdue(context, path):
    context.response = await draft(path, OVERDUE, **{"Request-Id": "the-last"})


@then("all are answered, and the engine saw the last one with rank {rank}")
def saw_rank(context, rank):
    assert context.response.status_code == 200, context.response.status_code
    heads = [dict(each.head.headers) for each in context.engine_requests]
    heads = [{k.lower(): v for k, v in head.items()} for head in heads]
    ranks = [
        head[b"request-priority"]
        for head in heads
        if head.get(b"request-id") == b"the-last"
    ]
    assert ranks == [rank.encode()], ranks


@when(
    "20 drafts come that may take 4 s, and then one that may take 2.5 s while no "
    "capacity is left"
)
@played
async def one_waits(context, path):
    context.late, context.timely = [], []
    with no_capacity():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timed_draft, path, OVERDUE, context.late)
            await anyio.sleep(0.1)
            tasks.start_soon(timed_draft, path, USUAL, context.timely)


@then("the last one is sent after {after:g} s, and another that may take 4 s at once")
def sent_after(context, after):
    (took_s, response), (timely_s, timely) = context.late[0], context.timely[0]
    assert response.status_code == timely.status_code == 200
    assert after <= took_s <= after + LATE_S, took_s
    assert timely_s <= LATE_S, timely_s


@when(
    "20 drafts come that may take 4 s, and then {number:d} that may take 2.5 s or "
    "less while no capacity is left"
)
@played
async def some_wait(context, path, number):
    context.late = []
    with no_capacity():
        async with anyio.create_task_group() as tasks:
            for n in range(number):
                # Three that are alike would be taken for first attempts.
                deadline_ms = str(int(OVERDUE) - 200 * n)
                tasks.start_soon(timed_draft, path, deadline_ms, context.late)


@then(
    "{number:d} of them is refused within {bound:g} s, and is to come back within "
    "{back:g} s"
)
def some_refused(context, number, bound, back):
    refused = [each for each in context.late if each[1].status_code == 503]
    assert len(refused) == number, context.late
    for took_s, response in refused:
        assert took_s <= bound, took_s
        assert 0.0 <= float(response.headers["Retry-After"]) <= back


@when(
    "20 drafts come that may take 4 s, and then one that may take 2.5 s leaves while "
    "no capacity is left"
)
@played
async def one_leaves(context, path):
    with no_capacity():
        with anyio.move_on_after(0.4):
            await draft(path, OVERDUE)
        await anyio.sleep(0.3)
        context.waiting = await path.metrics()


@then("no call waits within 0.3 s")
def none_waits(context):
    assert told_of(context)[0]["decision"] == "waits", told_of(context)
    rows = context.waiting.splitlines()
    levels = [row.split()[-1] for row in rows if row.startswith(GAUGE)]
    assert levels == ["0.0"], levels


GAUGE = "knapweedbridge_calls_overdue"


def told_of(context):
    return [line for line in context.lines if line["message_type"] == "call.overdue"]


@then("the log and the counter tell nothing")
def tell_nothing(context):
    assert not told_of(context)
    assert "overdue_calls_total" not in context.metrics


@then("the log and the counter tell that it {decision}")
def tell_decision(context, decision):
    decision = decision.removeprefix("was ")
    lines = [line for line in told_of(context) if line["decision"] == decision]
    assert lines, told_of(context)
    line = lines[0]
    assert 1.4 <= line["spent_s"] <= 2.0 and line["rank"] == 1, line
    assert line["queue"] >= 0 and line["request"], line
    assert f'kind="{decision}_1"' in context.metrics, context.metrics
