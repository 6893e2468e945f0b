from unittest import mock

import anyio
import httpx
from behave import then, when
from cut_steps import FirstAttempts, with_links
from pressure_calls import call_service, find_endpoint
from stories import WRITTEN_S

from knapweedbridge_daemon.serving.forwarding import TunnelForwarder
from knapweedbridge_daemon.serving.http_client import CONNECT_TIMEOUT_S

SILENCE_S = 1.2
CANNOT_TELL = mock.AsyncMock(return_value=False)
EVENTS = [f"id: {number}" for number in range(1, 11)]


@when("{name} is silent for 1.2 s while drafts run and calls come")
@with_links
async def be_silent(context, path, links, name):
    endpoint = find_endpoint(path, name)
    context.attempts, context.drafts, context.endpoint = FirstAttempts(), [], endpoint
    await context.attempts.call_for(path, context.daemons, 1.0)
    for engine in path.engines:
        engine.pause_s = 0.2
    async with anyio.create_task_group() as tasks:
        for number in range(6):
            model = f"base/a{number % 2 + 1}"
            tasks.start_soon(draft, path, model, number % 3, context.drafts)
        await anyio.sleep(0.4)
        links.silence(endpoint.address)
        tasks.start_soon(context.attempts.call_for, path, context.daemons, SILENCE_S)
        await anyio.sleep(SILENCE_S)
        links.end_silence(endpoint.address)
    await anyio.sleep(WRITTEN_S)
    context.lines = [
        line for daemon in range(context.daemons) for line in path.lines(daemon)
    ]


@when(
    '"{names}" are silent for {silent_s:g} s while hosts without traffic connect to '
    "them"
)
@mock.patch.object(TunnelForwarder, "_is_linked", CANNOT_TELL)
@with_links
async def silent_on_connecting(context, path, links, names, silent_s):
    silent = [find_endpoint(path, name) for name in names.split(", ")]
    async with anyio.create_task_group() as tasks:
        for endpoint in silent:
            links.silence(endpoint.address)
        for number in range(8):
            tasks.start_soon(call_service, path, silent[0], number, 2, [])
        await anyio.sleep(silent_s)
        for endpoint in silent:
            links.end_silence(endpoint.address)
    await anyio.sleep(CONNECT_TIMEOUT_S + WRITTEN_S)
    context.asked = await path.read_counter("tunnels_asked")
    context.lines = [
        line for daemon in range(context.daemons) for line in path.lines(daemon)
    ]


@then("a host has asked another one to connect")
def has_asked(context):
    assert context.asked


async def draft(path, model, daemon, found):
    try:
        answer = await path.draft(model, daemon, "/note/1")
    except httpx.HTTPError as error:
        found.append(repr(error))
        return
    found.append([row for row in answer.text.splitlines() if row.startswith("id:")])


@then("all drafts that ran there get complete responses")
def drafts_complete(context):
    assert all(each == EVENTS for each in context.drafts), context.drafts


@then('no log holds "{kinds}"')
def no_log_holds(context, kinds):
    logged = {line["message_type"] for line in context.lines}
    assert not logged & set(kinds.split(", ")), logged & set(kinds.split(", "))
