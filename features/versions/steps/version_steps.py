import anyio
from behave import given, then, when
from pressure_calls import retry_draft
from stories import played
from whole_path import configuration

BOUND_S = 5.0
MODEL, ADAPTER = "base/a1", "a1"
CALL_EVERY_S = 0.02


async def load_on_one(path):
    """Load the adapter on one engine, and prefer it by moving the other one away."""
    await retry_draft(path, MODEL, 0)
    (holder,) = (each for each in path.engines if each.begun)
    (other,) = (each for each in path.engines if each is not holder)
    other.zone = "hall-b"
    for engine in path.engines:
        path.store.put(f"servers/{engine.name}", engine.entry())
    return holder, other


async def set_long_timeouts(path):
    """Configure timeouts so long that no route ends a queued call."""
    config = configuration(version=2)
    for each in config["routes"]:
        each["timeout_ms"] = 20_000
    path.store.put("op/config", config)
    await anyio.sleep(0.5)


async def call_until(path, until_s, daemon=0):
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < until_s:
            tasks.start_soon(path.draft, MODEL, daemon)
            await anyio.sleep(CALL_EVERY_S)


@when(
    "version 2 of an adapter is named, and version 3 once that is in use for "
    "{after:g} s"
)
@played()
async def name_two(context, path, after):
    await load_on_one(path)
    second_s = path.name_version(ADAPTER, 2)
    await call_until(path, second_s + 1)
    await anyio.sleep(second_s + after - anyio.current_time())
    third_s = path.name_version(ADAPTER, 3)
    await call_until(path, third_s + 1)
    context.named_s = {2: second_s, 3: third_s}
    context.engines = path.engines


@when(
    'a call on "{route}" is sent {after:g} s after version 2 was named, and queued '
    "{queue:g} s"
)
@played()
async def send_call(context, path, route, after, queue):
    holder, _ = await load_on_one(path)
    holder.queue_s = queue
    await set_long_timeouts(path)

    async def call():
        model = {"model": MODEL, "path": f"/{route}/1", "Deadline-Ms": "9000"}
        context.answer = await path.draft(**model)

    async with anyio.create_task_group() as tasks:
        if after < 0:
            tasks.start_soon(call)
            await anyio.sleep(-after)
        context.named_s = {2: path.name_version(ADAPTER, 2)}
        if after >= 0:
            await anyio.sleep(after)
            await call()
    context.engines = path.engines


@when(
    "a daemon starts {after:g} s after version 2 was named, and is called until "
    "{until:g} s after it"
)
@played()
async def start_late(context, path, after, until):
    await load_on_one(path)
    named_s = path.name_version(ADAPTER, 2)
    await anyio.sleep(after)
    path.start_daemon("host-1")
    await path.until_ready(1)
    await anyio.sleep(max(0.0, named_s + BOUND_S + 0.1 - anyio.current_time()))
    await call_until(path, named_s + until, 1)
    context.named_s = {2: named_s}
    context.engines = path.engines


@given("the whole path, on a platform that allows older versions for {bound:d} ms")
def allow_older_versions(context, bound):
    context.daemons, context.bounds = 1, {"version_ms": bound}


@when("a call arrives {after:g} s after version 2 of an adapter was named")
@played()
async def call_arrives(context, path, after):
    holder, _ = await load_on_one(path)
    path.name_version(ADAPTER, 2)
    await anyio.sleep(after)
    await retry_draft(path, MODEL, 0)
    begun = sorted(each for engine in path.engines for each in engine.begun)
    context.version = begun[-1][2]


@then("it begins on version {version:d}")
def began_on(context, version):
    assert context.version == version, context.version


@then(
    "no call begins on an older version later than {bound:g} s after its successor "
    "was named"
)
def began_in_time(context, bound):
    begun = [each for engine in context.engines for each in engine.begun]
    assert begun, "no call began"
    late = []
    for at_s, _, version in begun:
        newer = [s for named, s in context.named_s.items() if named > version]
        if newer and at_s > min(newer) + bound:
            late.append((version, round(at_s - min(newer), 2)))
    assert not late, f"version and seconds after its successor: {late}"


@then("the caller gets status {status:d}")
def has_status(context, status):
    assert context.answer.status_code == status, context.answer
