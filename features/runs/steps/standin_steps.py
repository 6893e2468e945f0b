import base64
import time

import anyio
import httpx
from behave import given, then, when

from knapweedbridge_standins import (
    EngineStandIn,
    HostListStandIn,
    KeyValueStandIn,
    WeightStoreStandIn,
    answer,
)
from knapweedbridge_standins.engine_slots import Slots
from knapweedbridge_standins.prefix_cache import PrefixCache


def call(app, method, path, headers=None, **body):
    async def send():
        transport = httpx.ASGITransport(app=app)
        async with httpx.AsyncClient(transport=transport, base_url="http://x") as c:
            return await c.request(method, path, json=body, headers=headers)

    return anyio.run(send)


def send(context, path, headers=None, **body):
    context.answer = call(context.app, "POST", path, headers, **body)
    return context.answer


@given('an engine stand-in that holds "{model}"')
def engine(context, model):
    context.engine = EngineStandIn()
    context.engine.held.loaded.add(model)
    context.app = context.engine.app()


@given("the engine {checks} fencing numbers")
def fencing(context, checks):
    context.engine.held.checks_fencing = checks == "checks"


@given("the engine fault {name} is on")
def engine_fault(context, name):
    call(context.app, "POST", "/faults", **{name: True})


@when('attempt "{attempt}" of {tokens:d} tokens on "{model}" has made {made:d} tokens')
def attempt_runs(context, attempt, tokens, model, made):
    context.tokens = answer(model, "hello", tokens)
    body = {"model": model, "prompt": "hello", "max_tokens": tokens, "stream": True}

    async def run():
        transport = httpx.ASGITransport(app=context.app)
        client = httpx.AsyncClient(transport=transport, base_url="http://x")
        headers = {"x-attempt-id": attempt}
        async with client, anyio.create_task_group() as tasks:

            async def ask():
                await client.post("/v1/completions", json=body, headers=headers)

            tasks.start_soon(ask)
            await anyio.wait_all_tasks_blocked()
            for _ in range(made):
                context.engine.step()
                await anyio.wait_all_tasks_blocked()
            context.readers = [held.readers for held in context.engine.work.running]
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when('attempt "{attempt}" on "{model}" is sent')
def attempt_sent(context, attempt, model):
    headers = {"x-attempt-id": attempt}
    send(context, "/v1/completions", headers, model=model, prompt="hello")


@when('attempt "{attempt}" is cancelled')
def cancelled(context, attempt):
    assert send(context, "/v1/cancel", attempt_id=attempt).json()["cancelled"]


@when('"{model}" is evicted under number {number:d}')
def evicted(context, model, number):
    for sequence in context.engine.work.running:
        sequence.readers = 1
    headers = {"x-fencing-number": str(number)}
    send(context, "/v1/unload_lora_adapter", headers, lora_name=model)


@when('"{model}" is loaded under number {number:d}')
def loaded(context, model, number):
    headers = {"x-fencing-number": str(number)}
    send(
        context, "/v1/load_lora_adapter", headers, lora_name=model, lora_path="weights"
    )


@then(
    'the stream of "{attempt}" from offset {offset:d} holds the last {count:d} tokens'
)
def resumed(context, attempt, offset, count):
    found = call(context.app, "GET", f"/v1/streams/{attempt}?offset={offset}").text
    assert found.count("data: {") == count and found.endswith("[DONE]\n\n"), found
    assert all(token.strip() in found for token in context.tokens[-count:]), found


@then("the engine runs nothing")
def runs_nothing(context):
    assert not context.engine.work.running


@then("the report counts {count:d} eviction while running")
def counts_evictions(context, count):
    report = call(context.app, "GET", "/report").json()
    assert report["evicted_while_running"] == count, report


@then("the report counts {count:d} order of an old number")
def counts_old(context, count):
    report = call(context.app, "GET", "/report").json()
    assert report["orders"]["old_numbers"] == count, report


@then("the last {what} got status {status:d}")
def got_status(context, what, status):
    assert context.answer.status_code == status, context.answer.text


@then("nothing was run")
def nothing_run(context):
    assert call(context.app, "GET", "/runs").json() == {}


@when("a prompt of {chars:d} characters is stored")
def prompt_stored(context, chars):
    context.cache = PrefixCache(blocks=40)
    context.prompt = "a" * chars
    context.cache.store("refill@1", context.prompt, 1.0)


@then("{few:d} of its blocks are missing, and {many:d} of another")
def blocks_missing(context, few, many):
    assert context.cache.missing("refill@1", context.prompt) == few
    assert context.cache.missing("refill@1", "b" * 640) == many
    context.cache.store("refill@1", "b" * 640, 2.0)
    assert context.cache.missing("refill@1", context.prompt) == many


@given("an engine stand-in with a weight store whose next load fails partway")
def failing_store(context):
    store = WeightStoreStandIn(load_s=0.0)
    store.faults.fail_next = 1
    app = store.app()

    class NearSlots(Slots):
        async def _fetch(self, weights):
            transport = httpx.ASGITransport(app=app)
            async with httpx.AsyncClient(transport=transport, base_url="http://x") as c:
                return self.is_whole(await c.get(f"/weights/{weights}"))

    context.engine = EngineStandIn()
    context.engine.held = NearSlots()
    context.app = context.engine.app()


@given("a key-value stand-in")
def key_value(context):
    context.key_value = KeyValueStandIn()
    context.app = context.key_value.app()


def put(context, key, value=b"v", lease="0"):
    encoded = base64.b64encode(value).decode()
    name = base64.b64encode(key.encode()).decode()
    operation = {"request_put": {"key": name, "value": encoded, "lease": lease}}
    return send(context, "/v3/kv/txn", compare=[], success=[operation])


@when('the fault "{name}" is set to {value:d}')
def fault(context, name, value):
    assert call(context.app, "POST", "/faults", **{name: value}).status_code == 200


@when('the fault "{name}" is set to {value:d} and "{key}" is written')
def fault_then_write(context, name, value, key):
    fault(context, name, value)
    put(context, key)


@when('"{key}" is written')
def written(context, key):
    put(context, key)


@when("a value of {size:d} bytes is written")
def large(context, size):
    put(context, "a", b"x" * size)


@when("{count:d} writes come at once")
def many(context, count):
    limit = context.key_value._limits["write"]
    now_s = time.monotonic() + 60
    while limit.take(now_s):
        count -= 1
    assert count == 1, "the limit is not that of the platform"
    put(context, "a")


@when("a key is written under no such lease")
def no_lease(context):
    put(context, "a", lease="99")


@when("the contents are {done}")
def contents(context, done):
    call(context.app, "POST", {"saved": "/save", "restored": "/restore"}[done])


@then('"{key}" is held at revision {revision:d}')
def held(context, key, revision):
    found = context.key_value.values[key.encode()]
    assert found.revision == revision, found


@when("{count:d} changes are made")
def changes(context, count):
    kept = context.key_value.contents
    for _ in range(count):
        kept.revision += 1
        kept.put(b"a", "", "0")


@then("the history holds {count:d} changes and says what is compacted")
def bounded(context, count):
    kept = context.key_value.contents
    assert len(kept.history) == count
    assert kept.compacted() == kept.revision - count + 1
    assert len(kept.changes(kept.revision - 3, b"a", b"b")) == 3


@given("a host list with a lag of {lag_s:d} seconds")
def host_list(context, lag_s):
    context.hosts = HostListStandIn(lag_s)
    context.app = context.hosts.app()


@when('"{name}" is put on the list')
def put_host(context, name):
    send(context, "/hosts", name=name)


@then("the list is empty")
def list_empty(context):
    assert call(context.app, "GET", "/hosts").json() == []


@then('after the lag the list holds "{name}"')
def list_holds(context, name):
    due_s, line = context.hosts._changes.popleft()
    assert due_s > time.monotonic() + 900
    context.hosts._changes.append((time.monotonic(), line))
    assert call(context.app, "GET", "/hosts").json() == [{"name": name}]
