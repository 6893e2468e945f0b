"""A quota's coordinator that the store turns away while its successor takes over."""

import asyncio
import os
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from machines import BOUNDS, Machine, Record, run_case  # noqa: E402
from plain_servers import PlainServer, send_request  # noqa: E402
from store import Store  # noqa: E402

HOST = "counter.example"
SERVICE = "counter-desk"
TENANT, KEY = "tenant-a", "key-of-tenant-a"
RATE_PER_S, BURST, PLAIN_TOKENS = 20_000, 20_000, 1_000
QUOTA_BOUNDS = {"quota_window_s": 8, "quota_over": 0.1, "quota_slack": 11_000}
USUAL_PER_S, HOT_X, HOT_S = 11.0, 7.5, 11.0
RESTART_AT_S, RUN_S = 6.0, 30.0
TURNED_AWAY_S = 9.0

RESTARTED, TURNED_AWAY = "edge-hall-a-1", "edge-hall-c-1"
"""The machine that keeps the tenant's quota by the hash of its name, and the next."""


@dataclass
class Sent:
    """One request: when it was sent and, if it ran, when a server began to run it."""

    machine: str
    sent_s: float
    ran_s: float | None = None


class NotingServer(PlainServer):
    """A server that notes when each request begins to run."""

    sent: dict[str, Sent]

    async def _answer(self, request, call):
        answer = await super()._answer(request, call)
        if call in self.sent and answer[0] == 200:
            self.sent[call].ran_s = self._record.now_s
        return answer


def configuration() -> dict:
    """Return the operator's configuration: one plain route, and one tenant."""
    route = {
        "name": "order-lookup",
        "host": HOST,
        "path_prefix": "/order/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 125,
        "priority": 2,
        "service": SERVICE,
        "max_attempts": 2,
    }
    tenant = {
        "name": TENANT,
        "api_keys": [KEY],
        "unit": "tokens",
        "rate_per_s": RATE_PER_S,
        "burst": BURST,
        "plain_tokens": PLAIN_TOKENS,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 440}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [tenant],
    }


async def call(machine: Machine, name: str, sent: dict[str, Sent], record: Record):
    """Send one request with the tenant's key, once."""
    sent[name] = Sent(machine.name, record.now_s)
    headers = {
        "Host": HOST,
        "Request-Id": name,
        "Deadline-Ms": 1000,
        "Authorization": f"Bearer {KEY}",
    }
    target = f"/order/{name}"
    record.note("sent", call=name, machine=machine.name, tokens=PLAIN_TOKENS)
    status, _ = await send_request(machine.frontend, target, headers, 1.5)
    record.note("answered", call=name, machine=machine.name, status=status)


async def send_all(
    machines: list[Machine],
    sent: dict[str, Sent],
    record: Record,
    luck: random.Random,
    returned: asyncio.Event,
) -> None:
    """Send the tenant's requests to the machines that are ready, as a balancer does.

    The tenant sends many times its usual for some seconds from the restart on.
    """
    ready: dict[str, bool] = {each.name: True for each in machines}

    async def check() -> None:
        while True:
            for each in machines:
                ready[each.name] = await asyncio.to_thread(each.is_ready)
            await asyncio.sleep(0.5)

    checker = asyncio.create_task(check())
    calls: set[asyncio.Task] = set()
    began_s = due_s = record.now_s
    number, hot_from_s = 0, None
    while due_s < began_s + RUN_S:
        if returned.is_set() and hot_from_s is None:
            hot_from_s = due_s
            record.note("hot tenant", x=HOT_X, for_s=HOT_S)
        is_hot = hot_from_s is not None and due_s < hot_from_s + HOT_S
        due_s += luck.expovariate(USUAL_PER_S * (HOT_X if is_hot else 1.0))
        if due_s > record.now_s:
            await asyncio.sleep(due_s - record.now_s)
        number += 1
        able = [each for each in machines if ready[each.name]] or machines
        task = asyncio.create_task(
            call(luck.choice(able), f"c{number:06d}", sent, record)
        )
        calls.add(task)
        task.add_done_callback(calls.discard)
    checker.cancel()
    if calls:
        await asyncio.wait(calls)


async def disturb(
    machines: dict[str, Machine],
    store: Store,
    record: Record,
    returned: asyncio.Event,
    is_trouble: bool,
) -> None:
    """Restart one machine; as it returns, the store turns another one away."""
    await asyncio.sleep(RESTART_AT_S)
    machine = machines[RESTARTED]
    record.note("SIGTERM", machine=machine.name)
    machine.signal(signal.SIGTERM)
    await machine.wait_end()
    record.note("started again", machine=machine.name)
    machine.start()
    returned.set()
    if not is_trouble:
        return
    store.busy.add(TURNED_AWAY)
    record.note("the store turns away", machine=TURNED_AWAY)
    await asyncio.sleep(TURNED_AWAY_S)
    store.busy.clear()
    record.note("the store serves all", machine=TURNED_AWAY)


async def main() -> int:
    """Run the case; return its exit status."""
    record = Record(HERE / "record.txt")
    luck = random.Random()
    net = f"127.{luck.randrange(50, 200)}.{luck.randrange(1, 250)}"
    store = Store()
    await store.start(f"{net}.200")
    store.put("op/config", configuration())
    sent: dict[str, Sent] = {}
    for n, zone in enumerate(("hall-a", "hall-b", "hall-c")):
        server = NotingServer(
            f"i-{n}", SERVICE, zone, store, record, luck, queue=24, work_s=0.0225
        )
        server.sent = sent
        await server.start(f"{net}.{100 + n}")
    machines = {}
    for n, zone in enumerate(("hall-a", "hall-b", "hall-c")):
        name = f"edge-{zone}-1"
        address = await store.address_for(name)
        bounds = {**BOUNDS, **QUOTA_BOUNDS}
        machines[name] = Machine(name, zone, f"{net}.{n + 1}", address, bounds)
    try:
        for machine in machines.values():
            machine.start()
        if not all([await each.wait_ready() for each in machines.values()]):
            return 2
        await asyncio.sleep(3.0)
        is_trouble = os.environ.get("TROUBLE", "1") != "0"
        returned = asyncio.Event()
        disturbing = asyncio.create_task(
            disturb(machines, store, record, returned, is_trouble)
        )
        await send_all(list(machines.values()), sent, record, luck, returned)
        disturbing.cancel()
    finally:
        for machine in machines.values():
            machine.end()
    return judge(sent, record)


def judge(sent: dict[str, Sent], record: Record) -> int:
    """Find the window in which most tokens were both sent and begun."""
    window_s = QUOTA_BOUNDS["quota_window_s"]
    allowed = (RATE_PER_S * window_s + BURST) * (1 + QUOTA_BOUNDS["quota_over"])
    allowed += QUOTA_BOUNDS["quota_slack"]
    ran = sorted(
        (each for each in sent.values() if each.ran_s is not None),
        key=lambda each: each.sent_s,
    )
    most, at_s = 0, 0.0
    for first in ran:
        ends_s = first.sent_s + window_s
        inside = [
            each
            for each in ran
            if first.sent_s <= each.sent_s and (each.ran_s or 0.0) < ends_s
        ]
        if len(inside) * PLAIN_TOKENS > most:
            most, at_s = len(inside) * PLAIN_TOKENS, first.sent_s
    by_machine: dict[str, int] = {}
    for each in ran:
        if at_s <= each.sent_s < at_s + window_s:
            by_machine[each.machine] = by_machine.get(each.machine, 0) + PLAIN_TOKENS
    record.note(
        "verdict",
        requests=len(sent),
        ran=len(ran),
        most_tokens=most,
        allowed_tokens=allowed,
        window_from_s=at_s,
        by_machine=by_machine,
    )
    print(f"QUOTA: {most} tokens in {window_s} s, allowed {allowed:.0f}")
    return 1 if most > allowed else 0


if __name__ == "__main__":
    run_case(main)
