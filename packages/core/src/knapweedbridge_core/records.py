"""Immutable data classes that are cheap to define and to instantiate.

A frozen dataclass sets each field by a function call, which took three quarters of the
time to decode a message. It also compiles six methods per class, which took a third of
the startup time of a daemon. A record is immutable for the type checker only, and all
records share the methods for comparison, hash and representation.
"""

from collections.abc import Callable
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any, TypeVar, dataclass_transform

T = TypeVar("T")

_GETTERS: dict[type, Callable[[Any], tuple]] = {}
_FIELD_COUNTS: dict[type, int] = {}


@dataclass_transform(frozen_default=True)
def record(cls: type[T]) -> type[T]:
    """Turn a class into a dataclass with slots, compared and hashed by its fields."""
    record_class: Any = dataclass(slots=True, eq=False, repr=False)(cls)
    record_class.__eq__, record_class.__hash__, record_class.__repr__ = (
        _equals,
        _hash,
        _repr,
    )
    _GETTERS[record_class] = _make_getter([item.name for item in fields(record_class)])
    _FIELD_COUNTS[record_class] = len(fields(record_class))
    return record_class


def _make_getter(names: list[str]) -> Callable[[Any], tuple]:
    if len(names) > 1:
        return attrgetter(*names)
    return lambda instance: tuple(getattr(instance, name) for name in names)


def field_count(kind: type) -> int:
    """Return the number of fields of a record class."""
    return _FIELD_COUNTS[kind]


def values_of(instance: Any) -> tuple:
    """Return the values of the fields of a record, in their order."""
    return _GETTERS[type(instance)](instance)


def _equals(instance: Any, other: Any) -> Any:
    if type(other) is not type(instance):
        return NotImplemented
    return values_of(instance) == values_of(other)


def _hash(instance: Any) -> int:
    return hash(values_of(instance))


def _repr(instance: Any) -> str:
    values = (
        f"{item.name}={getattr(instance, item.name)!r}" for item in fields(instance)
    )
    return f"{type(instance).__qualname__}({', '.join(values)})"
