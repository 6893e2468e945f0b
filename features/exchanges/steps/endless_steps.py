import contextlib

import anyio
import httpx
import path_steps  # noqa: F401
from answer_steps import faulty, ran, send
from behave import then, when

DEADLINE_S = 1.0
OWN_TIMEOUT_S = 1.0
"""Longest time that the daemon waits for an answer to a request of its own."""

SLACK_S = 0.5
MOST_BYTES = 32 << 20
"""Twice the largest answer that is buffered, and what the kernel buffers."""

BESIDE = 20
BESIDE_S = 1.0
CALLS = ("call", "streamed call", "resumed stream")


@when('an endpoint answers a {kind} by "{what}" without end, sent {pace}')
@faulty
async def endless(context, path, kind, what, pace):
    context.kind = kind
    is_call = kind in CALLS
    if kind != "report":
        await send(path, "draft")
    for each in path.endpoints:
        each.endless = {"call" if is_call else kind: what}
        each.is_slow = pace == "slow"
    # A plain endpoint and an engine of their own answer the other calls.
    sound = path.engines if kind in ("call", "check") else path.desks
    for each in sound:
        each.endless = {}
    context.beside = []
    began_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        other = "draft" if sound is path.engines else "look"
        tasks.start_soon(call_beside, context, path, other)
        await provoke(context, path, kind)
        context.took_s = anyio.current_time() - began_s
    poured = [one for each in path.endpoints for one in each.poured]
    assert poured, "nothing was sent"
    limit_s = (DEADLINE_S if is_call else OWN_TIMEOUT_S) + SLACK_S
    with anyio.move_on_after(limit_s + SLACK_S):
        while any(each.ended_s is None for each in poured):
            await anyio.sleep(0.02)
    context.poured, context.limit_s = poured, limit_s
    context.runs = ran(path, "mine")


async def provoke(context, path, kind):
    """Make the daemon send a request of this kind."""
    if kind == "report":
        path.write_entry(path.engines[0], seq=2)
        for each in path.engines:
            each.start_again()
            path.write_entry(each)
        await path.until(lambda: any(each.poured for each in path.engines), "reports")
        return
    if kind == "order":
        headers = {"Model": "base/a2", "Token-Counts": "9,9"}
        context.answer = await path.call("POST", "/draft/1", headers=headers)
        return
    if kind == "check":
        for each in path.desks:
            each.behaviour = ["unsealed"]
        with contextlib.suppress(httpx.HTTPError):
            await send(path, "order")
        await path.until(lambda: any(each.poured for each in path.desks), "checks")
        return
    name = {"call": "order", "streamed call": "note", "resumed stream": "draft"}[kind]
    headers = {"Request-Id": "mine", "Deadline-Ms": str(int(DEADLINE_S * 1000))}
    if name != "order":
        headers |= {"Model": "base/a1", "Token-Counts": "100,30"}
    if kind == "resumed stream":
        headers["Last-Event-Id"] = "5"
    try:
        context.answer = await path.call("POST", f"/{name}/1", headers=headers)
    except httpx.HTTPError as error:
        context.answer = error


async def call_beside(context, path, kind):
    for _ in range(BESIDE):
        began_s = anyio.current_time()
        answer = await send(path, kind)
        context.beside.append((answer.status_code, anyio.current_time() - began_s))
        await anyio.sleep(0.02)


@then("the connection is closed in time and after a bounded size")
def closed_in_time(context):
    for each in context.poured:
        assert each.ended_s is not None, each.size
        assert each.ended_s - each.began_s <= context.limit_s, vars(each)
        assert each.size <= MOST_BYTES, each.size


@then("the {kind} is not sent again, and is answered in time")
def not_sent_again(context, kind):
    if kind in ("call", "streamed call"):
        assert context.runs == 1, context.runs
    if kind in CALLS:
        assert context.took_s <= DEADLINE_S + SLACK_S, context.took_s


@then("other calls are answered in time meanwhile")
def others_answered(context):
    assert len(context.beside) == BESIDE, context.beside
    wrong = [each for each in context.beside if each[0] != 200 or each[1] > BESIDE_S]
    assert not wrong, wrong
