import httpx
import path_steps  # noqa: F401
from behave import then, when
from stories import played
from unframed import BODY, EVENTS, Unframed, UnframedPath

unframed = played(kind=UnframedPath)


@when(
    'endpoints answer a "{kind}" request without length or chunks, and the first {ends}'
)
@unframed
async def answers(context, path, kind, ends):
    Unframed.breaks = [ends]
    model = {"Model": "base", "Token-Counts": "10,10"} if is_stream(kind) else {}
    method = "GET" if kind == "look" else "POST"
    try:
        answer = await path.call(method, f"/{kind}/1", headers=model)
    except httpx.HTTPError:
        context.found = "cut"
    else:
        context.found = "whole" if is_whole(kind, answer) else "broken"
    context.runs = sum(len(each.requests) for each in path.endpoints)


def is_stream(kind):
    return kind in ("draft", "note")


def is_whole(kind, answer):
    if answer.status_code != 200:
        return False
    if not is_stream(kind):
        return answer.content == BODY
    events = [f"id: {number}\ndata: t{number}\n\n" for number in range(1, EVENTS + 1)]
    return answer.text == "".join(events)


@then('the caller finds it "{found}", and {runs:d} endpoints have run it')
def finds(context, found, runs):
    assert (context.found, context.runs) == (found, runs), (context.found, context.runs)
