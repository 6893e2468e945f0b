from types import SimpleNamespace

import anyio
from behave import given, then, when

from knapweedbridge_core.serving import BodyIntake, MemoryBudget
from knapweedbridge_core.serving.body_intake import COPIES
from knapweedbridge_daemon.serving.gathering import gather_response
from knapweedbridge_daemon.serving.http_client import ConnectionBrokenError
from knapweedbridge_standins.virtual_loop import run_virtually

KB = 1000
PART = bytes(50 * KB)
INTERVAL_S = 0.001
SOUND_KB = 100


@given("a budget of {budget:d} kB for responses that are gathered")
def budget_for_responses(context, budget):
    context.limit_bytes = budget * KB
    context.intake = BodyIntake(MemoryBudget(context.limit_bytes))
    context.held = SimpleNamespace(bytes=0, most=0)
    context.senders = []
    context.whole = 0


async def gather(context, endpoint, size_bytes):
    """Gather one response; return its length, or how it ended."""
    held, received = context.held, 0

    async def parts():
        nonlocal received
        while received < size_bytes:
            await anyio.sleep(INTERVAL_S)
            yield PART
            # The part before is kept once the next one is asked for.
            received += len(PART)
            held.bytes += len(PART)

    try:
        found = len(await gather_response(context.intake, endpoint, parts()))
        context.whole += endpoint != "sound"
        return found
    except ConnectionBrokenError as error:
        return f"broken: {error}"
    finally:
        held.bytes -= received


async def sample(context):
    """Record the most that is held, between the steps of the senders."""
    await anyio.sleep(INTERVAL_S / 2)
    while True:
        context.held.most = max(context.held.most, context.held.bytes)
        await anyio.sleep(INTERVAL_S)


@when("{faulty:d} endpoints each send {count:d} responses of {size:d} kB at once")
def faulty_endpoints(context, faulty, count, size):
    context.senders = [
        (f"faulty-{n}", size * KB) for n in range(faulty) for _ in range(count)
    ]


@when("a sound endpoint sends {sound:d} of 100 kB")
def sound_endpoint(context, sound):
    context.sound = []

    async def send_sound():
        for _ in range(sound):
            await anyio.sleep(0.01)
            found = await gather(context, "sound", SOUND_KB * KB)
            context.sound.append(found)

    async def story():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sample, context)
            async with anyio.create_task_group() as senders:
                for endpoint, size_bytes in context.senders:
                    senders.start_soon(gather, context, endpoint, size_bytes)
                await send_sound()
            tasks.cancel_scope.cancel()

    run_virtually(story())


@when("one endpoint sends a response of {size:d} kB")
def one_response(context, size):
    async def story():
        context.outcome = await gather(context, "one", size * KB)
        context.size_bytes = size * KB

    run_virtually(story())


@then("never more than the budget is held")
def within_budget(context):
    most_bytes = COPIES * context.held.most
    assert most_bytes <= context.limit_bytes, most_bytes


@then("{count:d} of the sound ones are gathered whole")
def sound_gathered(context, count):
    assert context.sound.count(SOUND_KB * KB) == count, context.sound


@then("the response is {outcome}")
def response_is(context, outcome):
    if outcome == "gathered":
        assert context.outcome == context.size_bytes, context.outcome
    else:
        assert outcome in str(context.outcome), context.outcome


@then("{least:d} of the {count:d} or more are gathered whole")
def long_gathered(context, least, count):
    assert len(context.senders) == count
    assert context.whole >= least, context.whole
