"""The encoding of messages in msgpack.

A message travels as ``[tag, field, field, ...]`` in the order of its class. Only
classes whose module was imported are decoded: `messages` imports them all.
"""

from typing import Any, TypeVar, dataclass_transform

import msgpack

from knapweedbridge_core.errors import MessageError, UnknownMessageError
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.records import field_count, record, values_of

_CLASSES: dict[str, type] = {}
_MODEL_EXTENSION = 1
MAX_MESSAGE_BYTES = 1 << 22

T = TypeVar("T")


@dataclass_transform(frozen_default=True)
def message(cls: type[T]) -> type[T]:
    """Make a class a record that is sent as a message, tagged by its class name."""
    made = record(cls)
    _CLASSES[made.__name__] = made
    return made


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
    values = values_of(sent)
    return msgpack.packb([type(sent).__name__, *values], default=_pack_default)


def unpacker(max_message_bytes: int = MAX_MESSAGE_BYTES) -> msgpack.Unpacker:
    """Make the incremental decoder of one peer stream."""
    return msgpack.Unpacker(
        ext_hook=_unpack_extension,
        max_buffer_size=max_message_bytes,
        strict_map_key=False,
    )


def decode(packed: Any) -> Any:
    """Turn one unpacked list into its message.

    Fields that a later version has added at the end are dropped.

    Raises
    ------
    UnknownMessageError
        If the tag is none of this version's.
    MessageError
        If the fields do not fit.
    """
    try:
        tag, *values = packed
        known = _CLASSES.get(tag)
        if known is None and isinstance(tag, str):
            raise UnknownMessageError(f"no message of this version: {tag:.50}")
        return _CLASSES[tag](*values[: field_count(_CLASSES[tag])])
    except (TypeError, ValueError, KeyError) as error:
        raise MessageError(f"no message of ours: {packed!r:.200}") from error
