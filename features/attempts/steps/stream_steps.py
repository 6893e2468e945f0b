import json

import anyio
import httpx
from behave import given, then, when

from knapweedbridge_standins.example import ADMINISTRATOR_KEY, CALLER_KEY
from knapweedbridge_standins.oracle import answer

HEADERS = {"authorization": f"Bearer {CALLER_KEY}"}
TOKENS = 60
BREAK_AT_EVENT = 10
PROMPT = iter(f"prompt {place}" for place in range(10_000))


@given("a daemon that reaches its engine through a proxy")
def through_proxy(context):
    context.platform = context.shared.start().runner.platform
    context.proxy = context.shared.proxy
    context.model = context.platform.example.model(0)
    assert run(context, send_request(context, lambda events: None)) == "whole"
    context.runs = runs_of(context)


def run(context, work):
    return context.shared.runner.run(work)


async def send_request(context, at_event, streamed=True, tokens=TOKENS, leave_at=None):
    """Send a request, call `at_event` for each event, and return how it ended."""
    platform = context.platform
    context.prompt = next(PROMPT)
    body = {"model": context.model, "prompt": context.prompt}
    body |= {"max_tokens": tokens, "stream": streamed}
    url = f"http://{platform.example.callers(0)}/v1/completions"
    text, events = "", 0
    right = "".join(answer(context.model, context.prompt, tokens))
    async with httpx.AsyncClient(
        headers=HEADERS, timeout=20, trust_env=False
    ) as client:
        if not streamed:
            response = await client.post(url, json=body)
            whole = response.json().get("choices", [{}])[0].get("text") == right
            return "whole" if whole else response.text
        async with client.stream("POST", url, json=body) as response:
            async for line in response.aiter_lines():
                if line == "data: [DONE]":
                    return "whole" if text == right else f"wrong: {text}"
                if not line.startswith("data: "):
                    continue
                event = json.loads(line[6:])
                if "error" in event:
                    context.error = event["error"]
                    return "an error event"
                text += event["choices"][0]["text"]
                events += 1
                await await_if_given(at_event(events))
                if events == leave_at:
                    return "left"
    return f"a clean end after {events} of {tokens}"


async def await_if_given(work):
    if work is not None:
        await work


async def until(holds):
    with anyio.fail_after(10):
        while not holds():
            await anyio.sleep(0.01)


@when("its connections are {broken} in the middle of a stream")
def broken_stream(context, broken):
    breaks = {
        "silent": lambda: context.proxy.silence(),
        "cut": lambda: context.proxy.cut(),
        "cut and new ones refused": lambda: context.proxy.stop(),
    }

    def at_event(events):
        if events == BREAK_AT_EVENT:
            return breaks[broken]()
        return None

    context.ended = run(context, send_request(context, at_event))
    if "refused" in broken:
        run(context, context.proxy.start())


@when("its idle connections went silent before a {form} request")
def silent_before(context, form):
    context.proxy.silence()
    work = send_request(context, lambda events: None, streamed=form == "streamed")
    context.ended = run(context, work)


@when("the caller disconnects in the middle of a long stream")
def caller_disconnects(context):
    work = send_request(
        context, lambda events: None, tokens=2000, leave_at=BREAK_AT_EVENT
    )
    context.ended = run(context, work)


@then('the answer ends as "{ended}"')
def answer_ended(context, ended):
    assert context.ended == ended, context.ended


@then("the engine ran it once")
def ran_once(context):
    runs = runs_of(context) - context.runs
    assert runs == 1, runs


def runs_of(context):
    return sum(context.platform.engines[0].runs.values())


@then("the error says that it may have run")
def error_says(context):
    assert context.error["run"] == "unknown", context.error


@then("the engine runs nothing and the slot is free")
def nothing_runs(context):
    platform = context.platform
    run(context, until(lambda: not platform.engines[0].work.running))
    run(context, until_slot_free(context))


async def until_slot_free(context):
    url = f"http://{context.platform.example.administration(0)}/v1/endpoints"
    headers = {"authorization": f"Bearer {ADMINISTRATOR_KEY}"}
    async with httpx.AsyncClient(headers=headers, trust_env=False) as client:
        with anyio.fail_after(10):
            while (await client.get(url)).json()["draft-0"]["running"]:
                await anyio.sleep(0.05)
