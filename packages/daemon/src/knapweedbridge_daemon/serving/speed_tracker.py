"""Learns the speed of one engine that this daemon owns, and tells of it."""

from knapweedbridge_core.serving import Endpoint, EngineController, SpeedReports
from knapweedbridge_core.serving.messages import CallsReport
from knapweedbridge_daemon.serving.hub import Hub

CHANGE = 1.2
"""Times by which a speed differs from the one that was logged last to be logged."""

LOOK_S = 1.0
"""Pause between looks at the speed for the log: an estimate takes 50 us."""


class SpeedTracker:
    """Feeds an engine's speed with what daemons report, if speeds are learnt.

    Parameters
    ----------
    hub : Hub
        What is known of the service's engines; log and measures.
    endpoint : Endpoint
        The engine. What its owner before published is where its speed begins.
    controller : EngineController
        Holds the speed for those that tell of it.
    """

    def __init__(
        self, hub: Hub, endpoint: Endpoint, controller: EngineController
    ) -> None:
        self._hub = hub
        self._endpoint = endpoint
        self._speed = controller.speed
        self._learns = hub.cluster.fleet.speeds.enabled
        if self._learns and endpoint.published_speed:
            self._speed.set_prior(endpoint.published_speed)
        service = endpoint.record.service
        self._reports = SpeedReports(hub.rates, service, controller.speed)
        self._logged = endpoint.published_speed or 1.0
        self._looked_s = float("-inf")
        self._in_spell = False

    def take(self, daemon: str, message: CallsReport, now_s: float) -> None:
        """Take what a daemon reports of the engine's responses."""
        if not (self._learns and (message.first_events or message.gaps)):
            return
        self._reports.take(daemon, message.first_events, message.gaps, now_s)
        self._hub.metrics.count("engine_observations")
        if now_s - self._looked_s >= LOOK_S:
            self._looked_s = now_s
            self._log_change()
        self._count_spell(now_s)

    def _log_change(self) -> None:
        speed = self._speed.speed
        if not speed or 1 / CHANGE < speed / self._logged < CHANGE:
            return
        self._hub.log.info(
            "engine.speed",
            engine=self._endpoint.name,
            speed=round(speed, 2),
            before=round(self._logged, 2),
            weight=round(self._speed.weight, 1),
        )
        self._logged = speed

    def _count_spell(self, now_s: float) -> None:
        before, self._in_spell = self._in_spell, self._speed.is_in_slow_period(now_s)
        if self._in_spell and not before:
            self._hub.metrics.count("engine_slow_spells")
