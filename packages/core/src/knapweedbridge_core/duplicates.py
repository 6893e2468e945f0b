"""Detection of values that must be unique in a configuration."""

from collections.abc import Iterable

from knapweedbridge_core.faults import Fault

UNIQUE_KEYS = {"endpoint": "address", "service": "path", "key": "hash"}


def find_duplicates(sections: Iterable[tuple[str, dict[str, str]]]) -> list[Fault]:
    """Return a fault for each value that an earlier section already has."""
    first: dict[tuple[str, str], str] = {}
    faults: list[Fault] = []
    for title, items in sections:
        kind = title.partition(" ")[0]
        key = UNIQUE_KEYS.get(kind, "")
        value = items.get(key, "")
        if not value:
            continue
        earlier = first.setdefault((kind, value), title)
        if earlier != title:
            message = f"{value!r} stands in [{earlier}] already"
            faults.append(Fault("", title, key, message))
    return faults
