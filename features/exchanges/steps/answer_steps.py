from collections import Counter

import path_steps  # noqa: F401
from behave import then, when
from faulty_endpoints import FaultyPath
from standins import header
from stories import played

MODEL = {"Model": "base/a1", "Token-Counts": "100,30"}

faulty = played(kind=FaultyPath)


async def send(path, kind, name=None, **more):
    headers = dict(MODEL) if kind in ("draft", "note") else {}
    if name:
        headers["Request-Id"] = name
    return await path.call("POST", f"/{kind}/1", headers=headers, **more)


def ran(path, name):
    return sum(
        header(request, "Request-Id") == name
        for each in path.endpoints
        for request in each.requests
    )


@when(
    'both endpoints first give a "{kind}" call "{refusal}", and then each answer late '
    "once more"
)
@faulty
async def late_refusal(context, path, kind, refusal):
    await send(path, "draft")
    # A plain call goes to the second endpoint before it comes back to the first, and
    # a call whose adapter is still loading waits for its engine.
    shared = [refusal] * (2 if kind == "order" else 1)
    for each in path.endpoints:
        each.behaviour = shared
        each.late = "previous answer"
    context.answer = await send(path, kind, "mine")
    context.runs = ran(path, "mine")


@when('connections carry calls, and then a "{kind}" call meets a refusal without an id')
@faulty
async def unnamed_refusal(context, path, kind):
    for _ in range(6):
        assert (await send(path, kind)).status_code == 200
    for each in path.endpoints:
        each.late = "unnamed refusal"
    context.answer = await send(path, kind, "mine")
    context.runs = ran(path, "mine")


@then("the call ends with {status:d} and has run once")
def has_run_once(context, status):
    assert context.runs == 1, context.runs
    assert context.answer.status_code == status, context.answer


@when("an engine rejects an order and answers earlier orders late once more")
@faulty
async def rejected_order(context, path):
    await send(path, "draft")
    for each in path.engines:
        each.late = "previous answer"
        each.conflicts = 1
    headers = {"Model": "base/a2", "Token-Counts": "100,30"}
    await path.call("POST", "/draft/1", headers=headers)
    context.answered = Counter(
        status for each in path.engines for status in each.answered
    )


@then("no order counts as answered other than the engine answered it")
def order_answers(context):
    found = Counter(
        line["answer"]
        for line in context.lines
        if line["message_type"] == "engine.ordered"
    )
    assert context.answered[409], context.answered
    assert found["started"] <= context.answered[202], (found, context.answered)
    assert found["conflict"] + found["unknown"] >= context.answered[409], found


@when("{count:d} calls come while endpoints refuse every second one")
@faulty
async def refused_calls(context, path, count):
    shared = ["shed", "well"] * count
    for each in path.endpoints:
        each.behaviour = shared
    for number in range(count):
        kind = ("order", "look", "draft", "note")[number % 4]
        await send(path, kind)
    context.exchanges = [row for each in path.endpoints for row in each.exchanges]


@then("each connection carried an id once, and requests without an id alone")
def carried_once(context):
    named = Counter((id(row[0]), row[2]) for row in context.exchanges if row[2])
    assert max(named.values()) == 1, [each for each in named if named[each] > 1]
    connections = Counter(id(row[0]) for row in context.exchanges)
    shared = [
        row[1]
        for row in context.exchanges
        if not row[2] and connections[id(row[0])] > 1
    ]
    assert not shared, Counter(shared)
