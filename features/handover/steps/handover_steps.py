import itertools
from dataclasses import dataclass

import anyio
import httpx
import path_steps  # noqa: F401
from behave import then, when
from stories import played

BEFORE_S = 3.0
ONE_HOST_S = 4.0
CONTACT_S = 1.0
PAUSE_S = 0.06
MORE_OFTEN = 3
KINDS = ("look", "draft", "order", "note", "look", "draft")


@dataclass
class First:
    """The first attempt of a request: when, and whether it was served."""

    at_s: float
    status: int = 0

    @property
    def is_read(self):
        """Whether a host has read it."""
        return self.status != 0


async def ask(path, number, host, kept):
    first = First(anyio.current_time())
    kept.append(first)
    kind = KINDS[number % len(KINDS)]
    model = f"base/a{number % 3 + 1}"
    headers = {"Deadline-Ms": "1500"}
    if kind in ("draft", "note"):
        headers |= {"Model": model, "Token-Counts": "100,30"}
    method = "GET" if kind == "look" else "POST"
    caller = f"127.0.0.{number % 40 + 10}"
    try:
        answer = await path.call(
            method, f"/{kind}/{number}", host, headers, caller, content=b""
        )
    except httpx.ConnectError:
        return
    except httpx.HTTPError:
        first.status = -1
        return
    first.status = answer.status_code


async def come(path, tasks, numbers, host_of, seconds, pause_s, kept):
    until_s = anyio.current_time() + seconds
    while anyio.current_time() < until_s:
        number = next(numbers)
        tasks.start_soon(ask, path, number, host_of(number), kept)
        await anyio.sleep(pause_s)


@when(
    "callers open new connections to all hosts for 3 s, then three times as often to "
    "one for 4 s, {how}"
)
@played()
async def most_to_one(context, path, how):
    numbers, hosts = itertools.count(), context.daemons
    context.before, context.after = [], []
    async with anyio.create_task_group() as tasks:
        await come(path, tasks, numbers, lambda n: n % hosts, 1.0, PAUSE_S, [])
        await come(
            path, tasks, numbers, lambda n: n % hosts, BEFORE_S, PAUSE_S, context.before
        )
        context.since_s = anyio.current_time()
        often_s = PAUSE_S / MORE_OFTEN
        halves = [0, 0] if how == "and go on so" else [0, 1]
        for host in halves:
            if host:
                await path.kill_daemon("host-0")
            await come(
                path,
                tasks,
                numbers,
                lambda n, h=host: h,
                ONE_HOST_S / 2,
                often_s,
                context.after,
            )


def share(firsts):
    read = [each for each in firsts if each.is_read]
    return sum(each.status == 200 for each in read) / len(read)


@then(
    "from 1 s on at least three quarters as many are served at the first attempt as "
    "before"
)
def served_as_before(context):
    later = [each for each in context.after if each.at_s > context.since_s + CONTACT_S]
    before, after = share(context.before), share(later)
    print(f"{before:.2f} of {len(context.before)} before, {after:.2f} of {len(later)}")
    assert before > 0.5, before
    assert after >= 0.75 * before, (before, after)
