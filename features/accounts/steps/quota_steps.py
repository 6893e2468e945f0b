import random
import time

import anyio
from account_steps import account, call, put_accounts
from behave import then, when
from stories import played

CALL_TOKENS = 200


def limited(name, tokens_per_s):
    quota = {"unit": "tokens", "rate_per_s": tokens_per_s, "burst": tokens_per_s}
    return account(name, f"k-{name}", plain_tokens=CALL_TOKENS, **quota)


async def send_for(path, name, tokens_per_s, seconds, answers, daemons, seed=1):
    rng = random.Random(seed)
    until_s = time.monotonic() + seconds
    async with anyio.create_task_group() as tasks:
        while time.monotonic() < until_s:
            daemon = rng.randrange(daemons)
            tasks.start_soon(send_one, path, name, answers, daemon)
            await anyio.sleep(CALL_TOKENS / tokens_per_s)


async def send_one(path, name, answers, daemon):
    answers.append(await call(path, "/look/1", [f"Bearer k-{name}"], daemon=daemon))


def statuses(answers):
    return [answer.status_code for answer in answers]


@when(
    '"{a}" with {rate:d} tokens a second asks {asked:d} for {seconds:d} s, '
    'and "{b}" a call at times'
)
@played(lease_ms=3000)
async def asks_too_much(context, path, a, rate, asked, seconds, b):
    await put_accounts(path, [limited(a, rate), limited(b, rate)], 2)
    context.answers = {a: [], b: []}
    async with anyio.create_task_group() as tasks:
        for name, tokens_per_s in ((a, asked), (b, rate / 2)):
            found = context.answers[name]
            tasks.start_soon(send_for, path, name, tokens_per_s, seconds, found, 3)


@then('"{name}" got {low:d} to {high:d} tokens run, and 429 with a Retry-After')
def got_between(context, name, low, high):
    answers = context.answers[name]
    run = CALL_TOKENS * statuses(answers).count(200)
    assert low <= run <= high, run
    assert set(statuses(answers)) == {200, 429}, set(statuses(answers))
    refused = [answer for answer in answers if answer.status_code == 429]
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)


@then('"{name}" was never refused')
def never_refused(context, name):
    assert set(statuses(context.answers[name])) == {200}, context.answers[name]


@when('"{name}" with {rate:d} tokens a second asks {asked:d} for {seconds:d} s')
@played(lease_ms=3000)
async def asks_within(context, path, name, rate, asked, seconds):
    await put_accounts(path, [limited(name, rate)], 2)
    context.answers = []
    await send_for(path, name, asked, seconds, context.answers, 3)


@then("no call was refused")
def none_refused(context):
    assert set(statuses(context.answers)) == {200}, statuses(context.answers)


@when(
    '{lost:d} calls of "{name}" with {rate:d} tokens a second find no endpoint, '
    "and then {found:d} find one"
)
@played(lease_ms=3000)
async def find_none(context, path, lost, name, rate, found):
    await put_accounts(path, [limited(name, rate)], 2)
    for desk in path.desks:
        path.store.remove(f"servers/{desk.name}")
    await anyio.sleep(2.5)
    refused = []
    for _ in range(lost):
        await send_one(path, name, refused, 0)
    assert set(statuses(refused)) == {503}, statuses(refused)
    for desk in path.desks:
        path.store.put(f"servers/{desk.name}", desk.entry())
    await anyio.sleep(1.0)
    context.answers = []
    for _ in range(found):
        await send_one(path, name, context.answers, 0)


@then("those {count:d} are answered")
def are_answered(context, count):
    assert statuses(context.answers) == [200] * count, statuses(context.answers)
