"""The whole path whose hosts may lose the store, or their links to the endpoints."""

import functools
from contextlib import asynccontextmanager

import anyio
from host_links import HostLinks
from soak_proxy import Proxy
from stream_callers import StreamCaller
from whole_path import whole_path

PAUSE_S = 0.05
"""Time between two events of a stream."""

LEASE_MS = 10000


class StoreLinks:
    """The connections from hosts to the store, each host's through a proxy."""

    def __init__(self, path):
        self._path = path
        self._proxies = {}

    async def add_host(self, host):
        """Run the proxy of a host, which must be there before its daemon."""
        proxy = self._proxies[host] = Proxy(lambda: self._path.store.address)
        await self._path.tasks.start(proxy.run)
        self._path.store_addresses[host] = proxy.address

    def cut(self, host):
        """Have the store neither hear nor answer a host."""
        proxy = self._proxies[host]
        proxy.deaf = proxy.mute = True


class Scene:
    """A whole path on which streams begin, break and are taken up again."""

    def __init__(self, path, links, store_links):
        self.path = path
        self.links = links
        self.store_links = store_links
        self.callers = []

    @property
    def hosts(self):
        return range(len(self.path.ports))

    async def start_host(self):
        """Start one more host, and return its number."""
        number = len(self.path.ports)
        await self.links.add_host(f"host-{number}")
        await self.store_links.add_host(f"host-{number}")
        self.path.start_daemon(f"host-{number}")
        await self.path.until_ready(number)
        return number

    async def kill(self, host):
        await self.path.kill_daemon(f"host-{host}")

    async def restart(self, host):
        await self.path.restart_daemon(f"host-{host}")
        await self.path.until_ready(host)

    async def add_engines(self, software, count, known_by=None):
        """Add engines of a version, and wait until hosts know them."""
        added = [await self.path.add_engine(software) for _ in range(count)]
        hosts = self.hosts if known_by is None else known_by
        for engine in added:
            await self.path.until_known(engine, hosts)
        return added

    async def begin(self, count, host, most=None, model="base"):
        """Begin streams at a host that run until they break, or are broken off."""
        callers = [StreamCaller(self.path, model) for _ in range(count)]
        self.callers += callers
        async with anyio.create_task_group() as tasks:
            for caller in callers:
                tasks.start_soon(caller.ask, host, most)
        return callers

    async def begin_until_killed(self, count, host, events):
        """Begin streams at a host that is killed once all have some events."""
        self.callers += [StreamCaller(self.path) for _ in range(count)]
        await self.ask_until_killed(host, events)

    async def ask_until_killed(self, host, events):
        """Have all callers ask a host that is killed once all have some events."""

        def has_gone_on(caller, tries):
            if len(caller.tries) <= tries:
                return False
            last = caller.tries[-1]
            return len(last.events) >= events or last.ended_s

        before = [(caller, len(caller.tries)) for caller in self.callers]
        async with anyio.create_task_group() as tasks:
            for caller in self.callers:
                tasks.start_soon(caller.ask, host)
            await self.path.until(
                lambda: all(has_gone_on(*each) for each in before),
                f"all streams have {events} events more, or have ended",
            )
            await self.kill(host)

    async def take_up(self, host, most=None, **headers):
        """Take all streams up at a host, version by version.

        Where engines are used in turn, streams of each version then come to all.
        """
        in_order = sorted(self.callers, key=lambda each: sorted(each.versions))
        async with anyio.create_task_group() as tasks:
            for caller in in_order:
                ask = functools.partial(caller.ask, host, most, **headers)
                tasks.start_soon(ask)


def played(work):
    """Run a step's whole story on a path of its own."""

    @functools.wraps(work)
    def step(context, **values):
        async def story():
            serves_v2 = getattr(context, "serves_v2", False)
            async with versions_path(context.daemons, serves_v2) as scene:
                context.path, context.callers = scene.path, scene.callers
                await work(context, scene, **values)

        anyio.run(story)

    return step


@asynccontextmanager
async def versions_path(hosts, serves_v2=False):
    """Run the whole path, with two engines of v1, and two of v2 if that serves."""
    made = []

    async def prepare(path):
        for engine in path.engines:
            engine.pause_s = PAUSE_S
        scene = Scene(path, HostLinks(path), StoreLinks(path))
        for _ in range(2 if serves_v2 else 0):
            await path.add_engine("v2")
        for number in range(hosts):
            await scene.links.add_host(f"host-{number}")
            await scene.store_links.add_host(f"host-{number}")
        made.append(scene)

    async with whole_path(hosts, LEASE_MS, prepare=prepare):
        yield made[0]
