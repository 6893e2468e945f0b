"""Links between hosts and endpoints that can be cut, host by host."""

import asyncio
from contextlib import asynccontextmanager

import anyio
from soak_proxy import Proxy
from whole_path import HOST, whole_path

ENDED_AFTER_S = 2.5
"""When the kernel of a host ends a connection whose bytes nobody acknowledges."""


class HostLinks:
    """All connections from hosts to endpoints, each host's through proxies of its own.

    Parameters
    ----------
    path : WholePath
        Whose daemons and endpoints these are.
    """

    def __init__(self, path):
        self._path = path
        self._tasks = path.tasks
        self._proxies = {}
        self._cuts = {}
        self._silent = {}
        self._hosts = []
        path.before_listing = self.add_endpoint
        loop = asyncio.get_running_loop()
        self._connect = loop.create_connection
        loop.create_connection = self._create_connection

    async def _create_connection(self, protocol, ip, port, **more):
        address, host = f"{ip}:{port}", HOST.get()
        if (host, address) not in self._proxies:
            return await self._connect(protocol, ip, port, **more)
        if address in self._silent:
            await self._silent[address].wait()
        how = self._cuts.get(host)
        if how == "hang":
            await anyio.sleep_forever()
        elif how is not None:
            raise ConnectionRefusedError(address)
        proxy = self._proxies[host, address]
        ip, _, port = proxy.address.rpartition(":")
        return await self._connect(protocol, ip, int(port), **more)

    async def start(self, hosts):
        """Run the proxies of some hosts, which must be there before their daemons."""
        for host in range(hosts):
            await self.add_host(f"host-{host}")

    async def add_host(self, host):
        """Run the proxies of a host, which must be there before its daemon."""
        self._hosts.append(host)
        for endpoint in self._path.endpoints:
            await self._start_proxy(host, endpoint.address)

    async def add_endpoint(self, endpoint):
        """Run the proxies that lead to an endpoint that the store doesn't list yet."""
        for host in self._hosts:
            await self._start_proxy(host, endpoint.address)

    async def _start_proxy(self, host, address):
        proxy = self._proxies[host, address] = Proxy(lambda: address)
        await self._tasks.start(proxy.run)

    def cut(self, host, how):
        """Cut a host off from all endpoints: its connections hang, reset or live on."""
        self._cuts[host] = how
        for (name, _), proxy in self._proxies.items():
            if name == host and how == "reset":
                proxy.reset()
            elif name == host and how == "hang":
                proxy.deaf = proxy.mute = True
                self._tasks.start_soon(self._end_later, proxy)

    async def _end_later(self, proxy):
        await anyio.sleep(ENDED_AFTER_S)
        if proxy.deaf:
            proxy.reset()

    def heal(self, host):
        """Give a host its links back."""
        del self._cuts[host]
        for (name, _), proxy in self._proxies.items():
            if name == host:
                proxy.heal()

    def silence(self, address):
        """Have an endpoint answer nobody for a while; nothing is lost by that."""
        self._silent[address] = anyio.Event()
        self._set_silent(address, True)

    def end_silence(self, address):
        """Have an endpoint go on with all that it got."""
        self._silent.pop(address).set()
        self._set_silent(address, False)

    def _set_silent(self, address, is_silent):
        for (_, each), proxy in self._proxies.items():
            if each == address:
                proxy.deaf = proxy.mute = is_silent


@asynccontextmanager
async def path_with_links(hosts, lease_ms=10000):
    """Run the whole path with links that can be cut."""
    made = []

    async def prepare(path):
        made.append(HostLinks(path))
        await made[0].start(hosts)

    async with whole_path(hosts, lease_ms, prepare=prepare) as path:
        yield path, made[0]
