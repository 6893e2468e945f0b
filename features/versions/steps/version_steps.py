import anyio
from behave import given, then, when
from pressure_calls import draft_until_taken
from stories import played
from whole_path import configuration

BOUND_S = 5.0
MODEL, ADAPTER = "base/a1", "a1"
CALL_EVERY_S = 0.02


async def load_first(path):
    """Have one engine hold the adapter, and prefer it to the other by its place."""
    await draft_until_taken(path, MODEL, 0)
    (holder,) = (each for each in path.engines if each.begun)
    (other,) = (each for each in path.engines if each is not holder)
    other.zone = "hall-b"
    for engine in path.engines:
        path.store.put(f"servers/{engine.name}", engine.entry())
    return holder, other


async def allow_long(path):
    """Have a configuration in force in which no route ends a call that waits."""
    patient = configuration(version=2)
    for each in patient["routes"]:
        each["timeout_ms"] = 20_000
    path.store.put("op/config", patient)
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
async def two_named(context, path, after):
    await load_first(path)
    second_s = path.name_version(ADAPTER, 2)
    await call_until(path, second_s + 1)
    await anyio.sleep(second_s + after - anyio.current_time())
    third_s = path.name_version(ADAPTER, 3)
    await call_until(path, third_s + 1)
    context.named_s = {2: second_s, 3: third_s}
    context.engines = path.engines


@when(
    'a call on "{route}" is sent {after:g} s after version 2 was named, and waits '
    "{queue:g} s there"
)
@played()
async def sent_after(context, path, route, after, queue):
    holder, _ = await load_first(path)
    holder.queue_s = queue
    await allow_long(path)

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
async def starts_after(context, path, after, until):
    await load_first(path)
    named_s = path.name_version(ADAPTER, 2)
    await anyio.sleep(after)
    path.start_daemon("host-1")
    await path.until_ready(1)
    await anyio.sleep(max(0.0, named_s + BOUND_S + 0.1 - anyio.current_time()))
    await call_until(path, named_s + until, 1)
    context.named_s = {2: named_s}
    context.engines = path.engines


@given("the whole path, on a platform that allows older versions for {bound:d} ms")
def platform_allows(context, bound):
    context.daemons, context.bounds = 1, {"version_ms": bound}


@when("a call comes {after:g} s after version 2 of an adapter was named")
@played()
async def comes_after(context, path, after):
    holder, _ = await load_first(path)
    path.name_version(ADAPTER, 2)
    await anyio.sleep(after)
    await draft_until_taken(path, MODEL, 0)
    begun = sorted(each for engine in path.engines for each in engine.begun)
    context.version = begun[-1][2]


@then("it begins on version {version:d}")
def begins_on(context, version):
    assert context.version == version, context.version


@then(
    "no call begins on an older version later than {bound:g} s after its successor "
    "was named"
)
def begin_in_time(context, bound):
    begun = [each for engine in context.engines for each in engine.begun]
    assert begun, "no call began"
    late = []
    for at_s, _, version in begun:
        newer = [s for named, s in context.named_s.items() if named > version]
        if newer and at_s > min(newer) + bound:
            late.append((version, round(at_s - min(newer), 2)))
    assert not late, f"version and seconds after its successor: {late}"


@then("the caller gets status {status:d}")
def caller_gets(context, status):
    assert context.answer.status_code == status, context.answer
