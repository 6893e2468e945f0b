"""What an owner keeps of its engine: places, wishes for adapters, daemons' calls."""

from dataclasses import dataclass

from knapweedbridge_core.serving.model_ref import ModelRef


@dataclass(slots=True)
class Place:
    """One place of an engine that is taken.

    Parameters
    ----------
    ready_s, due_s : float
        When it is taken to be there, and when that was expected at first.
    fetched_s : float or None
        When its load from the weight store began, where few were on their way.
    tried_at_once : float
        Loads that its time was planned to be served with; see `LoadPlan`.
    """

    version: int
    ready_s: float
    used_s: float
    fetched_s: float | None = None
    leaving: bool = False
    tried_at_once: float = 0.0
    due_s: float = 0.0

    def __post_init__(self) -> None:
        self.due_s = self.ready_s


@dataclass(slots=True)
class AdapterRequest:
    """An adapter that daemons wait for."""

    version: int
    asked_s: float
    again_s: float


@dataclass(slots=True)
class DaemonCalls:
    """Calls of one daemon on the engine, and when it told of them."""

    calls: dict[ModelRef, int]
    unread_tokens: int
    heard_s: float
