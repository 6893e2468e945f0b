"""Estimate and log the speed of one engine that this daemon owns."""

from knapweedbridge_core.serving import Endpoint, EngineController, SpeedReports
from knapweedbridge_core.serving.messages import CallsReport
from knapweedbridge_daemon.serving.hub import Hub

LOG_FACTOR = 1.2
"""Factor by which the speed must differ from the last logged one to be logged."""

LOG_CHECK_INTERVAL_S = 1.0
"""Interval between checks of the speed for the log: an estimate takes 50 us."""


class SpeedTracker:
    """Updates an engine's speed by the reports of daemons, if speeds are learnt.

    Parameters
    ----------
    hub : Hub
        Rates of the service's engines; log and metrics.
    endpoint : Endpoint
        The engine. The speed that its last owner published is the prior.
    controller : EngineController
        Holds the estimated speed.
    """

    def __init__(
        self, hub: Hub, endpoint: Endpoint, controller: EngineController
    ) -> None:
        self._hub = hub
        self._endpoint = endpoint
        self._speed = controller.speed
        self._is_enabled = hub.cluster.fleet.speeds.enabled
        if self._is_enabled and endpoint.published_speed:
            self._speed.set_prior(endpoint.published_speed)
        service = endpoint.record.service
        self._reports = SpeedReports(hub.rates, service, controller.speed)
        self._logged_speed = endpoint.published_speed or 1.0
        self._checked_s = float("-inf")
        self._was_slow = False

    def take(self, daemon: str, message: CallsReport, now_s: float) -> None:
        """Record a daemon's report of the engine's responses."""
        if not (self._is_enabled and (message.first_events or message.gaps)):
            return
        self._reports.take(daemon, message.first_events, message.gaps, now_s)
        self._hub.metrics.count("engine_observations")
        if now_s - self._checked_s >= LOG_CHECK_INTERVAL_S:
            self._checked_s = now_s
            self._log_change()
        self._count_slow_period(now_s)

    def _log_change(self) -> None:
        speed = self._speed.speed
        if not speed or 1 / LOG_FACTOR < speed / self._logged_speed < LOG_FACTOR:
            return
        self._hub.log.info(
            "engine.speed",
            engine=self._endpoint.name,
            speed=round(speed, 2),
            before=round(self._logged_speed, 2),
            weight=round(self._speed.weight, 1),
        )
        self._logged_speed = speed

    def _count_slow_period(self, now_s: float) -> None:
        before, self._was_slow = self._was_slow, self._speed.is_in_slow_period(now_s)
        if self._was_slow and not before:
            self._hub.metrics.count("engine_slow_spells")
