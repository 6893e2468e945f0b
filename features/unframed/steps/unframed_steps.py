import httpx
import path_steps  # noqa: F401
from behave import then, when
from stories import played
from unframed import BODY, EVENTS, Unframed, UnframedPath

unframed = played(kind=UnframedPath)


@when(
    'endpoints answer a "{kind}" request without length or chunks, and the first '
    "response {ends}"
)
@unframed
async def send_request(context, path, kind, ends):
    Unframed.breaks = [ends]
    model = {"Model": "base", "Token-Counts": "10,10"} if is_stream(kind) else {}
    method = "GET" if kind == "look" else "POST"
    try:
        answer = await path.call(method, f"/{kind}/1", headers=model)
    except httpx.HTTPError:
        context.found = "truncated"
    else:
        context.found = "complete" if is_complete(kind, answer) else "broken"
    context.runs = sum(len(each.requests) for each in path.endpoints)


def is_stream(kind):
    return kind in ("draft", "note")


def is_complete(kind, answer):
    if answer.status_code != 200:
        return False
    if not is_stream(kind):
        return answer.content == BODY
    events = [f"id: {number}\ndata: t{number}\n\n" for number in range(1, EVENTS + 1)]
    return answer.text == "".join(events)


@then(
    'the caller gets a "{found}" response, and {runs:d} endpoints have run the request'
)
def check_response(context, found, runs):
    assert (context.found, context.runs) == (found, runs), (context.found, context.runs)
