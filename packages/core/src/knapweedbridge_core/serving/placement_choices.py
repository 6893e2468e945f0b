"""Request to a placement and its possible decisions."""

import math
from dataclasses import dataclass

from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.model_ref import ModelRef
from knapweedbridge_core.serving.named_versions import ServableVersions


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """Requirements of one call for its engine.

    Parameters
    ----------
    model : ModelRef
        Base model, or an adapter of it.
    versions : VersionsNow or None
        Versions of the adapter that may serve the call; None: any.
    data_centre : str
        Data centre of the daemon.
    tried : frozenset of str
        Endpoints that refused or failed the call.
    prompt_tokens : int
        Length of the prompt.
    max_wait_s : float
        Longest acceptable wait from now to the first event.
    """

    model: ModelRef
    versions: ServableVersions | None
    data_centre: str
    tried: frozenset[str] = frozenset()
    prompt_tokens: int = 0
    max_wait_s: float = math.inf


@dataclass(slots=True, frozen=True)
class SendTo:
    """Send the call to an engine that holds the model.

    Parameters
    ----------
    endpoint : Endpoint
        Destination.
    version : int or None
        Version that the engine must run the call on; None: any.
    copy_to : Endpoint or None
        Engine that should load a copy, for later calls.
    """

    endpoint: Endpoint
    version: int | None
    copy_to: Endpoint | None = None


@dataclass(slots=True, frozen=True)
class WaitFor:
    """Wait until an engine has loaded the model.

    Parameters
    ----------
    ready_s : float
        Expected end of the load, on the daemon's clock.
    """

    endpoint: Endpoint
    ready_s: float


@dataclass(slots=True, frozen=True)
class LoadOn:
    """Ask the engine's owner to load the model, which no engine holds."""

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
        Expected delay beyond the call's longest wait on the best engine, in seconds.
    best : Endpoint
        The engine with the least cost.
    instead : SendTo, WaitFor or LoadOn
        Decision that applies if the call is accepted nevertheless.
    load_s : float
        Part of the wait that is spent on loading the adapter, in seconds.
    """

    over_s: float
    best: Endpoint
    instead: SendTo | WaitFor | LoadOn
    load_s: float = 0.0


Choice = SendTo | WaitFor | LoadOn | NoEngine | TooLate
