"""The plot of `bench-placement` as a small SVG, without a library."""

from typing import Any

WIDTH, HEIGHT, LEFT, BOTTOM = 460, 260, 50, 40
COLOURS = ["#999999", "#bb8855", "#aa66aa", "#4477aa", "#cc3311", "#228833", "#000000"]
FIGURES = [
    ("okavango", "mean_all_s", "Okavango: mean stall, s (refused count 5 s)"),
    ("okavango", "answered", "Okavango: share answered"),
    ("chaophraya", "fill", "Chaophraya: mean batch fill"),
    ("chaophraya", "p95_s", "Chaophraya: p95 stall, s"),
]


def plot(rows: list[dict[str, Any]]) -> str:
    """Draw the steady rows of both deployments over the operating points."""
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{2 * WIDTH}" '
        f'height="{2 * HEIGHT + 30}" font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
    ]
    names = list(dict.fromkeys(row["policy"] for row in rows))
    for place, (site, key, title) in enumerate(FIGURES):
        shown = [r for r in rows if r["site"] == site and r["case"] == "steady"]
        left, top = place % 2 * WIDTH, place // 2 * HEIGHT
        parts += _panel(left, top, title, key, shown, names)
    for place, name in enumerate(names):
        x, y = 20 + place * 125, 2 * HEIGHT + 18
        parts.append(f'<rect x="{x}" y="{y - 8}" width="10" height="10" '
                     f'fill="{COLOURS[place]}"/>')  # fmt: skip
        parts.append(f'<text x="{x + 14}" y="{y}">{name}</text>')
    return "\n".join([*parts, "</svg>", ""])


def _panel(
    left: int, top: int, title: str, key: str, rows: list[dict], names: list[str]
) -> list[str]:
    points = sorted({row["point"] for row in rows})
    highest = max(row[key] for row in rows) or 1.0
    parts = [f'<text x="{left + LEFT}" y="{top + 16}" font-size="13">{title}</text>']
    base = top + HEIGHT - BOTTOM
    for step in range(5):
        y = base - step / 4 * (HEIGHT - BOTTOM - 30)
        parts.append(
            f'<line x1="{left + LEFT}" x2="{left + WIDTH - 20}" y1="{y:.0f}" '
            f'y2="{y:.0f}" stroke="#dddddd"/>'
        )
        label = f"{highest * step / 4:.2f}"
        parts.append(f'<text x="{left + 12}" y="{y + 4:.0f}">{label}</text>')
    wide = (WIDTH - LEFT - 30) / len(points)
    bar = wide / (len(names) + 1)
    for place, point in enumerate(points):
        x = left + LEFT + place * wide
        parts.append(f'<text x="{x + 10:.0f}" y="{base + 16}">{point:.0%}</text>')
        for number, name in enumerate(names):
            value = next(
                r[key] for r in rows if r["policy"] == name and r["point"] == point
            )
            tall = value / highest * (HEIGHT - BOTTOM - 30)
            parts.append(
                f'<rect x="{x + number * bar:.1f}" y="{base - tall:.1f}" '
                f'width="{bar - 1:.1f}" height="{tall:.1f}" fill="{COLOURS[number]}"/>'
            )
    return parts
