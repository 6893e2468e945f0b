"""Disturbances of the soak: of daemons, the store, endpoints and their releases."""

import signal
import subprocess

import anyio
from soak_pool import Pool, answers_of, links_of
from soak_proxy import Proxy
from standins import Endpoint

FAULT_EVERY_S = 0.5
CALM_S, ROUGH_S = 8.0, 5.0
MOST_RELEASES = 2
NAMED_ADAPTERS = 3
SERIES_GAPS_S = (0.1, 0.8, 2.4, 5.2)
DRAIN_S = 6.0
"""How long an endpoint that drains serves on."""


class Disturbances:
    """Disturbs a pool at random, in series that overlap."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.luck = pool.luck
        self.watched = pool.watched
        self.counts: dict[str, int] = {}
        self._until_s = 0.0
        self._released = 1
        self._under_way = 0
        self._changes = [
            self._crash_endpoint,
            self._drain_endpoint,
            self._spoil,
            self._spoil,
            self._repeat_answers,
            self._limit_endpoint,
            self._rest_endpoint,
            self._leave_in_answers,
            self._name_versions,
            self._name_versions,
            self._cut_links,
            self._cut_links,
        ]
        if pool.releases:
            self._changes.append(self._release)
        self._faults = [
            self._kill,
            self._stop,
            self._pause,
            self._store_link,
            self._store_down,
            self._endpoint_link,
            *self._changes,
        ]

    async def run(self, until_s: float) -> None:
        """Disturb the pool until a moment.

        Releases also meet spells without trouble of daemons and of the store: only
        then is it known what callers are owed.
        """
        self._until_s, began_s = until_s, anyio.current_time()
        if self.pool.releases:
            self._start(self._release)
        while anyio.current_time() < until_s:
            spell_s = (anyio.current_time() - began_s) % (CALM_S + ROUGH_S)
            is_calm = self.pool.releases and spell_s < CALM_S
            self._start(self.luck.choice(self._changes if is_calm else self._faults))
            await anyio.sleep(self.luck.uniform(0.1, 2 * FAULT_EVERY_S))

    def _start(self, fault) -> None:
        name = fault.__name__.strip("_")
        self.counts[name] = self.counts.get(name, 0) + 1
        self.pool.tasks.start_soon(fault)

    async def _kill(self) -> None:
        await self._end_daemon(signal.SIGKILL)

    async def _stop(self) -> None:
        await self._end_daemon(signal.SIGTERM)

    async def _end_daemon(self, number: signal.Signals) -> None:
        name = self.luck.choice(sorted(self.pool.daemons))
        process = self.pool.daemons[name]
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
        if self.pool.daemons[name] is process:
            process.kill()
            process.wait()
            self.pool.start_daemon(name)

    async def _pause(self) -> None:
        name = self.luck.choice(sorted(self.pool.daemons))
        process = self.pool.daemons[name]
        with self.watched.troubled(name):
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(self.luck.uniform(0.5, 4))
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

    async def _cut_links(self) -> None:
        """Cut some hosts off from all endpoints; one at least keeps its links."""
        cuts = self.pool.cuts
        linked = sorted(set(self.pool.daemons) - set(cuts.since_s))
        most = len(linked) - 1
        how = self.luck.choice(["hang", "reset", "refuse"])
        names = self.luck.sample(linked, self.luck.randint(1, most) if most else 0)
        for name in names:
            self.watched.shook(links_of(name))
            cuts.since_s[name] = anyio.current_time()
            self.pool.links_file(name).write_text(how)
        await anyio.sleep(self.luck.uniform(2, 8))
        for name in names:
            self.watched.shook(links_of(name))
            self.pool.links_file(name).unlink()
            del cuts.since_s[name]

    async def _store_link(self) -> None:
        name = self.luck.choice(sorted(self.pool.store_proxies))
        await self._spoil_link(name, self.pool.store_proxies[name])

    async def _endpoint_link(self) -> None:
        name = await self._choose_name()
        await self._spoil_link(name, self.pool.endpoints[name][1])

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

    async def _store_down(self) -> None:
        with self.watched.troubled("store"):
            self.pool.store.down = True
            await anyio.sleep(self.luck.uniform(0.5, 3))
            self.pool.store.down = False

    async def _name_versions(self) -> None:
        """Name versions of one busy adapter in a series, beside other series."""
        newest = self.pool.newest
        adapter = f"a{self.luck.randrange(NAMED_ADAPTERS)}"
        gap_s = self.luck.choice(SERIES_GAPS_S)
        for _ in range(self.luck.randint(1, 5)):
            version = newest.get(adapter, 1) + 1
            newest[adapter] = version
            entry = {"model": "base", "adapter": adapter, "version": version}
            self.pool.store.put(f"op/version/base.{adapter}", entry)
            self.watched.named_s[adapter][version] = anyio.current_time()
            await anyio.sleep(gap_s * self.luck.uniform(0.7, 1.3))

    async def _choose_name(self) -> str:
        """Return the name of an endpoint, once there is one."""
        while not self.pool.endpoints:
            await anyio.sleep(0.05)
        return self.luck.choice(sorted(self.pool.endpoints))

    async def _choose_endpoint(self) -> Endpoint:
        return self.pool.endpoints[await self._choose_name()][0]

    async def _crash_endpoint(self) -> None:
        name = await self._choose_name()
        await self.pool.crash(*self.pool.endpoints.pop(name))

    async def _drain_endpoint(self) -> None:
        name = await self._choose_name()
        endpoint, proxy = self.pool.endpoints.pop(name)
        await self.pool.add_endpoint(endpoint.service, endpoint.software)
        await self._drain(endpoint, proxy)

    async def _drain(self, endpoint: Endpoint, proxy: Proxy) -> None:
        self.pool.write_entry(endpoint, proxy, "draining")
        self.watched.left_s[endpoint.name] = anyio.current_time()
        await anyio.sleep(DRAIN_S)
        endpoint.scope.cancel()
        self.pool.store.remove(f"servers/{endpoint.name}")

    async def _leave_in_answers(self) -> None:
        name = await self._choose_name()
        endpoint, _ = self.pool.endpoints.pop(name)
        await self.pool.add_endpoint(endpoint.service, endpoint.software)
        endpoint.leaves = True
        await anyio.sleep(DRAIN_S)
        endpoint.scope.cancel()
        self.pool.store.remove(f"servers/{endpoint.name}")

    async def _repeat_answers(self) -> None:
        """Have an endpoint refuse calls, and send its answers late once more."""
        endpoint = await self._choose_endpoint()
        endpoint.late = "previous answer"
        endpoint.behaviour += ["shed", "well"] * self.luck.randint(2, 6)
        await anyio.sleep(self.luck.uniform(1.0, 4.0))
        endpoint.late = ""

    async def _limit_endpoint(self) -> None:
        endpoint = await self._choose_endpoint()
        with self.watched.troubled(answers_of(endpoint.name)):
            endpoint.limit_per_s = self.luck.choice([0.5, 2, 8])
            await anyio.sleep(self.luck.uniform(1, 5))
            endpoint.limit_per_s = None

    async def _rest_endpoint(self) -> None:
        endpoint = await self._choose_endpoint()
        with self.watched.troubled(answers_of(endpoint.name)):
            endpoint.retry_after_s = self.luck.uniform(0.5, 2)
            await anyio.sleep(self.luck.uniform(0.5, 2))
            endpoint.retry_after_s = None

    async def _spoil(self) -> None:
        endpoint = await self._choose_endpoint()
        kinds = ["fail", "shed", "silent", "unsealed", "cut", "cut in an event"]
        endpoint.behaviour += [self.luck.choice(kinds) for _ in range(6)]
        with self.watched.troubled(answers_of(endpoint.name)):
            while endpoint.behaviour and endpoint.name in self.pool.endpoints:
                await anyio.sleep(0.05)

    async def _release(self) -> None:
        """Replace engines by ones of the next software, at times half-way and back."""
        engines = self.pool.engines()
        if not engines or self._under_way == MOST_RELEASES:
            return
        self._under_way += 1
        former = self.luck.choice(sorted(engine.software for engine, _ in engines))
        self._released += 1
        released = f"v{self._released}"
        gap_s = self.luck.uniform(0.1, 1.5)
        goes_back = self.luck.random() < 0.4
        steps = len(engines) // 2 if goes_back else len(engines)
        await self._roll(released, steps, gap_s)
        if goes_back:
            await self._roll(former, len(engines), gap_s)
        self._under_way -= 1

    async def _roll(self, software: str, steps: int, gap_s: float) -> None:
        """Start engines of some software one by one, and end an older one for each."""
        for _ in range(steps):
            others = [e for e, _ in self.pool.engines() if e.software != software]
            if not others or anyio.current_time() >= self._until_s:
                return
            await self.pool.add_endpoint("llm", software)
            await anyio.sleep(gap_s * self.luck.uniform(0.7, 1.3))
            old = self.luck.choice(others)
            taken = self.pool.take_endpoint(old.name)
            if taken is not None:
                self.pool.tasks.start_soon(self._retire, *taken)
            await anyio.sleep(gap_s * self.luck.uniform(0.7, 1.3))

    async def _retire(self, endpoint: Endpoint, proxy: Proxy) -> None:
        """End an engine of a release: it drains, or is gone after a short while."""
        if self.luck.random() < 0.7:
            await self._drain(endpoint, proxy)
            return
        self.pool.write_entry(endpoint, proxy, "draining")
        self.watched.left_s[endpoint.name] = anyio.current_time()
        await anyio.sleep(self.luck.uniform(0.3, 1.0))
        endpoint.scope.cancel()
        proxy.reset()
        self.pool.store.remove(f"servers/{endpoint.name}")
