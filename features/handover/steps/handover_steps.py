import itertools
from dataclasses import dataclass

import anyio
import httpx
import path_steps  # noqa: F401
from behave import then, when
from stories import played

BALANCED_S = 3.0
ONE_HOST_S = 4.0
SETTLE_S = 1.0
INTERVAL_S = 0.06
RATE_FACTOR = 3
KINDS = ("look", "draft", "order", "note", "look", "draft")


@dataclass
class FirstAttempt:
    """First attempt of a request: its time, and its status (0: not connected)."""

    at_s: float
    status: int = 0

    @property
    def is_read(self):
        """Whether a host has read the request."""
        return self.status != 0


async def send_request(path, number, host, attempts):
    attempt = FirstAttempt(anyio.current_time())
    attempts.append(attempt)
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
        attempt.status = -1
        return
    attempt.status = answer.status_code


async def open_connections(
    path, tasks, numbers, host_of, seconds, interval_s, attempts
):
    until_s = anyio.current_time() + seconds
    while anyio.current_time() < until_s:
        number = next(numbers)
        tasks.start_soon(send_request, path, number, host_of(number), attempts)
        await anyio.sleep(interval_s)


@when(
    "callers open new connections to all hosts for 3 s, then at three times the rate "
    "to one for 4 s, {how}"
)
@played()
async def connect_mostly_to_one(context, path, how):
    numbers, hosts = itertools.count(), context.daemons
    context.before, context.after = [], []
    async with anyio.create_task_group() as tasks:
        await open_connections(
            path, tasks, numbers, lambda n: n % hosts, 1.0, INTERVAL_S, []
        )
        await open_connections(
            path,
            tasks,
            numbers,
            lambda n: n % hosts,
            BALANCED_S,
            INTERVAL_S,
            context.before,
        )
        context.since_s = anyio.current_time()
        short_interval_s = INTERVAL_S / RATE_FACTOR
        host_of_half = [0, 0] if how == "without a change" else [0, 1]
        for host in host_of_half:
            if host:
                await path.kill_daemon("host-0")
            await open_connections(
                path,
                tasks,
                numbers,
                lambda n, h=host: h,
                ONE_HOST_S / 2,
                short_interval_s,
                context.after,
            )


def served_share(attempts):
    read = [each for each in attempts if each.is_read]
    return sum(each.status == 200 for each in read) / len(read)


@then(
    "from 1 s on the share served at the first attempt is at least three quarters of "
    "the one before"
)
def served_as_before(context):
    later = [each for each in context.after if each.at_s > context.since_s + SETTLE_S]
    before, after = served_share(context.before), served_share(later)
    print(f"{before:.2f} of {len(context.before)} before, {after:.2f} of {len(later)}")
    assert before > 0.5, before
    assert after >= 0.75 * before, (before, after)
