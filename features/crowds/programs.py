"""The programs that listen, each in processes of its own on loopback."""

import resource
import sys
from abc import ABC, abstractmethod
from contextlib import asynccontextmanager

import anyio
import httpx
from deployment import Deployment
from separate_daemon import SeparateDaemon
from whole_path import NO_TLS

from knapweedbridge_daemon.handshake import Handshake
from knapweedbridge_daemon.peer_sockets import connect_peer
from knapweedbridge_standins.example import (
    ADMINISTRATOR_KEY,
    CALLER_KEY,
    PEER_SECRET,
    find_free_example,
)

BASE_PORT = 27000
TRY_TIMEOUT_S = 10
TRIES = 5
PAUSE_S = 0.5
"""Pause of a client before its next try, where nothing says how long."""

RELEASE_TRIES = 1200
"""How often a daemon is asked whether it holds anything. What its clients sent before
they left may still be decoded; that ends, however slow the machine is."""

FILE_DESCRIPTORS = 200
"""Descriptors of the machine that are set aside for files."""

REQUEST_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}


class Listener:
    """An address that is listened on, and what an ordinary client asks there."""

    def __init__(
        self, address, path, method="GET", headers=None, body=b"", crowd_path=""
    ):
        self.address = address
        self.path = path
        self.crowd_path = crowd_path or path
        self.method = method
        self.headers = headers or {}
        self.body = body

    @property
    def port(self):
        return int(self.address.rpartition(":")[2])

    @property
    def head(self):
        """The beginning of a request, as the crowd sends it."""
        headers = {"Host": self.address, **self.headers}
        lines = [f"POST {self.crowd_path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\\n".join(lines)

    async def is_answered(self):
        """Return whether an ordinary request is answered, as its client waits."""
        seen = []
        for _ in range(TRIES):
            try:
                async with httpx.AsyncClient(timeout=TRY_TIMEOUT_S, verify=NO_TLS) as c:
                    url = f"http://{self.address}{self.path}"
                    found = await c.request(
                        self.method, url, headers=self.headers, content=self.body
                    )
            except httpx.HTTPError as error:
                seen.append(repr(error))
                await anyio.sleep(PAUSE_S)
                continue
            if found.status_code == 200:
                return True
            seen.append(f"{found.status_code} {dict(found.headers)}")
            if found.status_code in (429, 503) and self.path != "/v1/ready":
                assert "Retry-After" in found.headers, seen
                await anyio.sleep(float(found.headers["Retry-After"]))
        print(f"{self.method} {self.path}: {seen}", file=sys.stderr)
        return False


class PeerAddress(Listener):
    """The address for other daemons, of which an ordinary one greets."""

    def __init__(self, address, host, secret):
        super().__init__(address, "")
        self._host = host
        self._secret = secret

    async def is_answered(self):
        ip, _, port = self.address.rpartition(":")
        for _ in range(TRIES):
            try:
                with anyio.fail_after(TRY_TIMEOUT_S):
                    async with await connect_peer(ip, int(port)) as stream:
                        handshake = Handshake("another-host", 1, self._secret)
                        await handshake.greet(stream, self._host)
                        return True
            except Exception as error:
                print(f"{self.address}: {error!r}", file=sys.stderr)
                await anyio.sleep(PAUSE_S)
        return False


class Program(ABC):
    """A program with listeners.

    Attributes
    ----------
    pid : int
        Number of its process.
    listeners : dict
        Its listeners by name.
    """

    @abstractmethod
    def is_alive(self):
        """Return whether its process lives."""

    @abstractmethod
    def log_tail(self):
        """Return the end of what it wrote."""

    async def held_bytes(self):
        """Return what it holds for callers once their connections are closed."""
        return 0


class ServingDaemon(Program):
    """The daemon on the users' platform."""

    def __init__(self, path):
        self._path = path
        self.pid = path.process.pid
        callers, ready, peers = (f"127.0.0.1:{port}" for port in path.ports[0])
        headers = {"Host": "shop.example", "Deadline-Ms": "9000", "Request-Id": "1"}
        self.listeners = {
            "callers": Listener(callers, "/look/1", "POST", headers, b"x" * 200),
            "ready": Listener(ready, "/v1/ready"),
            "metrics": Listener(f"127.0.0.1:{path.metrics_ports[0]}", "/metrics"),
            "peers": PeerAddress(peers, "host-0", path.secret()),
        }

    def is_alive(self):
        return self._path.process.poll() is None

    def log_tail(self):
        return self._path.log.read_text()[-3000:]

    async def held_bytes(self):
        """See `Program.held_bytes`."""
        held = None
        for _ in range(RELEASE_TRIES):
            if not self.is_alive():
                break
            page = (await self._path.metrics()).splitlines()
            named = [line for line in page if "_held_bytes " in line]
            held = float(next(line for line in named if line[0] != "#").split()[1])
            if not held:
                break
            await anyio.sleep(0.1)
        return held


@asynccontextmanager
async def serving_daemon(folder, memory_mb, descriptors):
    async with anyio.create_task_group() as tasks:
        path = SeparateDaemon(tasks, folder)
        path.machine = {"memory_mb": memory_mb, "max_fds": descriptors}
        path.request_limits = REQUEST_LIMITS
        try:
            await path.start()
            await path.until(path.secret, "daemons have a secret")
            yield ServingDaemon(path)
        finally:
            if path.process and path.process.poll() is None:
                path.process.kill()
                path.process.wait()
            tasks.cancel_scope.cancel()


class LimitedDeployment(Deployment):
    """A deployment whose daemons have little memory and few descriptors."""

    def __init__(self, example, memory_mb, descriptors):
        super().__init__(example)
        self._memory_mb = memory_mb
        self._descriptors = descriptors

    def settings(self, place):
        most = REQUEST_LIMITS["max_body_bytes"]
        machine = f"[host]\nmemory_mb = {self._memory_mb}\n"
        machine += f"descriptors = {self._descriptors}\nfile_descriptors = 200"
        text = super().settings(place).replace("[host]", machine)
        return text + f"\n[requests]\nmax_body_bytes = {most}\n"

    def _start(self, name, command):
        if not name.startswith("host-"):
            super()._start(name, command)
            return
        usual = resource.getrlimit(resource.RLIMIT_NOFILE)
        # Inherited by the daemon, which starts no process and needs no more at once.
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._descriptors, usual[1]))
        try:
            super()._start(name, command)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, usual)


class OwnDaemon(Program):
    """The daemon with our own interfaces."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._process = deployment.processes["host-0"]
        self.pid = self._process.pid
        example = deployment.example
        caller = {"Authorization": f"Bearer {CALLER_KEY}"}
        operator = {"Authorization": f"Bearer {ADMINISTRATOR_KEY}"}
        administration = example.administration(0)
        self.listeners = {
            "callers": Listener(
                example.callers(0), "/orders/1", "POST", caller, b"x" * 200
            ),
            "administration": Listener(
                administration,
                "/v1/status",
                headers=operator,
                crowd_path="/v1/check",
            ),
            "peers": PeerAddress(example.peers(0), "host-0", PEER_SECRET.encode()),
        }

    def is_alive(self):
        return self._process.poll() is None

    def log_tail(self):
        return self._deployment.log("host-0")[-3000:]


@asynccontextmanager
async def own_daemon(folder, memory_mb, descriptors):
    example = find_free_example(BASE_PORT, daemons=1, engines=1, plains=1)
    deployment = LimitedDeployment(example, memory_mb, descriptors)
    await anyio.to_thread.run_sync(deployment.__enter__)
    try:
        yield OwnDaemon(deployment)
    finally:
        await anyio.to_thread.run_sync(deployment.__exit__)


PROGRAMS = {"serving": serving_daemon, "own": own_daemon}
