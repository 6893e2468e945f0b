import json

import anyio
import httpx
import openai
from behave import then, when

from knapweedbridge_core.outcomes import NotRun, Reason
from knapweedbridge_daemon.answers import send_error
from knapweedbridge_daemon.web import make_config, serve_until
from knapweedbridge_standins.example import CALLER_KEY
from knapweedbridge_standins.oracle import answer

TOKENS = 6
MESSAGES = [{"role": "user", "content": "hello"}]
PROMPTS = {"completions": "hello", "chat completions": "user: hello"}


def base(context):
    return f"http://{context.runner().platform.example.callers(0)}/v1"


def client(context, key=CALLER_KEY):
    return openai.AsyncOpenAI(api_key=key, base_url=base(context), max_retries=0)


@when("the client library lists the models")
def list_models(context):
    async def ask():
        async with client(context) as library:
            listed = await library.models.list()
            return [model.id async for model in listed]

    context.models = context.runner().run(ask())


@then('it has "{first}" and "{second}"')
def has(context, first, second):
    assert {first, second} <= set(context.models), context.models


@then('the client library retrieves "{name}"')
def retrieves(context, name):
    async def ask():
        async with client(context) as library:
            return await library.models.retrieve(name)

    assert context.runner().run(ask()).id == name


async def complete(library, model, streamed, prompt="hello"):
    made = await library.completions.create(
        model=model, prompt=prompt, max_tokens=TOKENS, stream=streamed
    )
    if not streamed:
        return made.choices[0].text
    return "".join([chunk.choices[0].text async for chunk in made])


async def chat(library, model, streamed):
    made = await library.chat.completions.create(
        model=model, messages=MESSAGES, max_tokens=TOKENS, stream=streamed
    )
    if not streamed:
        return made.choices[0].message.content
    return "".join([chunk.choices[0].delta.content async for chunk in made])


@when('the client library asks {form} of "{model}", streamed {streamed}')
def ask_form(context, form, model, streamed):
    asked = complete if form == "completions" else chat

    async def ask():
        async with client(context) as library:
            return await asked(library, model, streamed == "yes")

    context.form = form
    context.answered = context.runner().run(ask())


@then('the text is the one right answer of "{model}"')
def right(context, model):
    tokens = answer(model, PROMPTS[context.form], TOKENS)
    assert context.answered == "".join(tokens), context.answered


async def unknown_model(context):
    async with client(context) as library:
        await complete(library, "nobody@1", False)


async def wrong_key(context):
    async with client(context, "nonsense") as library:
        await library.models.list()


async def wrong_body(context):
    async with client(context) as library:
        extra = {"stream": "perhaps"}
        await library.completions.create(
            model="reminders", prompt="x", extra_body=extra
        )


async def told(context, reason):
    """Meet an outcome in the form that the daemon gives it."""

    async def app(scope, receive, send):
        if scope["type"] == "http":
            await receive()
            await send_error(send, NotRun(reason))

    address = context.runner().platform.example.address(95)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_until, app, make_config(address, 0.1), stop)
        await anyio.sleep(0.1)
        try:
            async with openai.AsyncOpenAI(
                api_key="k", base_url=f"http://{address}/v1", max_retries=0
            ) as library:
                await complete(library, "reminders", False)
        except openai.APIStatusError as error:
            context.error = error
        stop.set()
    raise context.error


TROUBLES = {
    "an unknown model": unknown_model,
    "a wrong key": wrong_key,
    "a wrong body": wrong_body,
    "a limit": lambda context: told(context, Reason.LIMIT),
    "no endpoint": lambda context: told(context, Reason.NO_ENDPOINT),
}


@when("the client library meets {trouble}")
def meet(context, trouble):
    try:
        context.runner().run(TROUBLES[trouble](context))
    except openai.APIStatusError as error:
        context.error = error
        return
    raise AssertionError("no error was raised")


@then('it raises "{name}" with status {status:d} and code "{code}"')
def raises(context, name, status, code):
    error = context.error
    found = type(error).__name__, error.status_code, error.code
    assert found == (name, status, code), found
    later = error.response.headers.get("retry-after")
    assert (later is not None) == (status in (429, 503)), later


@when('the counter streams the prompt "{prompt}"')
def stream(context, prompt):
    body = {"model": "reminders", "prompt": prompt, "stream": True}
    headers = {"authorization": f"Bearer {CALLER_KEY}"}

    async def ask():
        async with httpx.AsyncClient(timeout=20, trust_env=False) as asking:
            url = base(context) + "/completions"
            return await asking.post(url, json=body, headers=headers)

    response = context.runner().run(ask())
    assert response.status_code == 200, response.text
    context.prompt = prompt
    context.events = [event for event in response.text.split("\n\n") if event]


@then('the last event is an error that says "{run}"')
def last_is_error(context, run):
    error = json.loads(context.events[-1].removeprefix("data: "))["error"]
    assert error["run"] == run, error


@then('no event is "[DONE]"')
def not_done(context):
    assert "data: [DONE]" not in context.events


@then("every event is whole")
def whole(context):
    assert len(context.events) > 1, context.events
    for event in context.events:
        json.loads(event.removeprefix("data: "))


@then('the client library raises "{name}" for the same prompt')
def raises_in_stream(context, name):
    async def ask():
        async with client(context) as library:
            await complete(library, "reminders", True, context.prompt)

    try:
        context.runner().run(ask())
    except openai.APIError as error:
        assert type(error).__name__ == name, error
        return
    raise AssertionError("a broken stream looked whole")
