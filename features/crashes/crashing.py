"""Endpoints that a fatal request crashes, and callers who repeat such requests."""

import anyio
import httpx
from standins import Endpoint, Engine, header

CRASHES_AFTER_S = 0.02
DOWN_S = 0.4
"""Downtime of a crashed endpoint before its restart."""

UNLISTED_AFTER_S = 0.8
"""How long the entry of a crashed endpoint stays listed."""

RETRY_INTERVAL_S = 0.2
FATAL = b"deadly"
"""User agent of the caller whose requests crash endpoints."""


def is_fatal(request):
    """Return whether a request is from the caller whose requests crash endpoints."""
    return (b"User-Agent", FATAL) in request.head.headers


class Crashing:
    """Mixin for stand-ins of endpoints, which a fatal request crashes.

    Parameters
    ----------
    pool : CrashingPool
        Restarts the endpoint.
    """

    pool = None
    is_frozen = False

    def __init__(self, *names):
        super().__init__(*names)
        self._scopes = set()

    async def handle(self, request, responder):
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                if not self.is_frozen:
                    await super().handle(request, responder)
            finally:
                self._scopes.discard(scope)
        if self.is_frozen:
            await anyio.sleep_forever()

    async def answer(self, request, responder, behaviour):
        is_own = header(request, "Expect-Instance") in (None, self.name)
        if is_own and is_fatal(request) and self._would_serve(request):
            status, self.pool.next_status = self.pool.next_status, None
            if status is not None:
                await responder.answer(status, self.sealed(request), b"failed")
                return
            await anyio.sleep(CRASHES_AFTER_S)
            self.pool.crash(self)
            await anyio.sleep_forever()
        await super().answer(request, responder, behaviour)

    def _would_serve(self, request):
        return not isinstance(self, Engine) or self._holds(request)

    def freeze(self):
        """Stop responding, on connections that stay open."""
        self.is_frozen = True
        for scope in list(self._scopes):
            scope.cancel()


class CrashingEndpoint(Crashing, Endpoint):
    """A plain endpoint that a fatal request crashes."""


class CrashingEngine(Crashing, Engine):
    """An engine that a fatal request crashes."""


class CrashingPool:
    """The endpoints of a path, which crash and are restarted.

    Parameters
    ----------
    path : WholePath
        The path whose endpoints crash.
    how : str
        State after a crash: the address ``refuses`` connections, is ``silent``, or is
        taken at once by an endpoint with a ``new id`` or the ``same id``.

    Attributes
    ----------
    fails_with : int or None
        Status with which the next fatal request after each crash fails.
    next_status : int or None
        Status with which the next fatal request fails; None: it crashes its endpoint.
    """

    def __init__(self, path, how):
        self._path = path
        self._how = how
        self.lost_s = []
        self.fails_with = None
        self.next_status = None
        for each in path.endpoints:
            each.pool = self

    def crash(self, endpoint):
        """Crash an endpoint, and schedule its restart."""
        if endpoint not in self._path.endpoints:
            return
        self.lost_s.append(anyio.current_time())
        self.next_status = self.fails_with
        kind = self._path.desks if endpoint in self._path.desks else self._path.engines
        kind.remove(endpoint)
        if self._how == "silent":
            endpoint.freeze()
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
    path, kind, daemon, agent=FATAL, caller="127.0.0.1", body=b"", deadline_ms=1200
):
    """Make a call; return its status, or 0 without a response."""
    headers = {"Deadline-Ms": str(deadline_ms), "User-Agent": agent.decode()}
    if kind in ("draft", "note"):
        headers |= {"Model": "base/a1", "Token-Counts": "100,30"}
    method = "POST" if body or kind in ("draft", "note") else "GET"
    path_name = f"/{kind}/of-one-caller"
    try:
        answer = await path.call(
            method, path_name, daemon, headers, caller, content=body
        )
    except httpx.HTTPError:
        return 0
    return answer.status_code


async def send_repeatedly(path, kind, hosts, times, body, callers=("127.0.0.1",)):
    """Send a fatal request to some hosts in turn, from some addresses in turn."""
    statuses = []
    for number in range(times):
        host, caller = hosts[number % len(hosts)], callers[number % len(callers)]
        statuses.append(await send(path, kind, host, caller=caller, body=body))
        await anyio.sleep(RETRY_INTERVAL_S)
    return statuses
