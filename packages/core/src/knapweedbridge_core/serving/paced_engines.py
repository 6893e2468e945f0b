"""Index of the engines whose streams have paused, by service."""

from collections import defaultdict

from knapweedbridge_core.serving.endpoint import Endpoint


class PacedEngines:
    """Index that is updated with each owner's update, as every message reads it."""

    def __init__(self) -> None:
        self._paced: dict[str, dict[str, Endpoint]] = defaultdict(dict)

    def note(self, endpoint: Endpoint) -> None:
        """Update an engine after an update of its owner."""
        if endpoint.pace_scale:
            self._paced[endpoint.record.service][endpoint.name] = endpoint
        else:
            self.forget(endpoint)

    def forget(self, endpoint: Endpoint) -> None:
        """Remove an engine that is gone, or whose streams have not paused."""
        self._paced[endpoint.record.service].pop(endpoint.name, None)

    def scales(self, excluded: Endpoint, now_s: float) -> list[float]:
        """Return the scales of the other engines of an engine's service.

        Only of engines that accept new work; see `WindowPacing.adopt_scales`.
        """
        return [
            endpoint.pace_scale
            for endpoint in self._paced[excluded.record.service].values()
            if endpoint is not excluded and endpoint.accepts_work(now_s)
        ]
