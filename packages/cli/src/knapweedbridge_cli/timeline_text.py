"""The time line as text."""

from collections.abc import Iterator

from knapweedbridge_cli.output import table
from knapweedbridge_cli.timeline_collect import Collected
from knapweedbridge_cli.timeline_events import since_first_ms
from knapweedbridge_cli.timeline_times import show_time


def timeline_lines(collected: Collected, request: str) -> Iterator[str]:
    """Yield the lines of a time line."""
    events = collected.events
    hidden = frozenset({"request"}) if request else frozenset()
    if not events:
        yield "no event"
    else:
        yield f"from {show_time(events[0].wall_us)}"
        rows = [
            (f"{offset_ms:+.3f} ms", event.host, event.kind, event.text(hidden))
            for event, offset_ms in zip(events, since_first_ms(events), strict=True)
        ]
        yield from table(("since first", "host", "event", ""), rows)
    if collected.truncated:
        yield "older events were left out: narrow the span or raise --limit"
    for host, why in collected.missing.items():
        yield f"{host} did not answer: {why}"
