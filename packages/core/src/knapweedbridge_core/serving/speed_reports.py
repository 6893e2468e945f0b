"""Daemons' reports of an engine's response times, compared with the usual engine's."""

import math
from collections.abc import Sequence

from knapweedbridge_core.serving.engine_rates import EngineRates
from knapweedbridge_core.serving.engine_speed import EngineSpeed

MAX_FIRST_EVENTS = 8
"""First events per report: an engine of 12 slots begins fewer in a second."""


class SpeedReports:
    """Updates an engine's speed from the reports of daemons.

    Parameters
    ----------
    rates : EngineRates
        The owner's forecasts for the service's usual engine.
    """

    def __init__(self, rates: EngineRates, service: str, speed: EngineSpeed) -> None:
        self._rates = rates
        self._service = service
        self._speed = speed

    def take(
        self,
        daemon: str,
        first_events: Sequence[Sequence[float]],
        gaps: Sequence[float],
        now_s: float,
    ) -> None:
        """Add one daemon's report.

        Parameters
        ----------
        first_events : sequence of [prompt_tokens, unread_tokens, took_s]
            Times from sending a prompt to its first event.
        gaps : sequence of [count, total_s]
            Number and sum of the gaps between events; may be empty.
        """
        for prompt_tokens, unread_tokens, took_s in first_events[:MAX_FIRST_EVENTS]:
            usual_s = self._rates.usual_first_event_s(
                self._service, prompt_tokens, unread_tokens
            )
            if usual_s is not None:
                self._speed.record_first_event(daemon, took_s / usual_s, now_s)
        if not gaps or not math.isfinite(gaps[0]) or gaps[0] < 1:
            return
        usual_s = self._rates.usual_gap_s(self._service)
        if usual_s:
            ratio = gaps[1] / gaps[0] / usual_s
            self._speed.record_gaps(daemon, ratio, int(gaps[0]), now_s)
