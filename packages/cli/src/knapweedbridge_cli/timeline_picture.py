"""The time line as a picture: a lane a host or endpoint, time downwards.

Rows stand in the order of cause and effect, not to scale; where more than
`GAP_MS` passed between two, the span is written between them.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from xml.sax.saxutils import escape

from knapweedbridge_cli.timeline_collect import Collected
from knapweedbridge_cli.timeline_events import Event, since_first_ms
from knapweedbridge_cli.timeline_times import show_time

GAP_MS = 20.0
LANE_PX = 270
ROW_PX = 34
GAP_PX = 24
LEFT_PX = 100
TOP_PX = 96
BOTTOM_PX = 40
DOT_PX = 5
LABEL_RISE_PX = 9
LABEL_CHARS = 60

TO_FIELD = frozenset(
    {
        "grant.asked",
        "grant.given",
        "grant.refused",
        "load.placed",
        "load.refused",
        "load.wanted",
    }
)
TO_ENDPOINT = frozenset(
    {"attempt.dispatched", "attempt.resumed", "load.ordered", "evict.ordered"}
)
FROM_ENDPOINT = frozenset(
    {"attempt.first_token", "attempt.ended", "load.ended", "evict.ended"}
)
COLOURS = {
    "request": "#1f4e8c",
    "grant": "#6a3d9a",
    "attempt": "#1b7837",
    "load": "#b35806",
    "evict": "#b35806",
}
OTHER_COLOUR = "#444444"
FAILED_COLOUR = "#b2182b"
LEGEND = "solid: sent by the host, dashed: came back from the endpoint"
HIDDEN = frozenset({"request", "attempt", "to", "endpoint"})


@dataclass(slots=True, frozen=True)
class Row:
    """One event and where it stands.

    Parameters
    ----------
    event : Event
        The event.
    offset_ms : float
        Milliseconds since the first event.
    y : float
        Height of the row, in pixels.
    gap_ms : float
        Span since the row above where it is written, else 0.
    """

    event: Event
    offset_ms: float
    y: float
    gap_ms: float


def draw(collected: Collected, title: str) -> str:
    """Return the time line as an SVG document."""
    lanes = _lanes(collected)
    rows = list(_rows(collected.events))
    width = LEFT_PX + LANE_PX * max(1, len(lanes))
    height = (rows[-1].y if rows else TOP_PX) + BOTTOM_PX
    body = [*_heads(lanes, collected, height), *_draw_rows(rows, lanes, width)]
    first = show_time(collected.events[0].wall_us) if rows else "no event"
    return "\n".join([*_opening(width, height, title, first), *body, "</svg>"])


def _lanes(collected: Collected) -> dict[str, float]:
    """Return the middle of each lane: hosts first, then endpoints."""
    hosts: dict[str, None] = {}
    endpoints: dict[str, None] = {}
    for event in collected.events:
        hosts.setdefault(event.host)
        if event.kind in TO_FIELD and event.fields.get("to"):
            hosts.setdefault(str(event.fields["to"]))
        if event.kind in TO_ENDPOINT | FROM_ENDPOINT and event.fields.get("endpoint"):
            endpoints.setdefault(str(event.fields["endpoint"]))
    names = [*hosts, *endpoints]
    return {name: LEFT_PX + LANE_PX * (place + 0.5) for place, name in enumerate(names)}


def _rows(events: list[Event]) -> Iterator[Row]:
    y, before_ms = float(TOP_PX), 0.0
    for event, offset_ms in zip(events, since_first_ms(events), strict=True):
        gap_ms = offset_ms - before_ms
        shown_ms = gap_ms if gap_ms >= GAP_MS else 0.0
        y += ROW_PX + (GAP_PX if shown_ms else 0)
        yield Row(event, offset_ms, y, shown_ms)
        before_ms = offset_ms


def _opening(width: float, height: float, title: str, first: str) -> Iterator[str]:
    yield (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width:g}" '
        f'height="{height:g}" viewBox="0 0 {width:g} {height:g}" '
        'font-family="system-ui, sans-serif" font-size="12">'
    )
    yield "<defs>"
    for name, colour in {
        **COLOURS,
        "other": OTHER_COLOUR,
        "failed": FAILED_COLOUR,
    }.items():
        yield (
            f'<marker id="head-{name}" viewBox="0 0 10 10" refX="9" refY="5" '
            'markerWidth="8" markerHeight="8" orient="auto-start-reverse">'
            f'<path d="M0,0 L10,5 L0,10 z" fill="{colour}"/></marker>'
        )
    yield "</defs>"
    yield f'<rect width="{width:g}" height="{height:g}" fill="white"/>'
    yield _text(16, 24, title, weight="600", size=15)
    yield _text(16, 44, f"from {first}; {LEGEND}", colour="#666")


def _heads(
    lanes: dict[str, float], collected: Collected, height: float
) -> Iterator[str]:
    for name, x in lanes.items():
        is_host = any(event.host == name for event in collected.events)
        is_host = is_host or name in collected.data_centres
        under = collected.data_centres.get(name, "host") if is_host else "endpoint"
        fill = "#e8eef7" if is_host else "#eaf4ea"
        yield (
            f'<line x1="{x:g}" y1="{TOP_PX - 2}" x2="{x:g}" y2="{height - 12:g}" '
            'stroke="#cccccc"/>'
        )
        yield (
            f'<rect x="{x - 80:g}" y="{TOP_PX - 38}" width="160" height="36" rx="6" '
            f'fill="{fill}" stroke="#b9c4d4"/>'
        )
        yield _text(x, TOP_PX - 23, name, anchor="middle", weight="600")
        yield _text(x, TOP_PX - 8, under, anchor="middle", colour="#666", size=10)


def _draw_rows(rows: list[Row], lanes: dict[str, float], width: float) -> Iterator[str]:
    for row in rows:
        if row.gap_ms:
            yield from _draw_gap(row, width)
        offset = f"{row.offset_ms:.3f} ms"
        yield _text(LEFT_PX - 16, row.y + 4, offset, anchor="end", colour="#666")
        yield from _draw_event(row, lanes)


def _draw_gap(row: Row, width: float) -> Iterator[str]:
    y = row.y - ROW_PX + 2
    yield (
        f'<line x1="{LEFT_PX - 8}" y1="{y:g}" x2="{width - 8:g}" y2="{y:g}" '
        'stroke="#dddddd" stroke-dasharray="2 4"/>'
    )
    text = f"{row.gap_ms:,.0f} ms pass"
    yield _text(LEFT_PX - 16, y + 4, text, anchor="end", colour="#999", size=10)


def _draw_event(row: Row, lanes: dict[str, float]) -> Iterator[str]:
    event, y = row.event, row.y
    family = "failed" if event.failed else event.kind.partition(".")[0]
    colour = FAILED_COLOUR if event.failed else COLOURS.get(family, OTHER_COLOUR)
    marker = family if family in COLOURS or event.failed else "other"
    x = lanes[event.host]
    start, end = _ends(event)
    to_right = True
    if start != end and start in lanes and end in lanes:
        x1, x2 = lanes[start], lanes[end]
        to_right = max(x1, x2) > x
        reach = x2 - DOT_PX if x2 > x1 else x2 + DOT_PX
        dash = ' stroke-dasharray="5 3"' if start != event.host else ""
        yield (
            f'<line x1="{x1:g}" y1="{y:g}" x2="{reach:g}" y2="{y:g}" '
            f'stroke="{colour}" stroke-width="1.6"{dash} '
            f'marker-end="url(#head-{marker})"/>'
        )
    yield f'<circle cx="{x:g}" cy="{y:g}" r="{DOT_PX}" fill="{colour}"/>'
    anchor, label_x = ("start", x + 10) if to_right else ("end", x - 10)
    label = _label(event)
    yield _text(label_x, y - LABEL_RISE_PX, label, anchor=anchor, colour=colour)


def _ends(event: Event) -> tuple[str, str]:
    """Return the lanes that the event's arrow leads from and to."""
    endpoint = str(event.fields.get("endpoint", ""))
    if event.kind in TO_FIELD:
        return event.host, str(event.fields.get("to", event.host))
    if event.kind in TO_ENDPOINT:
        return event.host, endpoint
    if event.kind in FROM_ENDPOINT:
        return endpoint, event.host
    return event.host, event.host


def _label(event: Event) -> str:
    attempt = str(event.fields.get("attempt", "")).rpartition(".")[2]
    number = f" #{attempt}" if attempt else ""
    told = event.text(HIDDEN)
    text = f"{event.kind}{number} {told}".rstrip()
    return text if len(text) <= LABEL_CHARS else text[: LABEL_CHARS - 1] + "…"


def _text(
    x: float,
    y: float,
    text: str,
    *,
    anchor: str = "start",
    colour: str = "#222",
    weight: str = "400",
    size: int = 12,
) -> str:
    # The white outline keeps a label readable where it crosses a lane.
    return (
        f'<text x="{x:g}" y="{y:g}" text-anchor="{anchor}" fill="{colour}" '
        f'font-weight="{weight}" font-size="{size}" stroke="white" stroke-width="3" '
        f'paint-order="stroke">{escape(text)}</text>'
    )
