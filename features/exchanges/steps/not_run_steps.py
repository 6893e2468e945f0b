import contextlib

import anyio
import httpx
import path_steps  # noqa: F401
from behave import then, when
from scripted_endpoints import LONG_BODY_BYTES, ScriptedEndpoint, ScriptedPath
from stories import played

scripted = played(kind=ScriptedPath)

SETTLE_S = 0.3


def begin(*script):
    ScriptedEndpoint.script = list(script)
    ScriptedEndpoint.arrivals = []


@when("a long call that may run once meets an endpoint that {does}")
@scripted
async def long_call(context, path, does):
    begin(does)
    body = b"x" * LONG_BODY_BYTES
    context.answer = await path.call("POST", "/order/1", content=body)
    await anyio.sleep(SETTLE_S)
    context.arrivals = list(ScriptedEndpoint.arrivals)


@then("it is answered with {status:d}, after it was sent to {sent:d} endpoints")
def answered_after(context, status, sent):
    assert len(context.arrivals) == sent, context.arrivals
    assert context.answer.status_code == status, context.answer


@when("a call that may run once runs for a second and its caller {how}")
@scripted
async def long_run(context, path, how):
    begin("answers after a second")
    deadline_ms = "300" if how == "waits for 300 ms" else "4000"
    headers = {"Deadline-Ms": deadline_ms}
    leaves_s = 0.2 if how.startswith("leaves") else 8
    with contextlib.suppress(httpx.HTTPError), anyio.move_on_after(leaves_s):
        await path.call("POST", "/order/1", headers=headers)
    await anyio.sleep(1.0 + SETTLE_S)
    context.arrivals = list(ScriptedEndpoint.arrivals)


@then("it was sent to 1 endpoint")
def sent_once(context):
    assert len(context.arrivals) == 1, context.arrivals
