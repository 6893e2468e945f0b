import contextlib
import functools
import os
from collections import Counter

import anyio
import httpx
import msgpack
from behave import then, when
from host_links import path_with_links
from standins import header
from stories import WRITTEN_S

RECOVERY_S = 3.0
"""Time after a cut from which first attempts must be served."""

COUNTED_S = 3.0
CALL_EVERY_S = 0.08
SHARE = 2 / 3
MODELS = ("base/a1", "base/a2", "base/a3", "base/a4")
PROMPT = b"long enough to be known again"
KINDS = ("look", "order", "draft", "note")


def with_links(work):
    """Run a scenario on the whole path, with links that can be cut."""

    @functools.wraps(work)
    def step(context, **values):
        async def scenario():
            async with path_with_links(context.daemons) as (path, links):
                context.path = path
                await work(context, path, links, **values)

        anyio.run(scenario)

    return step


class FirstAttempts:
    """Results of the first attempts of callers, by host."""

    def __init__(self):
        self.answers = []

    async def call(self, path, host, number):
        kind = KINDS[number % len(KINDS)]
        call = f"{kind}-{os.urandom(4).hex()}"
        sent_s = anyio.current_time()
        headers = {"Request-Id": call}
        if kind in ("look", "order"):
            answer = await path.call("POST", f"/{kind}/1", host, headers)
        else:
            model = MODELS[number // len(KINDS) % len(MODELS)]
            answer = await path.draft(model, host, f"/{kind}/1", **headers)
        self.answers.append((sent_s, host, call, answer.status_code))

    async def call_for(self, path, hosts, seconds):
        async with anyio.create_task_group() as tasks:
            for number in range(round(seconds / CALL_EVERY_S)):
                for host in range(hosts):
                    tasks.start_soon(self.call, path, host, number + host)
                await anyio.sleep(CALL_EVERY_S)

    def shares(self, since_s):
        """Return the share of first attempts that were served, by host."""
        sent, served = Counter(), Counter()
        for sent_s, host, _, status in self.answers:
            if sent_s >= since_s:
                sent[host] += 1
                served[host] += status == 200
        return {host: served[host] / sent[host] for host in sent}


@when(
    "{cut:d} hosts lose their links to all endpoints, whose connections {how}, and "
    "calls come"
)
@with_links
async def lose_links(context, path, links, cut, how):
    context.cut, context.attempts = cut, FirstAttempts()
    await context.attempts.call_for(path, context.daemons, 1.0)
    for host in range(cut):
        links.cut(f"host-{host}", how)
    context.since_s = anyio.current_time() + RECOVERY_S
    await context.attempts.call_for(path, context.daemons, RECOVERY_S + COUNTED_S)


@then(
    "from 3 s on the share of first attempts served there is at least two thirds of "
    "that at the others"
)
def served_as_often(context):
    shares = context.attempts.shares(context.since_s)
    there = [shares[host] for host in range(context.cut)]
    others = [shares[host] for host in range(context.cut, context.daemons)]
    bound = SHARE * sum(others) / len(others)
    assert sum(there) / len(there) >= bound, shares


@then("no non-idempotent call runs twice, and no refused call has run")
def runs_once(context):
    runs = Counter(
        header(request, "Request-Id")
        for endpoint in context.path.endpoints
        for request in endpoint.requests
    )
    once = {call: n for call, n in runs.items() if call.startswith(("order", "note"))}
    assert max(once.values()) == 1, [call for call, n in once.items() if n > 1]
    refused = {call for *_, call, status in context.attempts.answers if status == 503}
    assert not refused & runs.keys(), refused & runs.keys()


def owners(path):
    """Return the number of the host that owns each engine, by the store."""
    found = {}
    for engine in path.engines:
        value = path.store.items[f"knapweedbridge/owners/{engine.name}"][0]
        found[engine.name] = msgpack.unpackb(value)[0]
    return found


@when(
    "the owners of all engines lose their links, and 3 s later drafts need other "
    "adapters"
)
@with_links
async def owners_lose_links(context, path, links):
    cut = set(owners(path).values())
    if len(cut) == context.daemons:
        cut.pop()
    for host in cut:
        links.cut(host, "hang")
    await anyio.sleep(RECOVERY_S)
    linked_host = next(
        number for number in range(context.daemons) if f"host-{number}" not in cut
    )
    context.answers = [
        await path.draft(f"base/a{number}", linked_host)
        for number in (5, 6, 7, 8, 9, 5)
    ]


@then("the host that still has links answers the drafts")
def drafts_answered(context):
    statuses = [answer.status_code for answer in context.answers]
    assert set(statuses) == {200}, statuses


async def run_draft(path, model):
    with contextlib.suppress(httpx.RemoteProtocolError):
        headers = {"Model": model, "Token-Counts": "100,30"}
        await path.call("POST", "/note/1", 0, headers, content=PROMPT)


@when(
    "a host loses its links while drafts run, and the same drafts are sent again and "
    "again"
)
@with_links
async def cut_while_running(context, path, links):
    for engine in path.engines:
        engine.pause_s = 0.2
    async with anyio.create_task_group() as tasks:
        for number in range(6):
            tasks.start_soon(run_draft, path, MODELS[number % 2])
        await anyio.sleep(0.5)
        links.cut("host-0", "reset")
    for _ in range(4):
        await run_draft(path, MODELS[0])
        await anyio.sleep(0.3)
    await anyio.sleep(WRITTEN_S)
    context.blames = [
        line
        for daemon in range(context.daemons)
        for line in path.lines(daemon)
        if line["message_type"] == "calls.blamed"
    ]


@then("no host blames a call for an endpoint's loss")
def nobody_blames(context):
    assert not context.blames, context.blames
