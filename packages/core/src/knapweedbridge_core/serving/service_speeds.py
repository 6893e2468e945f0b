"""Published speeds of engines, relative to the usual engine of their service.

Owners compare an engine with forecasts that each of them learns, which may all be too
long or too short. So the published speeds are divided by the median of the service.
"""

from collections.abc import Collection
from dataclasses import dataclass
from statistics import median

from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.engine_speed import UNKNOWN_SPEED, relative_speed

MEDIAN_INTERVAL_S = 0.5
"""Pause between two computations of a service's median, which changes over seconds."""

MIN_KNOWN_SHARE = 0.5
"""Share of a service's engines whose speed must be known for a valid median."""


@dataclass(slots=True)
class _Median:
    speed: float
    computed_s: float


class ServiceSpeeds:
    """Usual speed of each service, and the relative speeds of its engines.

    Attributes
    ----------
    enabled : bool
        Whether speeds are used; if not, `Endpoint.speed` stays unknown.
    """

    def __init__(self) -> None:
        self.enabled = True
        self._medians: dict[str, _Median] = {}

    def take(
        self,
        endpoint: Endpoint,
        published: float,
        engines: Collection[Endpoint],
        now_s: float,
    ) -> None:
        """Apply an engine's speed that its owner published.

        Parameters
        ----------
        engines : collection of Endpoint
            All engines of the service.
        """
        # Stored in any case: a relay forwards it to daemons that use it.
        endpoint.published_speed = published
        if not self.enabled:
            return
        usual = self._usual_speed(endpoint.record.service, engines, now_s)
        endpoint.speed = relative_speed(published, usual)

    def _usual_speed(
        self, service: str, engines: Collection[Endpoint], now_s: float
    ) -> float:
        known = self._medians.get(service)
        if known is None or now_s - known.computed_s >= MEDIAN_INTERVAL_S:
            known = self._medians[service] = _Median(_median(engines), now_s)
        return known.speed


def _median(engines: Collection[Endpoint]) -> float:
    speeds = [each.published_speed for each in engines if each.published_speed]
    if len(speeds) < MIN_KNOWN_SHARE * len(engines):
        return UNKNOWN_SPEED
    return median(speeds) if speeds else UNKNOWN_SPEED
