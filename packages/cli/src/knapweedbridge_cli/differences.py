"""Shows the differences of configurations."""

from typing import Any

from knapweedbridge_core.differences import Change, ChangeKind

NO_DIFFERENCE = "  no difference"


def read_changes(listed: list[dict[str, Any]]) -> list[Change]:
    """Read the changes that the administration API lists."""
    return [Change(**{**line, "kind": ChangeKind(line["kind"])}) for line in listed]


def show_changes(changes: list[Change]) -> str:
    """Return the changes as text, a line each."""
    return "\n".join(f"  {change}" for change in changes) or NO_DIFFERENCE
