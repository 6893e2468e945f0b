import signal

import anyio
import httpx
from behave import given, then, when
from separate_daemon import play_separately
from standins import header

EVENTS = 10


@given("a daemon in a process of its own, and a draft of {seconds:d} s")
def separate_daemon(context, seconds):
    context.pause_s = seconds / EVENTS


@when("it is asked to stop in the middle of the draft, and then gets {name}")
def stopped_and_signalled(context, name):
    async def story(path):
        path.engine.pause_s = context.pause_s
        async with anyio.create_task_group() as calls:
            calls.start_soon(call, path)
            await anyio.sleep(3 * context.pause_s)
            path.process.send_signal(signal.SIGTERM)
            await anyio.sleep(0.3)
            if name != "nothing":
                path.process.send_signal(signal.Signals[name])
        context.code = await path.ended()

    async def call(path):
        context.response = None
        context.response = await path.draft("base/a1")

    play_separately(story)


@then("the caller has all ten events")
def all_events(context):
    lines = context.response.text.splitlines()
    ids = [line for line in lines if line.startswith("id: ")]
    assert ids == [f"id: {number + 1}" for number in range(EVENTS)], ids


@then("the daemon ends by itself, without an error")
def ends_well(context):
    assert context.code == 0, context.code


@given("a daemon in a process of its own that has {seconds:d} s to stop")
def separate_daemon_with_grace(context, seconds):
    context.grace_s = seconds


@when(
    'it is asked to stop while a "{kind}" call on a kept connection waits for its '
    "endpoint"
)
def stopped_while_waiting(context, kind):
    async def story(path):
        async with path.kept_connection(deadline_ms=9000) as client:
            opened = await client.get("/look/1", headers={"Request-Id": "first"})
            assert opened.status_code == 200, opened
            path.desk.behaviour = ["silent"] * 2
            path.engine.queue_s = 30.0
            async with anyio.create_task_group() as calls:
                calls.start_soon(call, client)
                await anyio.sleep(0.3)
                path.process.send_signal(signal.SIGTERM)
            context.code = await path.ended()
        waiting = path.desk if kind in ("look", "order") else path.engine
        context.arrived = [header(each, "Request-Id") for each in waiting.requests]

    async def call(client):
        named = {"Request-Id": "second"}
        if kind in ("draft", "note"):
            named |= {"Model": "base/a1", "Token-Counts": "100,30"}
        method = "GET" if kind == "look" else "POST"
        try:
            context.response = await client.request(
                method, f"/{kind}/1", headers=named, content=b""
            )
        except httpx.HTTPError as error:
            context.response = error

    play_separately(story, context.grace_s)


@then("the call is answered with {status:d} before the daemon ends")
def answered_before_the_end(context, status):
    assert "second" in context.arrived, context.arrived
    assert isinstance(context.response, httpx.Response), repr(context.response)
    assert context.response.status_code == status, context.response
