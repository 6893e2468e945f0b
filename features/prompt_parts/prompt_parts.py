"""Engines that one part of a prompt crashes, and callers whose prompts share parts."""

import itertools
from dataclasses import dataclass, field

import anyio
import httpx
from crashing import CRASHES_AFTER_S, CrashingEngine, CrashingPool
from standins import header
from whole_path import WholePath

ENGINES = 6
FIRST = "aa00:50"
"""Part that begins all prompts."""

DEADLY = "dead"
"""Begins the ids of parts that crash engines; a last part does no harm."""

COMES_AGAIN_S = 0.15
EVENT = b"id: 1\ndata: t1\n\n"


def parts_of(request):
    """Return the ids of the parts of a request's prompt."""
    listed = header(request, "Prompt-Prefix") or ""
    return [part.partition(":")[0] for part in listed.split(",") if part]


class PartCrashingEngine(CrashingEngine):
    """An engine that ends as it begins to write an answer on a deadly part."""

    ends = "after its head"

    async def answer(self, request, responder, behaviour):
        is_own = header(request, "Expect-Instance") in (None, self.name)
        is_deadly = any(each.startswith(DEADLY) for each in parts_of(request)[:-1])
        if is_own and is_deadly and self._would_run(request):
            self.pool.reached_s.append(anyio.current_time())
            await anyio.sleep(CRASHES_AFTER_S)
            await self._begin(request, responder)
            self.pool.crash(self)
            await anyio.sleep_forever()
        await super().answer(request, responder, behaviour)

    async def _begin(self, request, responder):
        from knapweedbridge_daemon.serving.wire import ResponseHead

        if self.ends == "before its head":
            return
        kind = [(b"Content-Type", b"text/event-stream")]
        await responder.start(ResponseHead(200, self.sealed(request) + kind))
        if self.ends == "after an event":
            await responder.send(EVENT)
        await anyio.sleep(CRASHES_AFTER_S)


class PartsPath(WholePath):
    """A whole path with some more engines, which deadly parts end."""

    engine_kind = PartCrashingEngine

    def __init__(self, stack, tasks):
        super().__init__(stack, tasks)
        names = [f"engine-{number}" for number in range(1, ENGINES + 1)]
        self.engines = [self.engine_kind(name, "llm") for name in names]


@dataclass
class Sent:
    """One request, and its answer."""

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
    """Requests with deadly parts, and sound ones that share all else with them.

    Parameters
    ----------
    places : int
        Parts between the first and the last one.
    place : int
        Which of all parts is the deadly one.
    """

    path: WholePath
    hosts: tuple
    places: int = 1
    place: int = 1
    deadly: list = field(default_factory=list)
    sound: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    def prompt(self, number, deadly=None):
        """Return the parts of a prompt; no two end alike."""
        middle = [f"bb{place}{number % 3}:30" for place in range(self.places)]
        parts = [FIRST, *middle, f"cc{number:04x}:20"]
        if deadly is not None:
            parts[self.place] = f"{deadly}:30"
        return ",".join(parts)

    async def warm_up(self):
        """Have each adapter loaded, and each part answered somewhere."""
        for number in range(6):
            await self.send(self.sound, number, self.hosts[0])
        self.sound.clear()

    async def send(self, kept, number, host, deadly=None):
        """Send one request: no two are alike, and callers and adapters vary."""
        kind = ("draft", "note")[number % 2]
        headers = {
            "Deadline-Ms": "2500",
            "Model": f"base/a{number % 2 + 1}",
            "Token-Counts": "100,30",
            "Prompt-Prefix": self.prompt(number, deadly),
        }
        caller = f"127.0.0.{number % 3 + 10}"
        sent = Sent(anyio.current_time(), host)
        kept.append(sent)
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

    async def come(self, times, deadly=f"{DEADLY}01", pause_s=COMES_AGAIN_S):
        """Send deadly requests by all hosts in turn, each beside a sound one."""
        async with anyio.create_task_group() as tasks:
            for number in range(times):
                host = self.hosts[number % len(self.hosts)]
                tasks.start_soon(self.send, self.deadly, number, host, deadly)
                await anyio.sleep(pause_s / 2)
                other = self.hosts[(number + 1) % len(self.hosts)]
                tasks.start_soon(self.send, self.sound, number, other)
                await anyio.sleep(pause_s / 2)


def crash_by_parts(path, how, ends="after its head"):
    """Return the pool of a path whose engines end in one way."""
    pool = CrashingPool(path, how)
    pool.reached_s = []
    for each in path.engines:
        each.ends = ends
    return pool
