"""An endpoint as the platform lists it, and which of its starts that is about."""

from dataclasses import dataclass, field

from knapweedbridge_core.serving.model_ref import ModelRef


@dataclass(slots=True, frozen=True)
class EndpointStart:
    """One start of an endpoint: it may start again under the same id.

    Parameters
    ----------
    started_ms : int
        As in `EndpointRecord`.
    """

    endpoint: str
    started_ms: int

    def may_be(self, other: "EndpointStart") -> bool:
        """Tell whether two are one and the same, as far as is told of them."""
        told = self.started_ms and other.started_ms
        same = not told or self.started_ms == other.started_ms
        return self.endpoint == other.endpoint and same

    def is_before(self, other: "EndpointStart") -> bool:
        """Tell whether this is surely an earlier start than another."""
        return 0 < self.started_ms < other.started_ms


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """One endpoint as the platform lists it.

    Parameters
    ----------
    endpoint : str
        Id of this start of the endpoint.
    service : str
        Name of its service.
    address : str
        IP number and port.
    data_centre : str
        Where it stands.
    slots : int
        Requests it runs at once.
    leaving : bool
        Whether it takes no new work.
    bases : tuple of str
        Base models that it holds.
    adapters : dict of ModelRef to int
        Adapters that it holds, and their versions.
    started_ms : int
        Unix time of its start in milliseconds, which tells starts under one id apart;
        0 where it is not told.
    software : str
        Version of its software. Events of two versions do not fit into one stream.
    """

    endpoint: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    bases: tuple[str, ...] = ()
    adapters: dict[ModelRef, int] = field(default_factory=dict)
    started_ms: int = 0
    software: str = ""

    @property
    def start(self) -> EndpointStart:
        """Which start of which endpoint this is of."""
        return EndpointStart(self.endpoint, self.started_ms)
