"""What this daemon saw of engines' responses since it last told their owners."""

from dataclasses import dataclass, field

from knapweedbridge_core.serving import EndpointStart
from knapweedbridge_core.serving.speed_reports import MAX_FIRST_EVENTS


@dataclass(slots=True)
class _Seen:
    first_events: list[list[float]] = field(default_factory=list)
    gaps: int = 0
    gaps_s: float = 0.0


class EngineObservations:
    """Collects times of responses by engine."""

    def __init__(self) -> None:
        self._seen: dict[EndpointStart, _Seen] = {}

    def record_first_event(
        self,
        start: EndpointStart,
        prompt_tokens: int,
        unread_tokens: int,
        took_s: float,
    ) -> None:
        """Take a first event, the time since its prompt was sent, and what was unread.

        The latest are kept: they tell most of the engine as it is now.
        """
        first_events = self._of(start).first_events
        if len(first_events) >= MAX_FIRST_EVENTS:
            del first_events[0]
        first_events.append([prompt_tokens, unread_tokens, took_s])

    def record_gap(self, start: EndpointStart, gap_s: float) -> None:
        """Take a pause between two events of a stream."""
        seen = self._of(start)
        seen.gaps += 1
        seen.gaps_s += gap_s

    def _of(self, start: EndpointStart) -> _Seen:
        seen = self._seen.get(start)
        if seen is None:
            seen = self._seen[start] = _Seen()
        return seen

    def take(self, start: EndpointStart) -> tuple[list[list[float]], list[float]]:
        """Return, once, first events and gaps as `CallsReport` holds them."""
        seen = self._seen.pop(start, None)
        if seen is None:
            return [], []
        gaps = [float(seen.gaps), seen.gaps_s] if seen.gaps else []
        return seen.first_events, gaps

    def forget(self, start: EndpointStart) -> None:
        """Drop what was seen of an engine that is gone or has started again."""
        self._seen.pop(start, None)
