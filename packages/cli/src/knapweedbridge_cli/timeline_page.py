"""The time line as a page: the picture and the table of its events."""

from html import escape

from knapweedbridge_cli.timeline_collect import Collected
from knapweedbridge_cli.timeline_events import since_first_ms
from knapweedbridge_cli.timeline_picture import draw

STYLE = """
body { font-family: system-ui, sans-serif; margin: 24px; color: #222; }
.picture { overflow-x: auto; border: 1px solid #ddd; }
table { border-collapse: collapse; margin-top: 24px; font-size: 13px; }
th { text-align: left; border-bottom: 2px solid #888; }
th, td { padding: 3px 14px 3px 0; vertical-align: top; }
td { border-bottom: 1px solid #eee; }
td.time { text-align: right; font-variant-numeric: tabular-nums; }
tr.failed td { color: #b2182b; }
"""


def make_page(collected: Collected, title: str, request: str) -> str:
    """Return an HTML document that needs nothing from elsewhere."""
    hidden = frozenset({"request"}) if request else frozenset()
    offsets = since_first_ms(collected.events)
    rows = [
        f'<tr class="{"failed" if event.failed else "whole"}">'
        f'<td class="time">{offset_ms:.3f} ms</td><td>{escape(event.host)}</td>'
        f"<td>{escape(event.kind)}</td><td>{escape(event.text(hidden))}</td></tr>"
        for event, offset_ms in zip(collected.events, offsets, strict=True)
    ]
    missing = [
        f"<p>{escape(host)} did not answer: {escape(why)}</p>"
        for host, why in collected.missing.items()
    ]
    return "\n".join(
        [
            "<!doctype html>",
            '<html lang="en"><head><meta charset="utf-8">',
            f"<title>{escape(title)}</title>",
            f"<style>{STYLE}</style></head><body>",
            f'<div class="picture">{draw(collected, title)}</div>',
            *missing,
            "<table><tr><th>since first</th><th>host</th><th>event</th>"
            "<th>what it tells</th></tr>",
            *rows,
            "</table></body></html>",
        ]
    )
