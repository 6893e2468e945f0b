"""Prints results: lines for people, JSON for programs."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from knapweedbridge_cli.errors import CommandError

GAP = "  "


def show(found: Any, lines: Iterable[str], as_json: bool) -> None:
    """Print a result in the form that was asked for."""
    if as_json:
        print(json.dumps(found, indent=2))
        return
    for line in lines:
        print(line)


def show_error(error: CommandError, as_json: bool) -> None:
    """Print an error on the standard error stream."""
    if not as_json:
        print(error, file=sys.stderr)
        return
    body = {"error": str(error), "exit_code": int(error.exit_code), **error.details}
    print(json.dumps(body, indent=2), file=sys.stderr)


def table(heads: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[str]:
    """Return a table as lines, each column as wide as its longest cell."""
    cells = [list(map(str, row)) for row in (heads, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
