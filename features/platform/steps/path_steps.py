import functools
import json
import os
import re
import subprocess
import sys
from pathlib import Path
from unittest import mock

import anyio
import httpx
from behave import given, then, when
from standins import header
from whole_path import (
    RunningHost,
    configuration,
    free_port,
    settings_fields,
    whole_path,
)

from knapweedbridge_core.errors import CheckError
from knapweedbridge_daemon.serving import attempting, http_server, placing
from knapweedbridge_daemon.serving.endpoint_sweep import EndpointSweep
from knapweedbridge_daemon.serving.http_client import (
    ConnectionPool,
    Destination,
    RequestIdentity,
)
from knapweedbridge_daemon.serving.settings import read_serving_settings
from knapweedbridge_daemon.serving.wire import RequestHead, get_header

ROOT = Path(__file__).parents[3]
REFUSED = "request.refused"
DEADLINE_MS = 4000
"""How long callers of the whole path wait."""


def played(work):
    """Run a scenario's whole story in one event loop."""

    @functools.wraps(work)
    def step(context, **values):
        async def story():
            async with whole_path(context.daemons) as path:
                context.path = path
                await work(context, path, **values)

        anyio.run(story)

    return step


@given("the whole path")
def one_daemon(context):
    context.daemons = 1


@given("the whole path with {daemons:d} daemons")
def several_daemons(context, daemons):
    context.daemons = daemons


@when('the endpoints behave "{behaves}" once and a "{kind}" call comes')
@played
async def plain_call(context, path, behaves, kind):
    # Which endpoint is chosen first is not told: the first that is reached behaves.
    shared = [behaves]
    for desk in path.desks:
        desk.behaviour = shared
    context.response = await path.call("GET", f"/{kind}/1")


@then("it ends with {status:d}, run by {runs:d} endpoints")
def ends_with(context, status, runs):
    assert context.response.status_code == status, context.response
    ran = sum(len(desk.requests) for desk in context.path.desks)
    assert ran == runs, ran


@when("the first endpoint's answer to a look-up comes just as patience with it ends")
@played
async def last_moment(context, path):
    shared = ["in the last moment"]
    for desk in path.desks:
        desk.behaviour = shared
    with mock.patch.object(attempting, "first_byte_timeout_s", lambda *_: 0.1):
        context.response = await path.call("GET", "/look/1")


@then("the look-up is answered with {status:d}, by the second endpoint")
def look_up_answered(context, status):
    assert context.response.status_code == status, context.response
    assert [len(desk.requests) for desk in context.path.desks] == [1, 1]


FAULTY = {
    "Placing.place": (placing.CallPlacer, "place"),
    "Attempting._exchange": (attempting.AttemptRunner, "_exchange"),
    "Attempting._relay": (attempting.AttemptRunner, "_relay"),
    "Attempting._take_whole": (attempting.AttemptRunner, "_take_whole"),
    "Responder.end": (http_server.CallerConnection, "pack_data"),
}


@when('a "{kind}" call on a kept connection meets an error in "{where}"')
@played
async def own_error(context, path, kind, where):
    if kind == "draft":
        assert (await path.draft("base/a1")).status_code == 200
    method = "POST" if kind in ("draft", "order") else "GET"
    async with path.kept_connection() as client:
        opened = await client.get("/look/1", headers={"Request-Id": "first"})
        assert opened.status_code == 200, opened
        with mock.patch.object(*FAULTY[where], side_effect=RuntimeError("planted")):
            named = {"Request-Id": "second"}
            if kind == "draft":
                named |= {"Model": "base/a1", "Token-Counts": "100,30"}
            try:
                context.response = await client.request(
                    method, f"/{kind}/1", headers=named
                )
            except httpx.HTTPError as error:
                context.response = error
        context.next = await client.get("/look/1", headers={"Request-Id": "third"})

    def faults():
        return [line for line in path.lines() if line["message_type"] == "daemon.fault"]

    await path.until(faults, "the error is logged")
    context.faults = faults()
    context.ended = [
        line for line in path.lines() if line["message_type"] == "request.ended"
    ]


@then("it is answered with {status:d}, and the connection ends after that")
def own_error_answered(context, status):
    assert isinstance(context.response, httpx.Response), repr(context.response)
    assert context.response.status_code == status, context.response
    assert context.response.headers["Connection"] == "close"


@then("the daemon counts the error, and goes on to serve")
def own_error_counted(context):
    assert ["planted" in line["error"] for line in context.faults] == [True]
    assert context.next.status_code == 200, context.next


@then("the call's line has the outcome {outcome}")
def own_error_outcome(context, outcome):
    outcomes = {line["request"]: line["outcome"] for line in context.ended}
    assert outcomes.get("second") == outcome, outcomes


@when("a background task fails while a call on a kept connection waits")
def background_error(context):
    context.ended = None

    async def run(host):
        try:
            await host.run()
        except Exception as error:
            context.ended = error

    async def call(client):
        named = {"Request-Id": "second"}
        try:
            context.response = await client.post("/order/1", headers=named)
        except httpx.HTTPError as error:
            context.response = error

    def is_passed_on(path):
        arrived = [each for desk in path.desks for each in desk.requests]
        return "second" in [header(each, "Request-Id") for each in arrived]

    async def play(path, failing):
        async with path.kept_connection() as client:
            opened = await client.get("/look/1", headers={"Request-Id": "first"})
            assert opened.status_code == 200, opened
            for desk in path.desks:
                desk.behaviour = ["silent"]
            async with anyio.create_task_group() as calls:
                calls.start_soon(call, client)
                await path.until(lambda: is_passed_on(path), "it is passed on")
                failing.set()
        await path.until(lambda: context.ended, "the daemon ends")
        context.lines = path.lines()

    async def story():
        failing = anyio.Event()

        async def fail(sweep):
            await failing.wait()
            raise KeyError("planted")

        with (
            mock.patch.object(RunningHost, "serve", staticmethod(run)),
            mock.patch.object(EndpointSweep, "run", fail),
        ):
            async with whole_path() as path:
                await play(path, failing)

    anyio.run(story)


@then("the error is logged with its place, and ends the daemon")
def background_error_logged(context):
    faults = [line for line in context.lines if line["message_type"] == "daemon.fault"]
    assert ["planted" in line["error"] for line in faults] == [True], faults
    assert "path_steps.py" in faults[0]["places"], faults
    assert context.ended is not None


@when('"{method}" "{path_}" is called with body "{body}"')
@played
async def called_with(context, path, method, path_, body):
    context.response = await path.call(method, path_, content=body.encode())


@then('the answer is "{text}"')
def answer_is(context, text):
    assert context.response.text == text, context.response.text


@when('a call comes with the caller\'s own "{a}", "{b}", "{c}", "{d}"')
@played
async def own_headers(context, path, **names):
    context.names = list(names.values())
    headers = dict.fromkeys(context.names, "of-the-caller")
    context.response = await path.call("GET", "/look/1", headers=headers)


@then("the endpoint got none of the caller's")
def got_none(context):
    assert context.response.status_code == 200, context.response
    for desk in context.path.desks:
        for request in desk.requests:
            values = [value for _, value in request.head.headers]
            assert b"of-the-caller" not in values, request.head.headers


async def ask_drafts(path, models, daemons=1):
    responses = []

    async def ask(number, model):
        response = await path.draft(model, number % daemons)
        while response.status_code == 503:
            await anyio.sleep(float(response.headers["Retry-After"]))
            response = await path.draft(model, number % daemons)
        responses.append(response)

    async with anyio.create_task_group() as tasks:
        for number, model in enumerate(models):
            tasks.start_soon(ask, number, model)
            await anyio.sleep(0.02)
    return responses


async def lengthen_objectives(path):
    """Have the routes ask for answers within the callers' deadline, and no sooner."""
    told = configuration(version=2)
    for each in told["routes"]:
        each["target_latency_ms"] = DEADLINE_MS
    path.store.put("op/config", told)


@when("streams for {count:d} adapters come one after another")
def adapters_in_turn(context, count):
    async def story():
        # A process that gets no processor for a second loses a shorter lease, and is
        # late for a shorter objective; neither is what this story is about.
        terms = {"lease_ms": 10_000, "prepare": lengthen_objectives}
        async with whole_path(context.daemons, **terms) as path:
            context.path = path
            models = [f"base/a{n}" for n in range(count)]
            context.responses = [await path.draft(model) for model in models]

    anyio.run(story)


@when("{streams:d} streams for {count:d} adapters come to all daemons")
@played
async def adapters_everywhere(context, path, streams, count):
    models = [f"base/a{n % count}" for n in range(streams)]
    context.responses = await ask_drafts(path, models, context.daemons)


def is_whole(response):
    ids = [line for line in response.text.splitlines() if line.startswith("id: ")]
    return response.status_code == 200 and ids == [f"id: {n}" for n in range(1, 11)]


@then("all are whole")
def all_whole(context):
    bad = [each for each in context.responses if not is_whole(each)]
    assert not bad, [(each.status_code, each.text[:80]) for each in bad]


@then("no engine was ordered beyond its places")
def not_beyond(context):
    assert not any(engine.crashed for engine in context.path.engines)
    assert sum(len(engine.orders) for engine in context.path.engines) > 5


@then("no engine was ordered by two daemons")
def one_orderer(context):
    for engine in context.path.engines:
        holders = {(order["holder"], order["fencing_token"]) for order in engine.orders}
        assert len(holders) <= 1, holders


@when('a draft comes and the engine\'s stream is "{behaves}"')
@played
async def draft_breaks(context, path, behaves):
    shared = [behaves]
    for engine in path.engines:
        engine.behaviour = shared
    context.response = await path.draft("base")


@then("the caller has all ten events once, in order")
def all_ten(context):
    assert is_whole(context.response), context.response.text


@when('a note comes and the engine\'s stream is "{behaves}"')
@played
async def note_breaks(context, path, behaves):
    for engine in path.engines:
        engine.behaviour = [behaves]
    context.got, context.complete = b"", False
    url = f"http://127.0.0.1:{path.ports[0][0]}/note/1"
    headers = {"Host": "shop.example", "Request-Id": "n1", "Model": "base"}
    async with httpx.AsyncClient() as client:
        try:
            async with client.stream("POST", url, headers=headers) as response:
                async for chunk in response.aiter_raw():
                    context.got += chunk
            context.complete = True
        except httpx.HTTPError:
            pass


@then("the caller's stream breaks after {events:d} events")
def breaks_after(context, events):
    assert not context.complete
    assert context.got.count(b"\n\n") == events, context.got


@when('version {version:d} of "base/a1" is named and a draft for it comes')
@played
async def version_named(context, path, version):
    named = {"model": "base", "adapter": "a1", "version": version}
    await path.draft("base/a1")
    path.store.put("op/version/base.a1", named)
    for _ in range(100):
        context.response = await path.draft("base/a1")
        if any(order.get("version") == version for order in orders_of(path)):
            break
        await anyio.sleep(0.05)
    await anyio.sleep(0.2)
    context.response = await path.draft("base/a1")


def orders_of(path):
    return [order for engine in path.engines for order in engine.orders]


@then("an engine was ordered to load version {version:d}")
def ordered_version(context, version):
    found = [o for o in orders_of(context.path) if o.get("version") == version]
    assert found and found[0]["operation"] == "load", orders_of(context.path)


@then("the draft was sent with that version expected")
def version_expected(context):
    assert is_whole(context.response)
    sent = [
        value
        for engine in context.path.engines
        for request in engine.requests[-1:]
        for key, value in request.head.headers
        if key == b"Expect-Version"
    ]
    assert b"2" in sent, sent


@when("desk-1 says that it is leaving")
@played
async def leaving(context, path):
    path.store.put("servers/desk-1", path.desks[0].entry(state="draining"))
    await path.until(
        lambda: any(
            line.get("key") == "servers/desk-1"
            and line["message_type"] == "belief.changed"
            for line in path.lines()[-3:]
        ),
        "the daemon takes it",
    )
    for desk in path.desks:
        desk.requests.clear()
    for number in range(10):
        await path.call("GET", f"/look/{number}")


@then("{calls:d} calls all reach desk-2")
def reach_other(context, calls):
    assert [len(desk.requests) for desk in context.path.desks] == [0, calls]


TROUBLES = {
    "the configuration cannot be read": lambda store: store.put("op/config", b"{no"),
    "the store is down": lambda store: setattr(store, "down", True),
    "the store answers nonsense": lambda store: setattr(store, "nonsense", True),
}


@when("the configuration cannot be read")
def unreadable(context):
    play_trouble(context, trouble="the configuration cannot be read")


@when("the store is down")
def store_down(context):
    play_trouble(context, trouble="the store is down")


@when("the store answers nonsense")
def store_nonsense(context):
    play_trouble(context, trouble="the store answers nonsense")


@played
async def play_trouble(context, path, trouble):
    TROUBLES[trouble](path.store)
    path.store.changed.set()
    await anyio.sleep(1.5)
    context.response = await path.call("GET", "/look/1")
    context.kinds = {line["message_type"] for line in path.lines()}


@then('"{path_}" is answered with {status:d}')
def answered_with(context, path_, status):
    assert context.response.status_code == status, context.response


@then('the log tells "{kind}"')
def log_tells(context, kind):
    assert kind in context.kinds, context.kinds


@when('the store forgets its history and the route "{name}" is dropped')
@played
async def forgets(context, path, name):
    path.store.put("op/config", configuration(2, drop=(name,)))
    path.store.forget_history()
    path.store.put("servers/none", path.desks[0].entry(service="none"))
    with anyio.move_on_after(5):
        while True:
            context.response = await path.call("GET", "/look/1")
            if context.response.status_code == 404:
                break
            await anyio.sleep(0.05)


@then('"{path_}" is soon answered with {status:d}')
def soon_answered(context, path_, status):
    answered_with(context, path_, status)


def owner_of(path, engine):
    found = path.store.items.get(f"knapweedbridge/owners/{engine}")
    return found and (found[0], found[1])


@when("the owner of engine-1 gives its lease up")
@played
async def lease_lapses(context, path):
    await path.until(lambda: owner_of(path, "engine-1"), "engine-1 has an owner")
    context.before = owner_of(path, "engine-1")
    lease = path.store.items["knapweedbridge/owners/engine-1"][2]
    # The store ends the lease, as for a host that fell silent.
    path.store.leases[lease].ends_s = 0.0
    await path.until(
        lambda: (owner_of(path, "engine-1") or context.before)[1] != context.before[1],
        "engine-1 has a new record",
    )
    context.after = owner_of(path, "engine-1")


@then("the other daemon owns engine-1 with a higher number")
def other_owns(context):
    assert context.after[1] > context.before[1]


@when("the store takes away the daemon's record")
@played
async def record_taken(context, path):
    key = "knapweedbridge/daemons/host-0"
    context.lease = path.store.items[key][2]
    path.store.remove(key)
    await path.until(lambda: key in path.store.items, "the record is written again")
    context.lease_after = path.store.items[key][2]


@then("the record is soon there again, under the same lease")
def record_again(context):
    assert context.lease_after == context.lease


@given("the whole path, with leases of {lease_ms:d} ms")
def with_leases(context, lease_ms):
    context.lease_ms = lease_ms


@when("the store has been away for 2 s, and a draft for a new adapter comes")
def draft_in_outage(context):
    async def story():
        async with whole_path(1, context.lease_ms) as path:
            assert (await path.draft("base/a1")).status_code == 200
            path.store.down = True
            await anyio.sleep(2.0)
            context.response = await path.draft("base/a2")

    anyio.run(story)


@then("it is answered whole")
def answered_whole(context):
    assert is_whole(context.response), context.response


@then("it is refused, with when to come back")
def refused_with_time(context):
    assert context.response.status_code == 503, context.response
    assert float(context.response.headers["Retry-After"]) > 0


@then("no lease was lost")
def no_lease_lost(context):
    async def story():
        async with whole_path(context.daemons) as path:
            await anyio.sleep(2.5)
            context.kinds = [line["message_type"] for line in path.lines()]

    anyio.run(story)
    assert "lease.lost" not in context.kinds, context.kinds
    assert "lease.record_missing" not in context.kinds, context.kinds


RAW = {
    "two framings": b"POST /look/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": b"POST /look/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "a body of 2000 bytes": b"POST /look/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Content-Length: 2000\r\n\r\n" + b"x" * 2000,
    "no request at all": b"\x16\x03\x01 hello\r\n\r\n",
    "half a head": b"GET /look/1 HTTP/1.1\r\nHost: sh",
    "an unreadable header": b"GET /look/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Deadline-Ms: soon\r\n\r\n",
    "a deadline of nan ms": b"GET /look/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Deadline-Ms: nan\r\n\r\n",
    "a deadline of 0 ms": b"GET /look/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Deadline-Ms: 0\r\n\r\n",
}


@when("a caller sends {what}")
@played
async def sends_raw(context, path, what):
    async with await anyio.connect_tcp("127.0.0.1", path.ports[0][0]) as stream:
        await stream.send(RAW[what])
        context.got = b""
        with anyio.move_on_after(3):
            context.got = await stream.receive()


@then("it is answered {status:d} and no endpoint got it")
def answered_raw(context, status):
    assert context.got.startswith(f"HTTP/1.1 {status}".encode()), context.got
    assert not any(desk.requests for desk in context.path.desks)


EARLY = (
    b"HTTP/1.1 503 Full\r\nRequest-Id: %b\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)


class EarlyServer:
    """Answers after the head, then closes or reads the rest on."""

    def __init__(self, closes):
        self._closes = closes

    async def serve(self, stream):
        async with stream:
            got = b""
            while True:
                head, _, got = (got or await stream.receive()).partition(b"\r\n\r\n")
                name = re.search(rb"Request-Id: ([^\r]*)", head)[1]
                await stream.send(EARLY % name)
                if self._closes:
                    await anyio.sleep(0.05)
                    return
                while len(got) < LONG_BODY_BYTES:
                    got += await stream.receive()
                got = got[LONG_BODY_BYTES:]


LONG_BODY_BYTES = 8 << 20


@when("an endpoint answers 503 before a body of 8 MB is read, and {ends}")
def early_answer(context, ends):
    server = EarlyServer(closes=ends == "closes")
    length = (b"Content-Length", b"%d" % LONG_BODY_BYTES)

    async def story():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        pool = ConnectionPool()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)
            for name in ("first",) if server._closes else ("first", "second"):
                identity = RequestIdentity(
                    name, lambda headers: get_header(headers, b"request-id")
                )
                headers = [(b"Host", b"h"), length, (b"Request-Id", name.encode())]
                head = RequestHead(b"POST", b"/order/1", headers)
                async with pool.connection(
                    Destination(f"127.0.0.1:{port}"), name
                ) as connection:
                    context.early_head = await connection.exchange(
                        head, b"x" * LONG_BODY_BYTES, identity
                    )
                    async for _ in connection.read_body():
                        pass
            context.reused = pool.reused
            await pool.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(story)


@then("the answer is read")
def early_is_read(context):
    assert context.early_head.status == 503, context.early_head


@then("the connection is not kept")
def early_not_kept(context):
    assert context.reused == 0, context.reused


@then("the connection is kept")
def early_kept(context):
    assert context.reused == 1, context.reused


@when("a caller leaves in the middle of a stream")
@played
async def leaves(context, path):
    for engine in path.engines:
        engine.pause_s = 0.2
    async with await anyio.connect_tcp("127.0.0.1", path.ports[0][0]) as stream:
        await stream.send(
            b"POST /draft/1 HTTP/1.1\r\nHost: shop.example\r\nModel: base\r\n"
            b"Request-Id: i1\r\nContent-Length: 0\r\n\r\n"
        )
        while b"id: 2" not in await stream.receive():
            pass
    await anyio.sleep(0.5)
    ended = [line for line in path.lines() if line["message_type"] == "request.ended"]
    context.outcomes = [line["outcome"] for line in ended]
    attempts = [
        line for line in path.lines() if line["message_type"] == "attempt.ended"
    ]
    context.attempts = [line["outcome"] for line in attempts]


@then("the engine's connection is closed soon after")
def closed_soon(context):
    assert context.outcomes == ["caller_left"], context.outcomes


@then("the engine is not taken for one that fails")
def not_failing(context):
    assert context.attempts == ["abandoned"], context.attempts


def refused_calls(path):
    refused = [line for line in path.lines() if line["message_type"] == REFUSED]
    return [(line["request"], line["reason"]) for line in refused]


@given("the whole path without a configuration")
def without_configuration(context):
    async def story():
        async with whole_path(0) as path:
            path.store.remove("op/config")
            path.start_daemon("host-0")
            await anyio.sleep(0.5)
            async with httpx.AsyncClient() as client:
                url = f"http://127.0.0.1:{path.ports[0][1]}/v1/ready"
                context.ready = await client.get(url)
            named = {"Request-Id": "early-1"}
            context.response = await path.call("GET", "/look/1", headers=named)
            await path.until(lambda: refused_calls(path), "the refusal is logged")
            context.refused = refused_calls(path)

    anyio.run(story)


@then("the daemon is not ready")
def not_ready(context):
    assert context.ready.status_code == 503, context.ready


@then("a call is answered with 503 and when to come back")
def come_back(context):
    assert context.response.status_code == 503, context.response
    assert float(context.response.headers["Retry-After"]) > 0


@then("the log tells that call's id and why")
def refused_id(context):
    assert context.refused == [("early-1", "no_configuration")], context.refused


FAULTS = {
    "a missing key": ("address = 127.0.0.1:1\n", ""),
    "an unknown key": ("[host]\n", "[host]\ncolour = red\n"),
    "an unknown section": ("[host]\n", "[colours]\nred = 1\n\n[host]\n"),
    "a bad address": ("ready = 127.0.0.1", "ready = nowhere"),
}


@when("the settings have {fault}")
def settings_fault(context, fault):
    from whole_path import TEMPLATE, fill

    ports = [free_port() for _ in range(3)]
    text = fill(TEMPLATE.read_text(), settings_fields("h", "127.0.0.1:1", ports))
    changed = text.replace(*FAULTS[fault])
    assert changed != text
    try:
        read_serving_settings("settings.ini", changed)
    except CheckError as error:
        context.message = str(error)


@when("the template is filled with {limits}")
def template_filled(context, limits):
    from whole_path import TEMPLATE, fill

    fields = settings_fields("h", "127.0.0.1:1", [free_port() for _ in range(3)])
    del fields["limits"]
    if limits != "no limits":
        fields["limits"] = json.loads(limits)
    text = fill(TEMPLATE.read_text(), fields)
    context.host = read_serving_settings("settings.ini", text).values["host"]


@then("the settings allow {memory:d} MB and {descriptors:d} descriptors")
def settings_allow(context, memory, descriptors):
    found = context.host["memory_mb"], context.host["descriptors"]
    assert found == (memory, descriptors), found


@then('the check names "{place}"')
def check_names(context, place):
    assert place in context.message, context.message


@when("the soak plays seed {seed:d} for {seconds:d} s")
def soak(context, seed, seconds):
    play_soak(context, seed, seconds, releases=False)


@when("the soak plays seed {seed:d} with releases for {seconds:d} s")
def soak_of_releases(context, seed, seconds):
    play_soak(context, seed, seconds, releases=True)


def play_soak(context, seed, seconds, releases):
    named = {
        "SOAK_SEEDS": str(seed),
        "SOAK_S": str(seconds),
        "SOAK_RELEASES": str(int(releases)),
    }
    context.found = subprocess.run(
        [sys.executable, str(ROOT / "bench/soak_serving.py")],
        env={**os.environ, **named},
        capture_output=True,
        text=True,
        timeout=120,
    )


@then("it finds no broken promise")
def no_broken_promise(context):
    found = context.found
    assert found.returncode == 0, found.stdout + found.stderr
    assert "1 passed, 0 failed" in found.stdout, found.stdout


@when('a draft for "{model}" was answered, and all engines start again, {told}')
@played
async def engines_start_again(context, path, model, told):
    first = await path.draft(model)
    assert first.status_code == 200, first
    for engine in path.engines:
        engine.start_again()
        if "entries" in told:
            path.store.put(f"servers/{engine.name}", engine.entry())
    context.response = None
    with anyio.move_on_after(6):
        while context.response is None or context.response.status_code != 200:
            context.response = await path.draft(model)


@then("a draft for it is soon answered, and its load was ordered anew")
def answered_anew(context):
    assert context.response.status_code == 200, context.response
    orders = [order for engine in context.path.engines for order in engine.orders]
    loads = [order for order in orders if order["operation"] == "load"]
    assert [order["expected"] for order in loads] == [0], orders


FOREIGN = {
    "servers/forged-1": b"no entry",
    "servers/forged-2": b'{"service": "desk", "address": "127.0.0.1:1"}',
    "servers/forged-3": b'{"service": 5, "state": "ready", "zone": []}',
    "op/version/base.a1": b"\xff",
    "knapweedbridge/daemons/forged": b"\x93\xa1a\x05\x05",
    "knapweedbridge/owners/engine-1x": b"[]",
    "another/program": b"its own",
}


@when("other programs write among the entries")
@played
async def others_write(context, path):
    forged = path.desks[0].entry(state="resting", address="127.0.0.1:1")
    path.store.put("servers/forged-4", forged)
    for key, value in FOREIGN.items():
        path.store.put(key, value)
    last = {"service": "desk", "address": path.desks[0].address, "zone": "hall-a"}
    path.store.put("servers/forged-5", last)
    found = "store.unreadable"
    await path.until(
        lambda: sum(each["message_type"] == found for each in path.lines()) >= 6,
        "the entries are seen",
    )
    context.responses = [await path.call("GET", f"/look/{n}") for n in range(10)]


@then("10 calls are answered by the desks")
def answered_by_desks(context):
    assert [each.status_code for each in context.responses] == [200] * 10
    assert sum(len(desk.requests) for desk in context.path.desks) == 10
