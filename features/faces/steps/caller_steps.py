import math
import re
from pathlib import Path

import httpx
from behave import then, when
from starlette.datastructures import Headers

from knapweedbridge_core.outcomes import Reason
from knapweedbridge_daemon.answers import STATUS, whole_seconds
from knapweedbridge_daemon.caller_headers import read_headers
from knapweedbridge_standins.example import ADMINISTRATOR_KEY, CALLER_KEY

PAGE = Path(__file__).parents[3] / "docs" / "callers.md"
MAX_BODY_BYTES = 20000
RUN_WORDS = {"not_run", "unknown", "complete"}


async def in_chunks(data):
    for place in range(0, len(data), 1000):
        yield data[place : place + 1000]


BODIES = {
    "nothing": b"",
    "deep": b"[" * 15000,
    "too large": b'"' + b"x" * MAX_BODY_BYTES + b'"',
}


def headers_of(text):
    pairs = [pair.split(": ", 1) for pair in text.split("; ")] if text != "none" else []
    return [(name, value) for name, value in pairs]


def request(context, method, path, headers=(), body=b""):
    base = f"http://{context.runner().platform.example.callers(0)}"
    sent = {"authorization": f"Bearer {CALLER_KEY}"}
    sent.update({name.lower(): value for name, value in headers})
    absent = [name for name, value in sent.items() if value == "absent"]

    async def ask():
        async with httpx.AsyncClient(timeout=20, trust_env=False) as client:
            for name in absent:
                del client.headers[name]
                del sent[name]
            return await client.request(method, base + path, headers=sent, content=body)

    return context.runner().run(ask())


@when('the counter sends {method} "{path}" with {headers} and body {body}')
def send(context, method, path, headers, body):
    content = BODIES.get(body, body.encode())
    if body == "too large, in chunks":
        content = in_chunks(BODIES["too large"])
    context.response = request(context, method, path, headers_of(headers), content)


@then("the status is {status:d}")
def status_is(context, status):
    assert context.response.status_code == status, context.response.text


@then('the error code is "{code}" and says "{run}"')
def error_is(context, code, run):
    error = context.response.json()["error"]
    assert (error["code"], error["run"]) == (code, run), error
    assert error["message"]


@then('the header "{name}" is "{value}"')
def header_is(context, name, value):
    assert context.response.headers.get(name) == value, context.response.headers


@then('the header "{name}" is a whole number of at least 1')
def header_whole(context, name):
    assert int(context.response.headers[name]) >= 1


@then("the body is empty")
def body_empty(context):
    assert context.response.content == b""


@then('the service got "{method}" "{target}" "{query}"')
@then('the service got "{method}" "{target}" ""')
def service_got(context, method, target, query=""):
    told = context.response.json()
    found = told["method"], told["target"], told["query"]
    assert found == (method, target, query), found


def service_header(context, name):
    return dict(context.response.json()["headers"]).get(name)


@then('the service got no header "{name}"')
def service_lacks(context, name):
    assert service_header(context, name) is None, context.response.json()


@then('the service got the header "{name}" as "{value}"')
def service_has(context, name, value):
    assert service_header(context, name) == value, context.response.json()


@then('the header "x-knapweedbridge-id" is the id that the service got')
def own_id(context):
    own = context.response.headers["x-knapweedbridge-id"]
    assert own == service_header(context, "x-request-id")


@when("the key of {key} lists the models")
def list_models(context, key):
    keys = {"counter": CALLER_KEY, "port": context.harbour_key}
    headers = [("authorization", f"Bearer {keys.get(key, ADMINISTRATOR_KEY)}")]
    context.response = request(context, "GET", "/v1/models", headers)
    assert context.response.json()["object"] == "list"


@then('the list {has} "{name}"')
def list_has(context, has, name):
    found = {entry["id"] for entry in context.response.json()["data"]}
    assert (name in found) == (has == "has"), found


@when('the headers "{headers}" are read')
def read(context, headers):
    context.asked = read_headers(Headers(dict(headers_of(headers))), 60.0)


@then('the time is {within:g} s, the priority "{priority}" and non-idempotent {flag}')
@then('the time is {within:g} s, the priority "" and non-idempotent {flag}')
def asked(context, within, flag, priority=""):
    found = context.asked
    assert math.isclose(found.within_s, within), found
    assert found.priority == priority, found
    assert found.non_idempotent == (flag == "yes"), found


@then('{seconds:g} s are told as "{told}"')
def told_as(context, seconds, told):
    assert whole_seconds(seconds) == told.encode()


@then("the table of docs/callers.md has each reason with its status")
def page(context):
    rows = re.findall(r"^\| `(\w+)` \| (\d+) \| ([^|]*) \|", PAGE.read_text(), re.M)
    table = {code: (int(status), run) for code, status, run in rows}
    for reason in Reason:
        assert reason in STATUS, f"answers.STATUS lacks {reason}"
        assert reason in table, f"docs/callers.md lacks a line for {reason}"
        status, run = table[reason]
        assert status == STATUS[reason], (reason, status)
        words = set(re.findall(r"`(\w+)`", run))
        assert words and words <= RUN_WORDS, (reason, run)
    unknown = set(table) - set(Reason)
    assert not unknown, f"docs/callers.md has {unknown}"
