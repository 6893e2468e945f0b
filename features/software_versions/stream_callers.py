"""Callers that take streams up again, and what is checked of their events."""

import itertools
import os
import re
from dataclasses import dataclass, field

import anyio
import httpx
from whole_path import NO_TLS

EVENTS = 10
"""Events of a whole stream."""

EVENT = re.compile(r"id: (\d+)\ndata: t(\d+) of (\S+)")
DEADLINE_S = 8.0
NUMBERS = itertools.count()


@dataclass
class Event:
    """An event, and the software whose server wrote it."""

    number: int
    software: str


@dataclass
class StreamTry:
    """One request of a stream's caller, and what came back."""

    call: str
    host: int
    headers: dict
    status: int | None = None
    retry_after_s: float = 0.0
    events: list[Event] = field(default_factory=list)
    is_whole: bool = False
    began_s: float = 0.0
    ended_s: float = 0.0

    @property
    def took_s(self):
        return self.ended_s - self.began_s


class StreamCaller:
    """Asks for one stream, and takes it up again as often as its story needs.

    Parameters
    ----------
    path : WholePath
        Whose hosts it calls.
    model : str
        Model, with an adapter after a slash.
    deadline_s : float
        How long it waits in all.
    """

    def __init__(self, path, model="base", deadline_s=DEADLINE_S):
        self._path = path
        self._model = model
        self._due_s = anyio.current_time() + deadline_s
        self._name = f"stream-{os.getpid()}-{next(NUMBERS)}"
        self.tries = []

    @property
    def events(self):
        return [event for each in self.tries for event in each.events]

    @property
    def versions(self):
        return {event.software for event in self.events}

    @property
    def is_whole(self):
        return bool(self.tries) and self.tries[-1].is_whole

    @property
    def first(self):
        """The try that brought the first event; None before it."""
        return next((each for each in self.tries if each.events), None)

    @property
    def left_s(self):
        return max(0.001, self._due_s - anyio.current_time())

    def has_events(self, count):
        return len(self.events) >= count

    async def ask(self, host, most=None, **headers):
        """Call a host; break the stream off once it has brought ``most`` events.

        Headers go before those that the caller sends by itself; None leaves one out.
        """
        call = f"{self._name}-{len(self.tries)}"
        sent = {**self._own_headers(call), **headers}
        sent = {name: value for name, value in sent.items() if value is not None}
        each = StreamTry(call, host, sent, began_s=anyio.current_time())
        self.tries.append(each)
        try:
            await self._read(each, most)
        except httpx.HTTPError:
            each.is_whole = False
        finally:
            each.ended_s = anyio.current_time()
        return each

    def _own_headers(self, call):
        headers = {
            "Host": "shop.example",
            "Request-Id": call,
            "Deadline-Ms": f"{max(1, round(self.left_s * 1000))}",
            "Model": self._model,
            "Token-Counts": "100,30",
        }
        if self.first is not None:
            headers["Last-Event-Id"] = f"{self.events[-1].number}"
            headers["Resumes"] = self.first.call
        return headers

    async def _read(self, each, most):
        url = f"http://127.0.0.1:{self._path.ports[each.host][0]}/draft/1"
        buffer = ""
        async with (
            httpx.AsyncClient(timeout=self.left_s, verify=NO_TLS) as client,
            client.stream(
                "POST", url, headers=each.headers, content=b"prompt"
            ) as answer,
        ):
            each.status = answer.status_code
            each.retry_after_s = float(answer.headers.get("Retry-After", 0))
            async for chunk in answer.aiter_text():
                *events, buffer = (buffer + chunk).split("\n\n")
                each.events += [read_event(event) for event in events]
                if most is not None and len(each.events) >= most:
                    return
        each.is_whole = each.status == 200 and self.has_events(EVENTS)


def read_event(text):
    number, written, software = EVENT.fullmatch(text).groups()
    assert number == written, text
    return Event(int(number), software)


def joined(callers):
    """Return the streams that hold events of two versions, over all their tries."""
    return [each for each in callers if len(each.versions) > 1]


def joined_in_one_answer(callers):
    """Return the tries whose one answer holds events of two versions."""
    return [
        each
        for caller in callers
        for each in caller.tries
        if len({event.software for event in each.events}) > 1
    ]


def gapped(callers):
    """Return the streams in which an event is missing or comes twice."""
    return [
        each
        for each in callers
        if [event.number for event in each.events]
        != list(range(1, len(each.events) + 1))
    ]


def went_on(callers):
    """Return the streams whose last try brought events, all of the first's version."""
    return [
        each for each in callers if each.tries[-1].events and len(each.versions) == 1
    ]


def describe(callers):
    """Return the events of streams by try, for the message of a failed check."""
    return [
        [
            (each.host, each.status, [f"{e.number} {e.software}" for e in each.events])
            for each in caller.tries
        ]
        for caller in callers
    ]
