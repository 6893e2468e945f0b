"""What a whole run records: one JSON line a record, times in wall-clock seconds."""

import json
from dataclasses import asdict, dataclass, field, fields
from enum import StrEnum
from typing import Any, TypeVar


class Outcome(StrEnum):
    """How a request ended, as its caller saw it.

    ``REFUSED``: no connection stood, so nothing was sent. ``BROKEN``: the
    connection ended without a final answer. ``UNANSWERED``: the caller gave up
    after the deadline and a grace.
    """

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    BROKEN = "broken"
    UNANSWERED = "unanswered"


class Answer(StrEnum):
    """What the answer's text was beside the one right answer."""

    RIGHT = "right"
    PART = "part"
    WRONG = "wrong"
    NONE = "none"


T = TypeVar("T", bound="type[Record]")
_KINDS: dict[str, "type[Record]"] = {}


class Record:
    """One line of a history."""

    __slots__ = ()
    kind = ""

    def line(self) -> str:
        """Return the record as a JSON line."""
        return json.dumps({"kind": self.kind, **asdict(self)})  # type: ignore[call-overload]


def _record(kind: str) -> Any:
    def register(cls: T) -> T:
        cls.kind = kind
        _KINDS[kind] = cls
        return cls

    return register


@_record("request")
@dataclass(slots=True, frozen=True)
class RequestEnded(Record):
    """One request of a caller.

    Parameters
    ----------
    nonce : str
        Text that only this piece of work holds; a repeat of it holds the same.
    model : str
        Adapter version asked for; empty for a plain call.
    """

    nonce: str
    caller: str
    host: str
    model: str
    streamed: bool
    non_idempotent: bool
    began_s: float
    ended_s: float
    outcome: Outcome
    answer: Answer
    reason: str = ""
    request_id: str = ""
    key: str = ""
    first_token_s: float = 0.0


@_record("run")
@dataclass(slots=True, frozen=True)
class RunSeen(Record):
    """An endpoint began to run a request."""

    by: str
    at_s: float
    prompt: str
    request: str = ""
    attempt: str = ""
    model: str = ""
    key: str = ""


@_record("order")
@dataclass(slots=True, frozen=True)
class OrderSeen(Record):
    """An engine received an order.

    Parameters
    ----------
    old : bool
        Whether its fencing number was lower than one seen before.
    """

    by: str
    at_s: float
    order: str
    model: str
    number: int
    old: bool
    accepted: bool


@_record("evicted_while_running")
@dataclass(slots=True, frozen=True)
class EvictedWhileRunning(Record):
    """An engine evicted an adapter that served attempts with a reader."""

    by: str
    at_s: float
    model: str
    attempts: list[str] = field(default_factory=list)


@_record("engine_started")
@dataclass(slots=True, frozen=True)
class EngineStarted(Record):
    """An engine started cold."""

    by: str
    at_s: float
    incarnation: int


@_record("generation")
@dataclass(slots=True, frozen=True)
class GenerationSeen(Record):
    """A daemon said which generation is in force on it.

    Parameters
    ----------
    start : int
        Counts the starts of the host.
    started_s : float
        When it started.
    """

    host: str
    start: int
    started_s: float
    at_s: float
    generation: int


@_record("accepted")
@dataclass(slots=True, frozen=True)
class Accepted(Record):
    """An operator was told that a generation is accepted."""

    operator: str
    at_s: float
    generation: int


@_record("fault")
@dataclass(slots=True, frozen=True)
class Fault(Record):
    """A fault that the run brought about."""

    name: str
    target: str
    began_s: float
    ended_s: float


@_record("leaving")
@dataclass(slots=True, frozen=True)
class Leaving(Record):
    """An endpoint was marked as leaving, until it was marked live again."""

    endpoint: str
    began_s: float
    ended_s: float


@_record("stopped")
@dataclass(slots=True, frozen=True)
class Stopped(Record):
    """A daemon was stopped gracefully."""

    host: str
    began_s: float
    ended_s: float
    exit_code: int


def read_record(line: str) -> Record | None:
    """Return the record of a line; None for a kind that no rule reads."""
    values = json.loads(line)
    cls = _KINDS.get(values.pop("kind"))
    if cls is None:
        return None
    allowed = {field.name for field in fields(cls)}  # type: ignore[arg-type]
    return cls(**{name: held for name, held in values.items() if name in allowed})
