"""Callers of the soak: plain calls, and drafts that are taken up elsewhere."""

import os
import random
from collections import Counter
from dataclasses import dataclass, field

import anyio
import httpx
from soak_checks import DEADLY, EVENTS, PART, StreamEvents
from soak_pool import Pool

CLIENTS = 12
ADAPTERS = 16
DEADLINE_S = 4.0
LEAST_LEFT_S = 0.5
"""Time below which a caller does not try once more."""

TRIES_AGAIN = 3
SENDERS = ("127.0.0.2", "127.0.0.3")
"""Addresses of the caller of a deadly request, and of one that sends the same."""

BREAKS = 0.3
"""Share of first answers whose connection breaks between the host and its caller."""


class BrokenOnTheWayError(Exception):
    """The connection between a host and its caller broke."""


@dataclass(slots=True)
class Draft:
    """A stream over all tries of its caller.

    Parameters
    ----------
    call : str
        Id of the first try.
    begun_by : str
        Id of the try that brought the first event; empty: none has.
    host : str
        Where the last try went.
    breaks_at : int
        Number of events after which its first connection breaks.
    """

    call: str
    model: str
    until_s: float
    events: StreamEvents
    begun_by: str = ""
    host: str = ""
    breaks_at: int = EVENTS
    tries: int = field(default=0)

    @property
    def left_s(self) -> float:
        """Time until the caller's deadline."""
        return self.until_s - anyio.current_time()

    def next_call(self) -> str:
        """Return the id of the next try."""
        self.tries += 1
        return self.call if self.tries == 1 else f"{self.call}-t{self.tries}"


class Callers:
    """Call a pool's hosts, and check the answers.

    Streams are taken up where the pool releases software.
    """

    def __init__(self, pool: Pool) -> None:
        self.outcomes: Counter[str] = Counter()
        self._pool = pool
        self._watched = pool.watched
        self._shares = pool.shares

    async def call_on(self, client: int, until_s: float) -> None:
        """Call until a moment, as one client."""
        luck = random.Random(client)
        number = 0
        async with httpx.AsyncClient(timeout=6) as http:
            while anyio.current_time() < until_s:
                number += 1
                kind = luck.choice(["look", "order", "draft", "draft"])
                call = f"{kind}-{os.getpid()}-{client}-{number}"
                if kind == "draft" and self._pool.releases:
                    await self._draft(http, luck, call)
                else:
                    await self.one_call(http, luck, kind, call)
                await anyio.sleep(luck.uniform(0, 0.1))

    async def repeat_deadly(self, number: int, until_s: float) -> None:
        """Send a request that ends endpoints again and again, by any host.

        Another caller sends the same one, which does no harm.
        """
        luck = random.Random(f"deadly {number}")
        kind = luck.choice(["look", "order", "draft"])
        body = luck.choice([b"", b"a body of some length"])
        asked = f"{DEADLY}-{os.getpid()}-{number}"
        turn = 0
        ways = [httpx.AsyncHTTPTransport(local_address=each) for each in SENDERS]
        async with (
            httpx.AsyncClient(timeout=6, transport=ways[0]) as deadly,
            httpx.AsyncClient(timeout=6, transport=ways[1]) as innocent,
        ):
            while anyio.current_time() < until_s:
                turn += 1
                name = luck.choice(sorted(self._pool.ports))
                call = f"{asked}-{turn}"
                self._watched.taken_by[call] = name
                url = self._url(name, kind, asked)
                await self._send(deadly, url, call, body)
                await anyio.sleep(luck.uniform(0.2, 1.0))
                answer = await self._send(innocent, url, f"like-{call}", body)
                self._pool.deadly.served[answer] += 1

    async def repeat_part(self, number: int, until_s: float) -> None:
        """Send requests that share a part which ends engines, by any host.

        No two are alike. Sound ones share their caller and all else of their prompts.
        """
        luck = random.Random(f"part {number}")
        asked = f"{DEADLY}-{PART}-{os.getpid()}-{number}"
        turn = 0
        way = httpx.AsyncHTTPTransport(local_address=SENDERS[0])
        async with httpx.AsyncClient(timeout=6, transport=way) as http:
            while anyio.current_time() < until_s:
                turn += 1
                own = f"{os.getpid():x}{number:x}{turn:04x}"
                for call, part in (
                    (f"{asked}-{turn}", f"dead{number}"),
                    (f"sound-{asked}-{turn}", f"bb{turn % 3}"),
                ):
                    name = luck.choice(sorted(self._pool.ports))
                    self._watched.taken_by[call] = name
                    url = self._url(name, "draft", call)
                    prompt = f"aa{number}:50,{part}:30,cc{own}:20"
                    answer = await self._send(http, url, call, call.encode(), prompt)
                    if part.startswith("bb"):
                        self._pool.deadly.count_sound(name, answer)
                    await anyio.sleep(luck.uniform(0.1, 0.5))

    @staticmethod
    async def _send(http, url: str, call: str, body: bytes, prompt: str = "") -> str:
        headers = headers_of(call, "base/a1")
        if prompt:
            headers["Prompt-Prefix"] = prompt
        if "/draft/" not in url:
            del headers["Model"]
        try:
            response = await http.post(url, headers=headers, content=body)
        except httpx.HTTPError as error:
            return type(error).__name__
        return str(response.status_code)

    async def one_call(self, http, luck, kind: str, call: str) -> str:
        """Make a call, and return its status or how it failed."""
        name = luck.choice(sorted(self._pool.ports))
        side = self._pool.cuts.side_of(name)
        self._watched.taken_by[call] = name
        headers = headers_of(call, f"base/a{luck.randrange(ADAPTERS)}")
        if kind != "draft":
            del headers["Model"]
        try:
            url = self._url(name, kind, call)
            response = await http.post(url, headers=headers, content=b"prompt")
        except httpx.HTTPError as error:
            outcome = type(error).__name__
        else:
            outcome = str(response.status_code)
            self._check_answer(kind, call, response)
        self.outcomes[outcome] += 1
        self._pool.cuts.count(side, outcome)
        return outcome

    def _url(self, name: str, kind: str, asked: str) -> str:
        return f"http://127.0.0.1:{self._pool.ports[name][0]}/{kind}/{asked}"

    def _check_answer(self, kind: str, call: str, response) -> None:
        self._check_head(call, response, kind == "order")
        if response.status_code == 200 and kind == "draft":
            lines = response.text.splitlines()
            ids = [line for line in lines if line[:3] == "id:"]
            if ids != [f"id: {n}" for n in range(1, EVENTS + 1)]:
                self._watched.broken(f"{call}: events {ids}")

    def _check_head(self, call: str, response, may_not_have_run: bool) -> None:
        if response.status_code in (429, 503):
            self._watched.refused.add(call)
            if may_not_have_run and self._watched.runs[call]:
                self._watched.broken(f"{call} was said not to have run, and had")
        if response.status_code == 200 and "Response-Seal" not in response.headers:
            self._watched.broken(f"{call}: a success that no endpoint signed")

    async def _draft(self, http, luck, call: str) -> None:
        """Read a stream, and take it up elsewhere where it breaks off."""
        model = f"base/a{luck.randrange(ADAPTERS)}"
        until_s = anyio.current_time() + DEADLINE_S
        draft = Draft(call, model, until_s, StreamEvents(self._watched, call))
        if luck.random() < BREAKS:
            draft.breaks_at = luck.randrange(1, EVENTS)
        side, outcome = await self._try(http, luck, draft)
        if outcome != BrokenOnTheWayError.__name__:
            self._pool.cuts.count(side, outcome)
        while draft.tries <= TRIES_AGAIN and not draft.events.are_all:
            if luck.random() < 0.5:
                await anyio.sleep(luck.uniform(0.1, 1.0))
            if draft.left_s < LEAST_LEFT_S:
                break
            await self._try(http, luck, draft)
        if draft.events.count:
            self._shares.taken_up["whole" if draft.events.are_all else "part"] += 1

    async def _try(self, http, luck, draft: Draft) -> tuple[str, str]:
        """Make one try; return with which hosts it counts, and how it ended."""
        hosts = sorted(self._pool.ports)
        others = [name for name in hosts if name != draft.host]
        draft.host = luck.choice(others or hosts)
        side = self._pool.cuts.side_of(draft.host)
        kind, count = "taken up" if draft.begun_by else "new", draft.events.count
        is_compared = self._is_compared(draft)
        outcome = await self._read(http, draft)
        self.outcomes[outcome] += 1
        has_come = draft.events.count > count
        if kind == "taken up":
            self._shares.taken_up[kind] += 1
            told = "gone on" if has_come else f"not: {outcome}"
            self._shares.taken_up[told] += 1
        if is_compared and self._is_compared(draft):
            self._shares.count(kind, has_come)
        return side, outcome

    def _is_compared(self, draft: Draft) -> bool:
        """Return whether a try counts for the shares as things are now."""
        if not self._pool.host_is_well(draft.host):
            return False
        return self._pool.serving(draft.events.software) >= 2

    async def _read(self, http, draft: Draft) -> str:
        call = draft.next_call()
        self._watched.taken_by[call] = draft.host
        headers = headers_of(call, draft.model, draft.left_s)
        if draft.begun_by:
            headers["Resumes"] = draft.begun_by
            headers["Last-Event-Id"] = str(draft.events.count)
        url = self._url(draft.host, "draft", draft.call)
        try:
            with anyio.fail_after(draft.left_s):
                async with http.stream(
                    "POST", url, headers=headers, content=b"prompt"
                ) as response:
                    return await self._read_answer(draft, call, response)
        except (httpx.HTTPError, TimeoutError, BrokenOnTheWayError) as error:
            return type(error).__name__

    async def _read_answer(self, draft: Draft, call: str, response) -> str:
        self._check_head(call, response, bool(draft.begun_by))
        if response.status_code != 200:
            await response.aread()
            return str(response.status_code)
        event: dict[str, str] = {}
        async for line in response.aiter_lines():
            name, _, value = line.partition(": ")
            if name:
                event[name] = value
                continue
            draft.events.take(call, event.get("id", ""), event.get("data", ""))
            draft.begun_by = draft.begun_by or call
            event = {}
            if draft.tries == 1 and draft.events.count == draft.breaks_at < EVENTS:
                raise BrokenOnTheWayError
        if not draft.events.are_all:
            self._watched.broken(f"{call}: ended whole after {draft.events.count}")
        return "200"


def headers_of(call: str, model: str, left_s: float = DEADLINE_S) -> dict[str, str]:
    """Return the headers of a call."""
    return {
        "Host": "shop.example",
        "Request-Id": call,
        "Deadline-Ms": str(int(left_s * 1000)),
        "Model": model,
        "Token-Counts": "100,30",
    }
