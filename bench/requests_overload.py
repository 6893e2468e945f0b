"""Figures of crashing requests, leaving endpoints and overload, with baselines."""

from dataclasses import asdict
from typing import Any

from overload_scenarios import (
    ADMISSIONS,
    BLAMES,
    SIGNS,
    run_crashing,
    run_leaving,
    run_overload,
)

OFFSETS_S = (4.0, 4.3, 4.6, 4.9)
OVERLOAD_S = 120.0


def run() -> dict[str, Any]:
    """Print and return the figures of points 5, 6 and 7, in virtual time."""
    found = {"crashing": crashing(), "leaving": leaving(), "overload": overload()}
    print("\n".join(rows(found)))
    return found


def crashing() -> dict[str, Any]:
    """Endpoints lost to one request, and what became of 40 beside it."""
    return {
        name: {
            "crashing": asdict(run_crashing(blame)),
            "restart": asdict(run_crashing(blame, crashing=False, restarts=1)),
        }
        for name, blame in BLAMES.items()
    }


def leaving() -> dict[str, Any]:
    """Seconds from the first sign to the last request given."""
    return {
        sign: {
            "the list alone": run_leaving(sign, signs=False).last_asked_s,
            "signs": max(
                run_leaving(sign, after_s=offset_s).last_asked_s
                for offset_s in OFFSETS_S
            ),
        }
        for sign in SIGNS
    }


def overload() -> dict[str, Any]:
    """Goodput and the interactive callers' p95 at twice the capacity."""
    return {
        name: asdict(run_overload(admission=name, for_s=OVERLOAD_S))
        for name in ADMISSIONS
    }


def rows(found: dict[str, Any], name: str = "") -> list[str]:
    """Return the figures a line each."""
    lines: list[str] = []
    for key, value in found.items():
        place = f"{name} / {key}" if name else str(key)
        if isinstance(value, dict):
            lines += rows(value, place)
        else:
            shown = f"{value:.3f}" if isinstance(value, float) else value
            lines.append(f"{place}: {shown}")
    return lines


if __name__ == "__main__":
    run()
