"""Entries of the platform's list of endpoints, and the start each is about."""

from dataclasses import dataclass, field

from knapweedbridge_core.serving.model_ref import ModelRef


@dataclass(slots=True, frozen=True)
class EndpointStart:
    """One start of an endpoint, which may start again under the same id.

    Parameters
    ----------
    started_ms : int
        See `EndpointRecord`.
    """

    endpoint: str
    started_ms: int

    def may_be(self, other: "EndpointStart") -> bool:
        """Return whether two starts may be the same, as far as they are known."""
        known = self.started_ms and other.started_ms
        same = not known or self.started_ms == other.started_ms
        return self.endpoint == other.endpoint and same

    def is_before(self, other: "EndpointStart") -> bool:
        """Return whether this is certainly an earlier start than another."""
        return 0 < self.started_ms < other.started_ms


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """The platform's entry for one endpoint.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    service : str
        Name of its service.
    address : str
        IP address and port.
    data_centre : str
        Its data centre.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it accepts no new work.
    bases : tuple of str
        Base models that it holds.
    adapters : dict of ModelRef to int
        Adapters that it holds, and their versions.
    started_ms : int
        Unix time of its start in milliseconds, which distinguishes starts under one
        id; 0 if not stated.
    software : str
        Version of its software. Events of two versions don't fit into one stream.
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
        """The start of the endpoint that this entry is about."""
        return EndpointStart(self.endpoint, self.started_ms)
