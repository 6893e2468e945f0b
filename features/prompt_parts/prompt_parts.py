"""Engines that a part of a prompt crashes, and callers whose prompts share parts."""

import itertools
from dataclasses import dataclass, field

import anyio
import httpx
from crashing import CRASHES_AFTER_S, CrashingEngine, CrashingPool
from standins import header
from whole_path import WholePath

ENGINES = 6
FIRST = "aa00:50"
"""First part of all prompts."""

FATAL = "dead"
"""Prefix of the ids of parts that crash engines, unless they come last."""

RETRY_INTERVAL_S = 0.15
EVENT = b"id: 1\ndata: t1\n\n"


def parts_of(request):
    """Return the ids of the parts of a request's prompt."""
    listed = header(request, "Prompt-Prefix") or ""
    return [part.partition(":")[0] for part in listed.split(",") if part]


class PartCrashingEngine(CrashingEngine):
    """An engine that crashes as it starts to respond to a fatal part."""

    crashes = "after its head"

    async def answer(self, request, responder, behaviour):
        is_own = header(request, "Expect-Instance") in (None, self.name)
        is_fatal = any(each.startswith(FATAL) for each in parts_of(request)[:-1])
        if is_own and is_fatal and self._would_serve(request):
            self.pool.reached_s.append(anyio.current_time())
            await anyio.sleep(CRASHES_AFTER_S)
            await self._begin(request, responder)
            self.pool.crash(self)
            await anyio.sleep_forever()
        await super().answer(request, responder, behaviour)

    async def _begin(self, request, responder):
        from knapweedbridge_daemon.serving.wire import ResponseHead

        if self.crashes == "before its head":
            return
        kind = [(b"Content-Type", b"text/event-stream")]
        await responder.start(ResponseHead(200, self.sealed(request) + kind))
        if self.crashes == "after an event":
            await responder.send(EVENT)
        await anyio.sleep(CRASHES_AFTER_S)


class PartsPath(WholePath):
    """A whole path with several engines, which fatal parts crash."""

    engine_kind = PartCrashingEngine

    def __init__(self, stack, tasks):
        super().__init__(stack, tasks)
        names = [f"engine-{number}" for number in range(1, ENGINES + 1)]
        self.engines = [self.engine_kind(name, "llm") for name in names]


@dataclass
class Sent:
    """One request and its response."""

    at_s: float
    host: int
    status: int = 0
    body: str = ""

    @property
    def is_served(self):
        return self.status == 200 and "t10" in self.body

    @property
    def is_blamed(self):
        return "blamed" in self.body


@dataclass
class Traffic:
    """Requests with fatal parts, and safe ones that share all other parts.

    Parameters
    ----------
    path : PartsPath
        The daemons and engines.
    hosts : tuple of int
        Numbers of the hosts that get the requests.
    places : int
        Number of parts between the first and the last one.
    place : int
        Index of the fatal part.
    """

    path: WholePath
    hosts: tuple
    places: int = 1
    place: int = 1
    fatal: list = field(default_factory=list)
    safe: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    def prompt(self, number, fatal=None):
        """Return the parts of a prompt; the last part differs in all prompts."""
        middle = [f"bb{place}{number % 3}:30" for place in range(self.places)]
        parts = [FIRST, *middle, f"cc{number:04x}:20"]
        if fatal is not None:
            parts[self.place] = f"{fatal}:30"
        return ",".join(parts)

    async def warm_up(self):
        """Load each adapter, and have each part answered at one engine."""
        for number in range(6):
            await self.send(self.safe, number, self.hosts[0])
        self.safe.clear()

    async def send(self, sent_list, number, host, fatal=None):
        """Send one request; all differ in their body, caller or adapter."""
        kind = ("draft", "note")[number % 2]
        headers = {
            "Deadline-Ms": "2500",
            "Model": f"base/a{number % 2 + 1}",
            "Token-Counts": "100,30",
            "Prompt-Prefix": self.prompt(number, fatal),
        }
        caller = f"127.0.0.{number % 3 + 10}"
        sent = Sent(anyio.current_time(), host)
        sent_list.append(sent)
        serial = next(self.numbers)
        try:
            answer = await self.path.call(
                "POST",
                f"/{kind}/{serial}",
                host,
                headers,
                caller,
                content=b"%d" % serial,
            )
        except httpx.HTTPError:
            return
        sent.status, sent.body = answer.status_code, answer.text

    async def run(self, times, fatal=f"{FATAL}01", pause_s=RETRY_INTERVAL_S):
        """Send fatal requests to all hosts in turn, each beside a safe one."""
        async with anyio.create_task_group() as tasks:
            for number in range(times):
                host = self.hosts[number % len(self.hosts)]
                tasks.start_soon(self.send, self.fatal, number, host, fatal)
                await anyio.sleep(pause_s / 2)
                other = self.hosts[(number + 1) % len(self.hosts)]
                tasks.start_soon(self.send, self.safe, number, other)
                await anyio.sleep(pause_s / 2)


def make_crashing(path, how, crashes="after its head"):
    """Return the pool of a path, whose engines crash in the given way."""
    pool = CrashingPool(path, how)
    pool.reached_s = []
    for each in path.engines:
        each.crashes = crashes
    return pool
