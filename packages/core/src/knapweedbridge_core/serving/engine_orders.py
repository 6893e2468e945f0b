"""Orders, answers and reports, which an engine and its owner exchange."""

from dataclasses import dataclass
from enum import Enum

from knapweedbridge_core.serving.model_ref import ModelRef


class OrderKind(Enum):
    """Operation of an order."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderAnswer(Enum):
    """Answer of an engine to an order."""

    STARTED = "started"
    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class Order:
    """An order to an engine.

    Parameters
    ----------
    kind : OrderKind
        Load or unload.
    model : ModelRef
        A base model or an adapter.
    version : int
        Version of the adapter to load; 0: the newest.
    sequence : int
        Number of orders that the engine has accepted before; it refuses others.
    """

    kind: OrderKind
    model: ModelRef
    version: int
    sequence: int


@dataclass(slots=True, frozen=True)
class EngineReport:
    """State of an engine in its own report, which may be some hundred ms old.

    Parameters
    ----------
    sequence : int
        Number of orders accepted since its start.
    bases : tuple of str
        Base models held.
    adapters, coming : dict of ModelRef to int
        Versions of the adapters held, and of those being loaded.
    busy : bool
        Whether a base model is being loaded or unloaded.
    queued, running : int
        Numbers of queued and running calls.
    cache_used_tokens : int
        Tokens of memory that cannot be evicted.
    started_ms : int
        The start that the report is about; see `EndpointRecord`.
    """

    sequence: int
    bases: tuple[str, ...]
    adapters: dict[ModelRef, int]
    coming: dict[ModelRef, int]
    busy: bool = False
    queued: int = 0
    running: int = 0
    cache_used_tokens: int = 0
    started_ms: int = 0
