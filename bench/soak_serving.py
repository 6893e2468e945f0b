"""Real daemons on the platform's wire, under faults from outside, checked meanwhile.

``SOAK_SEEDS`` (``1-3``: first and last), ``SOAK_S`` (20), ``SOAK_DAEMONS`` (3) and
``SOAK_PLANT`` (a planted fault's name; the run must then find it) come from the
environment. Ends only processes that it started.
"""

import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from math import inf
from pathlib import Path

import anyio
import httpx

HERE = Path(__file__).parent
ROOT = HERE.parent
sys.path.insert(0, str(ROOT / "features/platform"))

from soak_proxy import Proxy  # noqa: E402
from standins import Endpoint, Engine, Store, header  # noqa: E402
from whole_path import (  # noqa: E402
    TEMPLATE,
    configuration,
    fill,
    settings_fields,
)

DRAIN_S = 5.5
"""Longest time from an endpoint's word that it leaves to its last new request: 2 s,
and 3.5 s for a daemon that is paused or hears nothing of the store for so long."""

VERSION_S = 5.0
"""Longest time, without trouble, from a version's naming to the last begin on an older
one."""

CONTACT_S = 3.0
"""Time after which disturbance of a host or of the store is over for its callers."""

CLIENTS = 12
ADAPTERS = 16
NAMED_ADAPTERS = 3
SERIES_GAPS_S = (0.1, 0.8, 2.4, 5.2)
FAULT_EVERY_S = 0.5
FIRST_PORT, PORTS_A_RUN = 20_000, 40
SETTLE_S = 8.0
SOURCES = ("packages/core/src", "packages/daemon/src", "platform")
CORE = "packages/core/src/knapweedbridge_core/serving/"
DAEMON = "packages/daemon/src/knapweedbridge_daemon/serving/"

PLANTS = {
    "repeats orders": (
        CORE + "attempts.py",
        "    if not route.repeatable:\n        return False\n",
        "",
    ),
    "counts no places": (
        CORE + "engine_keeper.py",
        "if len(self.places) < self.limits.adapter_places:",
        "if True:",
    ),
    "says not run": (
        CORE + "attempts.py",
        "return bool(self.runs)",
        "return False",
    ),
    "trusts unsigned answers": (
        DAEMON + "attempting.py",
        "if not proved.genuine:",
        "if False:",
    ),
    "older versions serve on": (
        CORE + "named_versions.py",
        "return math.inf if since_s is None else since_s + bound_s",
        "return math.inf",
    ),
    "asks no other hosts": (
        DAEMON + "tunnels.py",
        "names = self.forwarders.in_order(loop_time_s())[:MOST_ASKED]",
        "names: list[str] = []",
    ),
    "never sees who leaves": (
        CORE + "endpoint.py",
        "return self.usable and not self.leaves and is_listed",
        "return self.usable and is_listed",
    ),
}
"""Faults put in on purpose: file, what stands there, and what is put in its place."""


class Watched:
    """What endpoints see, checked against the promises."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.runs: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.fences: dict[str, tuple[int, str]] = {}
        self.left_s: dict[str, float] = {}
        self.named_s: dict[str, dict[int, float]] = defaultdict(dict)
        self.calm_since_s: dict[str, float] = {}
        self.troubles: Counter[str] = Counter()
        self.taken_by: dict[str, str] = {}
        self.begun: Counter[str] = Counter()

    def broken(self, what: str) -> None:
        """Note a broken promise."""
        self.violations.append(what)

    def ran(self, endpoint: Endpoint, request) -> None:
        """Check one request that an endpoint runs."""
        call = header(request, "Request-Id") or ""
        self.runs[call] += 1
        if call.startswith("order") and self.runs[call] > 1:
            self.broken(f"{call} ran {self.runs[call]} times")
        if call in self.refused:
            self.broken(f"{call} ran after it was said not to have run")
        left_s = self.left_s.get(endpoint.name)
        if left_s is not None and anyio.current_time() - left_s > DRAIN_S:
            self.broken(f"{call} came to {endpoint.name} long after it left")

    @contextmanager
    def troubled(self, name: str) -> Iterator[None]:
        """Count a daemon, an endpoint or the store as in trouble for a while."""
        self.troubles[name] += 1
        self.calm_since_s[name] = inf
        try:
            yield
        finally:
            self.troubles[name] -= 1
            if not self.troubles[name]:
                self.calm_since_s[name] = anyio.current_time()

    def began(self, engine: Engine, request, adapter: str, version: int) -> None:
        """Check under which version of its adapter a run begins.

        The time counts in which the store, the daemon that took the call and the engine
        had no trouble.
        """
        call = header(request, "Request-Id") or ""
        parties = "store", engine.name, self.taken_by.get(call, "")
        calm_s = max(self.calm_since_s.get(name, 0.0) for name in parties)
        newer = [s for v, s in self.named_s[adapter].items() if v > version]
        self.begun["older" if newer else "newest"] += 1
        if newer and anyio.current_time() - max(min(newer), calm_s) > VERSION_S:
            late_s = anyio.current_time() - min(newer)
            self.broken(f"{call} began on {adapter}@{version} {late_s:.2f} s too old")

    def ordered(self, engine: Engine, order: dict) -> None:
        """Check one order to an engine."""
        number, holder = order["fencing_token"], order["holder"]
        last = self.fences.get(engine.name, (0, ""))
        if number < last[0] or (number == last[0] and holder != last[1]):
            self.broken(f"{engine.name}: {holder} {number} after {last}")
        self.fences[engine.name] = max(last, (number, holder))
        if engine.crashed:
            self.broken(f"{engine.name} was ordered beyond its places")


class CutHosts:
    """First tries at hosts that are cut off from all endpoints, and at the others.

    They count from 3 s after the cut, at hosts without other trouble, while the store
    has none. Callers come back elsewhere, so each call is a first try.
    """

    def __init__(self, watched: Watched) -> None:
        self.since_s: dict[str, float] = {}
        self._watched = watched
        self._served: Counter[str] = Counter()
        self._failed: Counter[str] = Counter()

    def side_of(self, name: str) -> str:
        """Return with which hosts a call at a host counts; empty: with none."""
        now_s, calm_s = anyio.current_time(), self._watched.calm_since_s
        if not self.since_s or now_s - min(self.since_s.values()) < CONTACT_S:
            return ""
        if any(now_s - calm_s.get(each, 0.0) < CONTACT_S for each in (name, "store")):
            return ""
        if name not in self.since_s:
            return "linked"
        return "cut" if now_s - self.since_s[name] >= CONTACT_S else ""

    def count(self, side: str, outcome: str) -> None:
        """Count what became of a call."""
        counted = self._served if outcome == "200" else self._failed
        counted[side] += 1

    def check(self) -> None:
        """Check that callers of cut hosts were served about as often as the others."""
        tries = {
            side: self._served[side] + self._failed[side] for side in ("cut", "linked")
        }
        if not all(tries.values()):
            return
        share = {side: self._served[side] / tries[side] for side in tries}
        most_failed = 10 + tries["cut"] / 50
        if share["cut"] < 2 / 3 * share["linked"] and self._failed["cut"] > most_failed:
            self._watched.broken(f"served at cut and linked hosts: {share} of {tries}")


def watched_by(kind, watched: Watched):
    """Return a kind of stand-in whose requests and orders are checked."""

    class Seen(kind):
        async def answer(self, request, responder, behaviour):
            count = len(self.requests)
            held = not isinstance(self, Engine) or self._holds(request)
            if held and behaviour != "shed" and count:
                watched.ran(self, request)
            await super().answer(request, responder, behaviour)

        def note_begun(self, request, adapter, version):
            watched.began(self, request, adapter, version)

        async def _order(self, request, responder):
            await super()._order(request, responder)
            watched.ordered(self, json.loads(request.body))

    return Seen


class Soak:
    """One seeded run."""

    def __init__(self, seed: int, seconds: float, daemons: int, plant: str) -> None:
        self.luck = random.Random(seed)
        self.seconds = seconds
        self.watched = Watched()
        self.store = Store()
        self.made = 0
        self.newest: dict[str, int] = {}
        self.outcomes: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.folder = Path(tempfile.mkdtemp(prefix="soak-", dir=ROOT))
        self.root = plant_fault(self.folder, plant)
        self.daemons: dict[str, subprocess.Popen] = {}
        # Ports that the kernel gives away may be another run's a moment later.
        port = FIRST_PORT + os.getpid() % 300 * PORTS_A_RUN
        self.ports = {
            f"host-{n}": list(range(port + 4 * n, port + 4 * n + 4))
            for n in range(daemons)
        }
        self.cuts = CutHosts(self.watched)
        self.store_proxies: dict[str, Proxy] = {}
        self.endpoints: dict[str, tuple[Endpoint, Proxy]] = {}
        self.until_s = 0.0

    async def run(self) -> None:
        """Play the run, and stop what it started."""
        try:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                await self._start()
                self.until_s = anyio.current_time() + self.seconds
                async with anyio.create_task_group() as busy:
                    busy.start_soon(self._disturb)
                    for client in range(CLIENTS):
                        busy.start_soon(self._call_on, client)
                await self._recover()
                tasks.cancel_scope.cancel()
        finally:
            for process in self.daemons.values():
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            shutil.rmtree(self.folder)

    async def _start(self) -> None:
        await self.tasks.start(self.store.run)
        self.store.put("op/config", configuration())
        for service in ("desk", "desk", "llm", "llm", "llm"):
            await self._add_endpoint(service)
        for name in self.ports:
            proxy = self.store_proxies[name] = Proxy(lambda: self.store.address)
            await self.tasks.start(proxy.run)
            self._start_daemon(name)
        await anyio.sleep(3.0)

    async def _add_endpoint(self, service: str) -> None:
        self.made += 1
        kind = watched_by(Engine if service == "llm" else Endpoint, self.watched)
        endpoint = kind(f"{service}-{self.made}", service)
        endpoint.newest = self.newest
        await self.tasks.start(endpoint.run)
        proxy = Proxy(lambda: endpoint.address)
        await self.tasks.start(proxy.run)
        self.endpoints[endpoint.name] = (endpoint, proxy)
        self._list(endpoint, proxy, "ready")

    def _list(self, endpoint: Endpoint, proxy: Proxy, state: str) -> None:
        entry = endpoint.entry(state=state, address=proxy.address)
        self.store.put(f"servers/{endpoint.name}", entry)

    def _start_daemon(self, name: str) -> None:
        ports = self.ports[name]
        fields = settings_fields(name, self.store_proxies[name].address, ports)
        text = fill(TEMPLATE.read_text(), fields)
        file = self.folder / f"{name}.ini"
        file.write_text(text.replace("127.0.0.1:9464", f"127.0.0.1:{ports[3]}"))
        self.daemons[name] = subprocess.Popen(
            [sys.executable, str(HERE / "soak_start.py"), str(self.root)],
            env={
                **os.environ,
                "KNAPWEEDBRIDGE_NODE_FILE": str(file),
                "SOAK_LINKS": str(self._links_file(name)),
                "SOAK_STORE": self.store_proxies[name].address,
            },
            stdout=(self.folder / f"{name}.log").open("ab"),
        )

    def _links_file(self, name: str) -> Path:
        return self.folder / f"{name}.links"

    async def _cut_links(self) -> None:
        """Cut some hosts off from all endpoints; one at least keeps its links."""
        linked = sorted(set(self.daemons) - set(self.cuts.since_s))
        most = len(linked) - 1
        how = self.luck.choice(["hang", "reset", "refuse"])
        names = self.luck.sample(linked, self.luck.randint(1, most) if most else 0)
        for name in names:
            self.cuts.since_s[name] = anyio.current_time()
            self._links_file(name).write_text(how)
        await anyio.sleep(self.luck.uniform(2, 8))
        for name in names:
            self._links_file(name).unlink()
            del self.cuts.since_s[name]

    async def _disturb(self) -> None:
        faults = [
            self._kill,
            self._stop,
            self._pause,
            self._store_link,
            self._store_down,
            self._endpoint_link,
            self._crash_endpoint,
            self._drain_endpoint,
            self._spoil,
            self._spoil,
            self._limit_endpoint,
            self._rest_endpoint,
            self._leave_in_answers,
            self._name_versions,
            self._name_versions,
            self._cut_links,
            self._cut_links,
        ]
        while anyio.current_time() < self.until_s:
            fault = self.luck.choice(faults)
            self.faults[fault.__name__.strip("_")] += 1
            self.tasks.start_soon(fault)
            await anyio.sleep(self.luck.uniform(0.1, 2 * FAULT_EVERY_S))

    async def _kill(self) -> None:
        await self._end_daemon(signal.SIGKILL)

    async def _stop(self) -> None:
        await self._end_daemon(signal.SIGTERM)

    async def _end_daemon(self, number: signal.Signals) -> None:
        name = self.luck.choice(sorted(self.daemons))
        process = self.daemons[name]
        with self.watched.troubled(name):
            await self._end_process(name, process, number)

    async def _end_process(
        self, name: str, process: subprocess.Popen, number: signal.Signals
    ) -> None:
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        with anyio.move_on_after(5):
            while process.poll() is None:
                await anyio.sleep(0.05)
        if self.daemons[name] is process:
            process.kill()
            process.wait()
            self._start_daemon(name)

    async def _name_versions(self) -> None:
        """Name versions of one busy adapter in a series, beside other series."""
        adapter = f"a{self.luck.randrange(NAMED_ADAPTERS)}"
        gap_s = self.luck.choice(SERIES_GAPS_S)
        for _ in range(self.luck.randint(1, 5)):
            version = self.newest.get(adapter, 1) + 1
            self.newest[adapter] = version
            entry = {"model": "base", "adapter": adapter, "version": version}
            self.store.put(f"op/version/base.{adapter}", entry)
            self.watched.named_s[adapter][version] = anyio.current_time()
            await anyio.sleep(gap_s * self.luck.uniform(0.7, 1.3))

    async def _pause(self) -> None:
        name = self.luck.choice(sorted(self.daemons))
        process = self.daemons[name]
        with self.watched.troubled(name):
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(self.luck.uniform(0.5, 4))
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

    async def _spoil_link(self, name: str, proxy: Proxy) -> None:
        with self.watched.troubled(name):
            await self._spoil_proxy(proxy)

    async def _spoil_proxy(self, proxy: Proxy) -> None:
        kind = self.luck.choice(["delay", "reset", "deaf", "mute", "both"])
        proxy.delay_s = 0.3 if kind == "delay" else 0.0
        proxy.deaf, proxy.mute = kind in ("deaf", "both"), kind in ("mute", "both")
        if kind == "reset":
            proxy.reset()
        await anyio.sleep(self.luck.uniform(0.5, 4))
        proxy.heal()

    async def _store_link(self) -> None:
        name = self.luck.choice(sorted(self.store_proxies))
        await self._spoil_link(name, self.store_proxies[name])

    async def _endpoint_link(self) -> None:
        name = self.luck.choice(sorted(self.endpoints))
        await self._spoil_link(name, self.endpoints[name][1])

    async def _store_down(self) -> None:
        with self.watched.troubled("store"):
            self.store.down = True
            await anyio.sleep(self.luck.uniform(0.5, 3))
            self.store.down = False

    async def _crash_endpoint(self) -> None:
        endpoint, proxy = self.endpoints.pop(self.luck.choice(sorted(self.endpoints)))
        endpoint.scope.cancel()
        proxy.reset()
        await anyio.sleep(self.luck.uniform(0.2, 2))
        self.store.remove(f"servers/{endpoint.name}")
        await self._add_endpoint(endpoint.service)

    async def _drain_endpoint(self) -> None:
        endpoint, proxy = self.endpoints.pop(self.luck.choice(sorted(self.endpoints)))
        await self._add_endpoint(endpoint.service)
        self._list(endpoint, proxy, "draining")
        self.watched.left_s[endpoint.name] = anyio.current_time()
        await anyio.sleep(6)
        endpoint.scope.cancel()
        self.store.remove(f"servers/{endpoint.name}")

    async def _limit_endpoint(self) -> None:
        endpoint, _ = self.endpoints[self.luck.choice(sorted(self.endpoints))]
        endpoint.limit_per_s = self.luck.choice([0.5, 2, 8])
        await anyio.sleep(self.luck.uniform(1, 5))
        endpoint.limit_per_s = None

    async def _rest_endpoint(self) -> None:
        endpoint, _ = self.endpoints[self.luck.choice(sorted(self.endpoints))]
        endpoint.rest_s = self.luck.uniform(0.5, 2)
        await anyio.sleep(self.luck.uniform(0.5, 2))
        endpoint.rest_s = None

    async def _leave_in_answers(self) -> None:
        endpoint, _ = self.endpoints.pop(self.luck.choice(sorted(self.endpoints)))
        await self._add_endpoint(endpoint.service)
        endpoint.leaves = True
        await anyio.sleep(6)
        endpoint.scope.cancel()
        self.store.remove(f"servers/{endpoint.name}")

    async def _spoil(self) -> None:
        endpoint, _ = self.endpoints[self.luck.choice(sorted(self.endpoints))]
        kinds = ["fail", "shed", "silent", "unsealed", "cut", "cut in an event"]
        endpoint.behaviour += [self.luck.choice(kinds) for _ in range(6)]

    async def _call_on(self, client: int) -> None:
        luck = random.Random(client)
        number = 0
        async with httpx.AsyncClient(timeout=6) as http:
            while anyio.current_time() < self.until_s:
                number += 1
                kind = luck.choice(["look", "order", "draft", "draft"])
                await self._one_call(
                    http, luck, kind, f"{kind}-{os.getpid()}-{client}-{number}"
                )
                await anyio.sleep(luck.uniform(0, 0.1))

    async def _one_call(self, http, luck, kind: str, call: str) -> str:
        name = luck.choice(sorted(self.ports))
        port = self.ports[name][0]
        side = self.cuts.side_of(name)
        self.watched.taken_by[call] = name
        headers = {
            "Host": "shop.example",
            "Request-Id": call,
            "Deadline-Ms": "4000",
            "Model": f"base/a{luck.randrange(ADAPTERS)}",
            "Token-Counts": "100,30",
        }
        if kind != "draft":
            del headers["Model"]
        try:
            url = f"http://127.0.0.1:{port}/{kind}/1"
            response = await http.post(url, headers=headers, content=b"prompt")
        except httpx.HTTPError as error:
            outcome = type(error).__name__
        else:
            outcome = str(response.status_code)
            self._check_answer(kind, call, response)
        self.outcomes[outcome] += 1
        self.cuts.count(side, outcome)
        return outcome

    def _check_answer(self, kind: str, call: str, response) -> None:
        if response.status_code in (429, 503):
            self.watched.refused.add(call)
            if kind == "order" and self.watched.runs[call]:
                self.watched.broken(f"{call} was said not to have run, and had")
        if response.status_code != 200:
            return
        if "Response-Seal" not in response.headers:
            self.watched.broken(f"{call}: a success that no endpoint signed")
        if kind == "draft":
            ids = [line for line in response.text.splitlines() if line[:3] == "id:"]
            if ids != [f"id: {n}" for n in range(1, 11)]:
                self.watched.broken(f"{call}: events {ids}")

    async def _recover(self) -> None:
        self.cuts.check()
        await anyio.sleep(SETTLE_S)
        for _, proxy in self.endpoints.values():
            proxy.heal()
        for endpoint, _ in self.endpoints.values():
            endpoint.behaviour.clear()
            endpoint.limit_per_s = endpoint.rest_s = None
        luck, found = random.Random(0), Counter()
        async with httpx.AsyncClient(timeout=6) as http:
            for number in range(40):
                kind = luck.choice(["look", "draft"])
                for attempt in range(3):
                    call = f"{kind}-r{attempt}-{number}"
                    outcome = await self._one_call(http, luck, kind, call)
                    if outcome != "503":
                        break
                    # Callers come back when they are told to.
                    await anyio.sleep(1.0)
                found[outcome] += 1
        if found["200"] < 30:
            self.watched.broken(f"after the faults: {dict(found)}")


def plant_fault(folder: Path, plant: str) -> Path:
    """Return the sources to run, with a fault put in on purpose."""
    if not plant:
        return ROOT
    for source in SOURCES:
        ignored = shutil.ignore_patterns("__pycache__", "*.egg-info")
        shutil.copytree(ROOT / source, folder / source, ignore=ignored)
    file, before, after = PLANTS[plant]
    text = (folder / file).read_text()
    assert before in text, f"{plant}: the place has changed"
    (folder / file).write_text(text.replace(before, after))
    return folder


async def play(seed: int, seconds: float, daemons: int, plant: str) -> Soak:
    """Play one seed."""
    soak = Soak(seed, seconds, daemons, plant)
    await soak.run()
    return soak


def main() -> int:
    """Play all seeds, and return 1 if a promise was broken."""
    first, _, last = os.environ.get("SOAK_SEEDS", "1-3").partition("-")
    seconds = float(os.environ.get("SOAK_S", "20"))
    daemons = int(os.environ.get("SOAK_DAEMONS", "3"))
    plant = os.environ.get("SOAK_PLANT", "")
    bad: dict[int, list[str]] = defaultdict(list)
    for seed in range(int(first), int(last or first) + 1):
        soak = anyio.run(play, seed, seconds, daemons, plant)
        bad[seed] = soak.watched.violations
        print(
            f"seed {seed}: {sum(soak.outcomes.values())} requests"
            f" {dict(soak.outcomes)}, faults {dict(soak.faults)},"
            f" begun {dict(soak.watched.begun)},"
            f" {len(soak.watched.violations)} violations",
            flush=True,
        )
        for violation in soak.watched.violations[:5]:
            print(f"  {violation}", flush=True)
    broken = [seed for seed, found in bad.items() if found]
    print(f"{len(bad) - len(broken)} passed, {len(broken)} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
