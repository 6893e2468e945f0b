"""Asks the daemons that count what runs at plain endpoints."""

import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field

import anyio

from knapweedbridge_core.serving import Endpoint, EndpointStart, PlainState
from knapweedbridge_core.serving.plain_messages import (
    PlainLoadRequest,
    PlainLoadResponse,
)
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.plain_load_server import load_coordinator
from knapweedbridge_daemon.serving.plain_version_probe import (
    NO_TICKET,
    VERSION_PROBE,
    PlainMessage,
)

SILENT_S = 1.0
"""How long a counting daemon that gave no answer is not asked: in that time one that
is gone is not listed any more, and another one counts."""

KNOWN_LIFE_S = 10.0
"""Age past which what was told of an endpoint is asked for again."""


@dataclass(slots=True, eq=False)
class Question:
    """The questions that one request waits for, by ticket, and their answers."""

    asked: dict[int, tuple[Endpoint, str]] = field(default_factory=dict)
    found: dict[str, PlainState] = field(default_factory=dict)
    answered: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True, frozen=True)
class Known:
    """What was told of an endpoint, and when."""

    heard_s: float
    state: PlainState


class PlainLoadClient:
    """Questions to the daemons that count, and what they answered.

    Parameters
    ----------
    hub : Hub
        Beliefs, which say who counts for which endpoint.
    send : callable
        Sends a message to a daemon, this one too.
    calls : mapping of EndpointStart to int
        Requests of this daemon at each endpoint.
    """

    def __init__(
        self, hub: Hub, send: Send, calls: Mapping[EndpointStart, int]
    ) -> None:
        self._hub = hub
        self._send = send
        self._calls = calls
        self._tickets = itertools.count(NO_TICKET + 1)
        self._questions: dict[int, Question] = {}
        self._known: dict[str, Known] = {}
        self._understanding: dict[str, int] = {}
        self._asked_not_before_s: dict[str, float] = {}

    def understands(self, daemon: str) -> bool:
        """Tell whether a daemon is known to be of a version that counts."""
        record = self._hub.cluster.daemons.get(daemon)
        known = self._understanding.get(daemon)
        return record is not None and known == record.incarnation

    def known(self) -> dict[str, PlainState]:
        """Return what was told of endpoints lately, by endpoint."""
        oldest_s = anyio.current_time() - KNOWN_LIFE_S
        for name, each in list(self._known.items()):
            if each.heard_s < oldest_s:
                del self._known[name]
        return {name: each.state for name, each in self._known.items()}

    async def ask(
        self, endpoints: list[Endpoint], until_s: float
    ) -> dict[str, PlainState]:
        """Ask what runs at some endpoints; return what was answered until a moment."""
        question = Question()
        for endpoint in endpoints:
            keeper = load_coordinator(self._hub, endpoint)
            if keeper is not None and await self._may_ask(keeper):
                ticket = next(self._tickets)
                question.asked[ticket] = endpoint, keeper
                self._questions[ticket] = question
        try:
            await self._await(question, until_s)
        finally:
            for ticket in question.asked:
                self._questions.pop(ticket, None)
        return question.found

    async def _await(self, question: Question, until_s: float) -> None:
        for ticket, (endpoint, keeper) in list(question.asked.items()):
            start = endpoint.start
            calls = self._calls.get(start, 0)
            asked = PlainLoadRequest(endpoint.name, start.started_ms, ticket, calls)
            await self._send(keeper, asked)
        if question.asked:
            with anyio.move_on_at(until_s):
                await question.answered.wait()
        for endpoint, keeper in question.asked.values():
            self._note_silent(endpoint, keeper)

    def _note_silent(self, endpoint: Endpoint, keeper: str) -> None:
        now_s = anyio.current_time()
        self._asked_not_before_s[keeper] = now_s + SILENT_S
        self._hub.metrics.count("plain_questions", "unanswered")
        self._hub.log.info("plain.unanswered", endpoint=endpoint.name, daemon=keeper)

    async def _may_ask(self, keeper: str) -> bool:
        now_s = anyio.current_time()
        if self._asked_not_before_s.get(keeper, now_s) > now_s:
            return False
        if self.understands(keeper):
            return True
        self._asked_not_before_s[keeper] = now_s + SILENT_S
        await self._send(keeper, VERSION_PROBE)
        # One that is this daemon has answered by now.
        return self.understands(keeper)

    def take(self, daemon: str, message: PlainMessage) -> bool:
        """Take an answer; False where a message is none."""
        if not isinstance(message, PlainLoadResponse):
            return False
        record = self._hub.cluster.daemons.get(daemon)
        if message.ticket == NO_TICKET:
            if record is not None:
                self._forget_missing()
                self._understanding[daemon] = record.incarnation
                self._asked_not_before_s.pop(daemon, None)
            return True
        question = self._questions.pop(message.ticket, None)
        if question is not None:
            self._take_answer(question, message)
        return True

    def _forget_missing(self) -> None:
        for known in (self._understanding, self._asked_not_before_s):
            for name in known.keys() - self._hub.cluster.daemons.keys():
                del known[name]

    def _take_answer(self, question: Question, message: PlainLoadResponse) -> None:
        endpoint, _ = question.asked.pop(message.ticket)
        calls = self._calls.get(endpoint.start, 0)
        running = message.others_calls + calls
        state = PlainState(running, message.work_s, message.typical_s)
        question.found[endpoint.name] = state
        self._known[endpoint.name] = Known(anyio.current_time(), state)
        self._hub.metrics.count("plain_questions", "answered")
        if not question.asked:
            question.answered.set()
