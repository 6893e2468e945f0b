"""Speeds that owners publish, in times of the usual engine of the service.

Owners compare an engine with forecasts that each of them learns, and those may all be
too long or too short. So what they publish is divided by the median of the service.
"""

from collections.abc import Collection
from dataclasses import dataclass
from statistics import median

from knapweedbridge_core.serving.endpoint import Endpoint
from knapweedbridge_core.serving.engine_speed import UNKNOWN, relative_speed

USUAL_PAUSE_S = 0.5
"""Pause between two computations of a service's median: it moves in seconds."""

KNOWN_LEAST = 0.5
"""Part of a service's engines whose speed must be known for their median to count."""


@dataclass(slots=True)
class _Usual:
    speed: float
    computed_s: float


class ServiceSpeeds:
    """The usual speed of each service, and what follows for its engines.

    Attributes
    ----------
    enabled : bool
        Whether speeds are used; if not, `Endpoint.speed` stays unknown.
    """

    def __init__(self) -> None:
        self.enabled = True
        self._usual: dict[str, _Usual] = {}

    def take(
        self,
        endpoint: Endpoint,
        published: float,
        engines: Collection[Endpoint],
        now_s: float,
    ) -> None:
        """Take what an owner published of its engine's speed.

        Parameters
        ----------
        engines : collection of Endpoint
            All engines of the service.
        """
        # Kept in any case: a relay hands it on to daemons that use it.
        endpoint.published_speed = published
        if not self.enabled:
            return
        usual = self._usual_of(endpoint.record.service, engines, now_s)
        endpoint.speed = relative_speed(published, usual)

    def _usual_of(
        self, service: str, engines: Collection[Endpoint], now_s: float
    ) -> float:
        known = self._usual.get(service)
        if known is None or now_s - known.computed_s >= USUAL_PAUSE_S:
            known = self._usual[service] = _Usual(_median(engines), now_s)
        return known.speed


def _median(engines: Collection[Endpoint]) -> float:
    speeds = [each.published_speed for each in engines if each.published_speed]
    if len(speeds) < KNOWN_LEAST * len(engines):
        return UNKNOWN
    return median(speeds) if speeds else UNKNOWN
