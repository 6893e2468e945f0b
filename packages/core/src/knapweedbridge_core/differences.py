"""The differences between two configurations, by section and key."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from knapweedbridge_core.configuration import Sections


class ChangeKind(StrEnum):
    """How a section or a key changed."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


SIGNS = {ChangeKind.ADDED: "+", ChangeKind.CHANGED: "~", ChangeKind.REMOVED: "-"}


@dataclass(slots=True, frozen=True)
class Change:
    """One difference; an empty key stands for the whole section."""

    kind: ChangeKind
    section: str
    key: str = ""
    before: str = ""
    after: str = ""

    def __str__(self) -> str:
        text = f"{SIGNS[self.kind]} [{self.section}]"
        if not self.key:
            return text
        if self.kind is ChangeKind.CHANGED:
            return f"{text} {self.key} = {self.before} -> {self.after}"
        return f"{text} {self.key} = {self.before or self.after}"


def compare(before: Sections, after: Sections) -> list[Change]:
    """Return the changes from one configuration to the other.

    A section that was added or removed gives one change for itself and one
    for each of its keys.
    """
    changes: list[Change] = []
    for title in sorted(before.keys() | after.keys()):
        if title not in before:
            changes.append(Change(ChangeKind.ADDED, title))
        elif title not in after:
            changes.append(Change(ChangeKind.REMOVED, title))
        changes += _compare_keys(title, before.get(title, {}), after.get(title, {}))
    return changes


def _compare_keys(
    title: str, before: Mapping[str, str], after: Mapping[str, str]
) -> list[Change]:
    changes = []
    for key in sorted(before.keys() | after.keys()):
        old, new = before.get(key), after.get(key)
        if old is None:
            changes.append(Change(ChangeKind.ADDED, title, key, "", new or ""))
        elif new is None:
            changes.append(Change(ChangeKind.REMOVED, title, key, old, ""))
        elif old != new:
            changes.append(Change(ChangeKind.CHANGED, title, key, old, new))
    return changes
