"""An owner's records of its engine: places, requested adapters, daemons' calls."""

from dataclasses import dataclass

from knapweedbridge_core.serving.model_ref import ModelRef


@dataclass(slots=True)
class Place:
    """An adapter place of an engine that is taken.

    Parameters
    ----------
    ready_s, due_s : float
        Current and first expectation of the load's end.
    fetched_s : float or None
        When its fetch from the weight store began, if few loads ran then.
    tried_at_once : float
        Number of concurrent loads that its expected time assumes; see `LoadPlan`.
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
    """Calls of one daemon on the engine, and when it reported them."""

    calls: dict[ModelRef, int]
    unread_tokens: int
    heard_s: float
