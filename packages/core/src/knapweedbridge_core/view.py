"""What this daemon knows of the pool's endpoints, as their owners tell it."""

from dataclasses import dataclass, field

from knapweedbridge_core.messages import SlotsChanged
from knapweedbridge_core.names import AdapterVersion


@dataclass(slots=True)
class EndpointView:
    """The last word of an endpoint's owner."""

    owner: str
    number: int
    loaded: set[AdapterVersion]
    running: int


@dataclass(slots=True)
class View:
    """All endpoints of the pool."""

    endpoints: dict[str, EndpointView] = field(default_factory=dict)

    def changed(self, message: SlotsChanged) -> None:
        """Take an owner's word; one of an older owner is dropped."""
        held = self.endpoints.get(message.endpoint)
        if held is not None and held.number > message.number:
            return
        self.endpoints[message.endpoint] = EndpointView(
            message.owner, message.number, set(message.loaded), message.running
        )

    def holders(self, model: AdapterVersion) -> list[str]:
        """Name the endpoints that hold an adapter version."""
        return [name for name, view in self.endpoints.items() if model in view.loaded]
