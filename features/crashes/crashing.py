"""Endpoints that a deadly request crashes, and callers who send one again and again."""

import anyio
import httpx
from standins import Endpoint, Engine, header

CRASHES_AFTER_S = 0.02
DOWN_S = 0.4
"""How long an endpoint that is started again is down."""

UNLISTED_AFTER_S = 0.8
"""How long the entry of an endpoint that ended stays."""

COMES_AGAIN_S = 0.2
DEADLY = b"deadly"
"""User agent of the caller whose requests crash endpoints."""


def is_deadly(request):
    """Return whether a request is from the caller whose requests crash endpoints."""
    return (b"User-Agent", DEADLY) in request.head.headers


class Crashing:
    """Mixed into a stand-in of an endpoint: a deadly request ends it.

    Parameters
    ----------
    pool : CrashingPool
        Starts it again.
    """

    pool = None
    is_dark = False

    def __init__(self, *names):
        super().__init__(*names)
        self._runs = set()

    async def handle(self, request, responder):
        with anyio.CancelScope() as scope:
            self._runs.add(scope)
            try:
                if not self.is_dark:
                    await super().handle(request, responder)
            finally:
                self._runs.discard(scope)
        if self.is_dark:
            await anyio.sleep_forever()

    async def answer(self, request, responder, behaviour):
        is_own = header(request, "Expect-Instance") in (None, self.name)
        if is_own and is_deadly(request) and self._would_run(request):
            await anyio.sleep(CRASHES_AFTER_S)
            self.pool.crash(self)
            await anyio.sleep_forever()
        await super().answer(request, responder, behaviour)

    def _would_run(self, request):
        return not isinstance(self, Engine) or self._holds(request)

    def go_dark(self):
        """Answer nothing more, on connections that stay open."""
        self.is_dark = True
        for scope in list(self._runs):
            scope.cancel()


class CrashingEndpoint(Crashing, Endpoint):
    """A plain endpoint that a deadly request ends."""


class CrashingEngine(Crashing, Engine):
    """An engine that a deadly request ends."""


class CrashingPool:
    """The endpoints of a path, which crash and are started again.

    Parameters
    ----------
    path : WholePath
        Whose endpoints they replace.
    how : str
        What is there once one has crashed: ``refuses`` connections, is ``silent``, or
        comes back at once under a ``new id`` or the ``same id``.
    """

    def __init__(self, path, how):
        self._path = path
        self._how = how
        self.lost_s = []
        for each in path.endpoints:
            each.pool = self

    def crash(self, endpoint):
        """End an endpoint, and have it started again."""
        if endpoint not in self._path.endpoints:
            return
        self.lost_s.append(anyio.current_time())
        kind = self._path.desks if endpoint in self._path.desks else self._path.engines
        kind.remove(endpoint)
        if self._how == "silent":
            endpoint.go_dark()
        else:
            endpoint.crash()
        self._path.tasks.start_soon(self._restart, endpoint, kind)

    async def _restart(self, old, kind):
        if self._how in ("new id", "same id"):
            await old.ended.wait()
        else:
            await anyio.sleep(DOWN_S)
        name = old.name if self._how == "same id" else f"{old.name}-again"
        new = type(old)(name, old.service)
        new.pool, new.newest = self, getattr(old, "newest", {})
        new.born = old.born + 5000
        if self._how != "silent":
            new.port = int(old.address.rpartition(":")[2])
        await self._path.tasks.start(new.run)
        kind.append(new)
        self._path.write_entry(new)
        if name != old.name:
            await anyio.sleep(UNLISTED_AFTER_S)
            self._path.store.remove(f"servers/{old.name}")


async def send(
    path, kind, daemon, agent=DEADLY, caller="127.0.0.1", body=b"", deadline_ms=1200
):
    """Make a call as one caller; return its status, or 0 without an answer."""
    headers = {"Deadline-Ms": str(deadline_ms), "User-Agent": agent.decode()}
    if kind in ("draft", "note"):
        headers |= {"Model": "base/a1", "Token-Counts": "100,30"}
    method = "POST" if body or kind in ("draft", "note") else "GET"
    asked = f"/{kind}/of-one-caller"
    try:
        answer = await path.call(method, asked, daemon, headers, caller, content=body)
    except httpx.HTTPError:
        return 0
    return answer.status_code


async def come_again(path, kind, hosts, times, body, callers=("127.0.0.1",)):
    """Send a deadly request to hosts in turn, by some addresses in turn."""
    statuses = []
    for number in range(times):
        host, caller = hosts[number % len(hosts)], callers[number % len(callers)]
        statuses.append(await send(path, kind, host, caller=caller, body=body))
        await anyio.sleep(COMES_AGAIN_S)
    return statuses
