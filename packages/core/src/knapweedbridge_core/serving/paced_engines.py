"""The engines whose streams have shown a pause, by service."""

from collections import defaultdict

from knapweedbridge_core.serving.endpoint import Endpoint


class PacedEngines:
    """Kept up to date as owners tell, as every message to an owner asks for them."""

    def __init__(self) -> None:
        self._paced: dict[str, dict[str, Endpoint]] = defaultdict(dict)

    def note(self, endpoint: Endpoint) -> None:
        """Take what an owner has just told of its engine."""
        if endpoint.pace_scale:
            self._paced[endpoint.record.service][endpoint.name] = endpoint
        else:
            self.forget(endpoint)

    def forget(self, endpoint: Endpoint) -> None:
        """Take that an engine is gone, or has shown no pause."""
        self._paced[endpoint.record.service].pop(endpoint.name, None)

    def scales(self, but: Endpoint, now_s: float) -> list[float]:
        """Return what pauses have shown of the other engines of an engine's service.

        Of those that may take new work; see `WindowPacing.heard`.
        """
        return [
            endpoint.pace_scale
            for endpoint in self._paced[but.record.service].values()
            if endpoint is not but and endpoint.accepts_work(now_s)
        ]
