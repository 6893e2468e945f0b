"""Applies changes of a few sections to a built configuration.

Rebuilding a configuration of 28,000 adapters for each change would cost a daemon
more than the rest of its control work, so only the affected look-ups are copied.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from knapweedbridge_core.configuration import Configuration, add_sections, build_order
from knapweedbridge_core.names import parse_adapter_version
from knapweedbridge_core.parts import Changes, Parts
from knapweedbridge_core.policy import PlacementPolicy

DEFAULT_LOADS_PER_S = Configuration().loads_per_s

_LOOK_UPS = {
    "team": "teams",
    "key": "keys_by_hash",
    "adapter": "adapters",
    "version": "versions",
    "application": "applications",
    "service": "services",
    "rule": "rules",
    "endpoint": "endpoints",
}


def change(
    older: Configuration, generation: int, token: str, parts: Parts, changes: Changes
) -> Configuration:
    """Return a configuration with changes applied to an older one.

    Parameters
    ----------
    older : Configuration
        Not modified; look-ups that do not change are shared with it.
    generation, token : int, str
        Generation and token of the new root.
    parts : Parts
        The new parts.
    changes : dict of str to dict or None
        New content of each section that differs; None if it was removed.
    """
    kinds = {title.partition(" ")[0] for title in changes}
    copies: dict[str, Any] = {
        name: dict(getattr(older, name))
        for kind, name in _LOOK_UPS.items()
        if kind in kinds
    }
    newer = replace(older, generation=generation, token=token, parts=parts, **copies)
    for title in sorted(changes, key=build_order, reverse=True):
        _remove(newer, title, older)
    add_sections(
        newer, {title: items for title, items in changes.items() if items is not None}
    )
    return newer


def _remove(newer: Configuration, title: str, older: Configuration) -> None:
    kind, _, name = title.partition(" ")
    _REMOVERS.get(kind, _remove_named)(newer, kind, name.strip(), older)


def _remove_named(
    newer: Configuration, kind: str, name: str, older: Configuration
) -> None:
    # A configuration written by a newer daemon may hold unknown section kinds.
    if kind in _LOOK_UPS:
        getattr(newer, _LOOK_UPS[kind]).pop(name, None)


def _remove_version(
    newer: Configuration, kind: str, name: str, older: Configuration
) -> None:
    newer.versions.pop(parse_adapter_version(name), None)


def _remove_key(
    newer: Configuration, kind: str, name: str, older: Configuration
) -> None:
    for digest, entry in older.keys_by_hash.items():
        if entry.name == name:
            newer.keys_by_hash.pop(digest, None)


def _remove_weight_store(
    newer: Configuration, kind: str, name: str, older: Configuration
) -> None:
    newer.loads_per_s = DEFAULT_LOADS_PER_S


def _remove_placement(
    newer: Configuration, kind: str, name: str, older: Configuration
) -> None:
    newer.placement = PlacementPolicy()


_REMOVERS: dict[str, Callable[[Configuration, str, str, Configuration], None]] = {
    "version": _remove_version,
    "key": _remove_key,
    "weight_store": _remove_weight_store,
    "placement": _remove_placement,
}
