"""What this daemon knows of the pool's endpoints, from their owners' updates."""

from dataclasses import dataclass, field

from knapweedbridge_core.messages import EndpointUpdate
from knapweedbridge_core.names import AdapterVersion


@dataclass(slots=True)
class EndpointView:
    """State of an endpoint as its owner last reported it."""

    owner: str
    number: int
    loaded: set[AdapterVersion]
    running: int


@dataclass(slots=True)
class View:
    """State of all endpoints of the pool."""

    endpoints: dict[str, EndpointView] = field(default_factory=dict)
    _holders: dict[AdapterVersion, dict[str, None]] = field(default_factory=dict)

    def apply_update(self, message: EndpointUpdate) -> None:
        """Apply an owner's update, unless a newer owner has already sent one."""
        held = self.endpoints.get(message.endpoint)
        if held is not None and held.number > message.number:
            return
        loaded = set(message.loaded)
        before = held.loaded if held is not None else set()
        for model in before - loaded:
            self._remove_holder(model, message.endpoint)
        for model in loaded - before:
            self._holders.setdefault(model, {})[message.endpoint] = None
        self.endpoints[message.endpoint] = EndpointView(
            message.owner, message.number, loaded, message.running
        )

    def sent(self, endpoint: str) -> None:
        """Count a request sent since the owner's last update."""
        self.endpoints[endpoint].running += 1

    def ended(self, endpoint: str) -> None:
        """Stop counting a request that this daemon sent."""
        view = self.endpoints.get(endpoint)
        if view is not None:
            view.running = max(0, view.running - 1)

    def holders(self, model: AdapterVersion) -> list[str]:
        """Return the endpoints that have an adapter version loaded."""
        return list(self._holders.get(model, ()))

    def copies(self, model: AdapterVersion) -> int:
        """Return the number of endpoints that have an adapter version loaded."""
        return len(self._holders.get(model, ()))

    def _remove_holder(self, model: AdapterVersion, endpoint: str) -> None:
        names = self._holders.get(model, {})
        names.pop(endpoint, None)
        if not names:
            self._holders.pop(model, None)
