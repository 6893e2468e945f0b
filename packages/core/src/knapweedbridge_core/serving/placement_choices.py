"""What a call asks of a placement, and what it may be told."""

import math
from dataclasses import dataclass

from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.model_ref import ModelRef
from knapweedbridge_core.serving.named_versions import ServableVersions


@dataclass(slots=True, frozen=True)
class PlacementAsk:
    """What one call wants of an engine.

    Parameters
    ----------
    model : ModelRef
        Base model, or an adapter of it.
    versions : ServableVersions or None
        Versions of the adapter that may serve it; None: any.
    data_centre : str
        Where the daemon stands.
    tried : frozenset of str
        Endpoints that refused or failed it.
    prompt_tokens : int
        Length of its prompt.
    patience_s : float
        Longest wait from now to its first event that is worth while.
    """

    model: ModelRef
    versions: ServableVersions | None
    data_centre: str
    tried: frozenset[str] = frozenset()
    prompt_tokens: int = 0
    patience_s: float = math.inf


@dataclass(slots=True, frozen=True)
class SendTo:
    """The engine holds the model: send the call there.

    Parameters
    ----------
    endpoint : Endpoint
        Where to.
    version : int or None
        Version that the engine must run it on; None: any.
    copy_to : Endpoint or None
        Engine that should load a copy, for calls to come.
    """

    endpoint: Endpoint
    version: int | None
    copy_to: Endpoint | None = None


@dataclass(slots=True, frozen=True)
class WaitFor:
    """The model is on its way to an engine: wait until then.

    Parameters
    ----------
    ready_s : float
        When it is expected there, on the daemon's clock.
    """

    endpoint: Endpoint
    ready_s: float


@dataclass(slots=True, frozen=True)
class LoadOn:
    """No engine holds the model: its owner is to load it."""

    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class NoEngine:
    """No engine can hold the model now."""


@dataclass(slots=True, frozen=True)
class TooLate:
    """No engine is expected to answer in time.

    Parameters
    ----------
    over_s : float
        By how much the best one would be late, in seconds.
    best : Endpoint
        That one.
    instead : SendTo, WaitFor or LoadOn
        What becomes of the call where it is taken all the same.
    load_s : float
        Part of the wait there that is for the adapter's load, in seconds.
    """

    over_s: float
    best: Endpoint
    instead: SendTo | WaitFor | LoadOn
    load_s: float = 0.0


Choice = SendTo | WaitFor | LoadOn | NoEngine | TooLate
