"""Links between hosts and endpoints that can be cut per host."""

import asyncio
from contextlib import asynccontextmanager

import anyio
from soak_proxy import Proxy
from whole_path import HOST, whole_path

KERNEL_TIMEOUT_S = 2.5
"""When the kernel closes a connection whose bytes are not acknowledged."""


class HostLinks:
    """Connections from hosts to endpoints, through separate proxies for each host.

    Parameters
    ----------
    path : WholePath
        Daemons and endpoints.
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
        mode = self._cuts.get(host)
        if mode == "hang":
            await anyio.sleep_forever()
        elif mode is not None:
            raise ConnectionRefusedError(address)
        proxy = self._proxies[host, address]
        ip, _, port = proxy.address.rpartition(":")
        return await self._connect(protocol, ip, int(port), **more)

    async def start(self, hosts):
        """Start the proxies of all hosts, before their daemons start."""
        for host in range(hosts):
            await self.add_host(f"host-{host}")

    async def add_host(self, host):
        """Start the proxies of a host, before its daemon starts."""
        self._hosts.append(host)
        for endpoint in self._path.endpoints:
            await self._start_proxy(host, endpoint.address)

    async def add_endpoint(self, endpoint):
        """Start the proxies to an endpoint, before the store lists it."""
        for host in self._hosts:
            await self._start_proxy(host, endpoint.address)

    async def _start_proxy(self, host, address):
        proxy = self._proxies[host, address] = Proxy(lambda: address)
        await self._tasks.start(proxy.run)

    def cut(self, host, mode):
        """Cut a host off from all endpoints: its connections hang, reset or live on."""
        self._cuts[host] = mode
        for (name, _), proxy in self._proxies.items():
            if name == host and mode == "reset":
                proxy.reset()
            elif name == host and mode == "hang":
                proxy.deaf = proxy.mute = True
                self._tasks.start_soon(self._end_later, proxy)

    async def _end_later(self, proxy):
        await anyio.sleep(KERNEL_TIMEOUT_S)
        if proxy.deaf:
            proxy.reset()

    def heal(self, host):
        """Restore the links of a host."""
        del self._cuts[host]
        for (name, _), proxy in self._proxies.items():
            if name == host:
                proxy.heal()

    def silence(self, address):
        """Block all traffic of an endpoint without loss, until `end_silence`."""
        self._silent[address] = anyio.Event()
        self._set_silent(address, True)

    def end_silence(self, address):
        """Deliver the blocked traffic of an endpoint."""
        self._silent.pop(address).set()
        self._set_silent(address, False)

    def _set_silent(self, address, is_silent):
        for (_, each), proxy in self._proxies.items():
            if each == address:
                proxy.deaf = proxy.mute = is_silent


@asynccontextmanager
async def path_with_links(hosts, lease_ms=10000, **more):
    """Run the whole path, with links that can be cut."""
    created = []

    async def prepare(path):
        created.append(HostLinks(path))
        await created[0].start(hosts)

    async with whole_path(hosts, lease_ms, prepare=prepare, **more) as path:
        yield path, created[0]
