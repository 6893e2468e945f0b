"""The encoding of messages in msgpack.

A message travels as ``[tag, field, field, ...]`` in the order of its class. Only
classes whose module was imported are decoded: `messages` imports them all.
"""

from collections.abc import Callable
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any, TypeVar, dataclass_transform

import msgpack

from knapweedbridge_core.errors import MessageError
from knapweedbridge_core.names import AdapterVersion

_CLASSES: dict[str, type] = {}
_READERS: dict[type, Callable[[Any], tuple]] = {}
_MODEL_EXTENSION = 1
MAX_MESSAGE_BYTES = 1 << 22

T = TypeVar("T")


@dataclass_transform(frozen_default=True)
def message(cls: type[T]) -> type[T]:
    """Make a dataclass with slots a message, tagged by its class name.

    Messages are immutable for the type checker only: a frozen dataclass sets each
    field by a call, which made three quarters of the time to decode a message.
    """
    made: Any = dataclass(slots=True, unsafe_hash=True)(cls)
    _CLASSES[made.__name__] = made
    _READERS[made] = _reader([each.name for each in fields(made)])
    return made


def _reader(names: list[str]) -> Callable[[Any], tuple]:
    """Return what reads the fields of a message, in their order."""
    if len(names) > 1:
        return attrgetter(*names)
    return lambda sent: tuple(getattr(sent, name) for name in names)


def _pack_default(value: Any) -> Any:
    if isinstance(value, AdapterVersion):
        packed = msgpack.packb([value.adapter, value.version])
        return msgpack.ExtType(_MODEL_EXTENSION, packed)
    raise MessageError(f"{type(value).__name__} cannot travel in a message")


def _unpack_extension(code: int, data: bytes) -> Any:
    if code != _MODEL_EXTENSION:
        raise MessageError(f"unknown extension {code}")
    return AdapterVersion(*msgpack.unpackb(data))


def encode(sent: Any) -> bytes:
    """Encode one message."""
    kind = type(sent)
    return msgpack.packb([kind.__name__, *_READERS[kind](sent)], default=_pack_default)


def unpacker(max_message_bytes: int = MAX_MESSAGE_BYTES) -> msgpack.Unpacker:
    """Make the incremental decoder of one peer stream."""
    return msgpack.Unpacker(
        ext_hook=_unpack_extension,
        max_buffer_size=max_message_bytes,
        strict_map_key=False,
    )


def decode(packed: Any) -> Any:
    """Turn one unpacked list into its message.

    Raises
    ------
    MessageError
        If the tag is unknown or the fields do not fit.
    """
    try:
        tag, *values = packed
        return _CLASSES[tag](*values)
    except (TypeError, ValueError, KeyError) as error:
        raise MessageError(f"no message of ours: {packed!r:.200}") from error
