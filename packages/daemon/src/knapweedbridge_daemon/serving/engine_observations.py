"""Response times of engines since the last report to their owners."""

from dataclasses import dataclass, field

from knapweedbridge_core.serving import EndpointStart
from knapweedbridge_core.serving.speed_reports import MAX_FIRST_EVENTS


@dataclass(slots=True)
class _Observations:
    first_events: list[list[float]] = field(default_factory=list)
    gaps: int = 0
    gaps_s: float = 0.0


class EngineObservations:
    """Response times by start of an engine."""

    def __init__(self) -> None:
        self._observations: dict[EndpointStart, _Observations] = {}

    def record_first_event(
        self,
        start: EndpointStart,
        prompt_tokens: int,
        unread_tokens: int,
        took_s: float,
    ) -> None:
        """Record a first event, its time since the prompt was sent and unread tokens.

        Only the latest are kept, which best describe the engine's present speed.
        """
        first_events = self._get(start).first_events
        if len(first_events) >= MAX_FIRST_EVENTS:
            del first_events[0]
        first_events.append([prompt_tokens, unread_tokens, took_s])

    def record_gap(self, start: EndpointStart, gap_s: float) -> None:
        """Record a gap between two events of a stream."""
        observations = self._get(start)
        observations.gaps += 1
        observations.gaps_s += gap_s

    def _get(self, start: EndpointStart) -> _Observations:
        observations = self._observations.get(start)
        if observations is None:
            observations = self._observations[start] = _Observations()
        return observations

    def take(self, start: EndpointStart) -> tuple[list[list[float]], list[float]]:
        """Return and remove first events and gaps, in the form of `CallsReport`."""
        observations = self._observations.pop(start, None)
        if observations is None:
            return [], []
        gaps = (
            [float(observations.gaps), observations.gaps_s] if observations.gaps else []
        )
        return observations.first_events, gaps

    def forget(self, start: EndpointStart) -> None:
        """Drop the observations of an engine that is gone or has restarted."""
        self._observations.pop(start, None)
