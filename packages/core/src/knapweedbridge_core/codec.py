"""The encoding of messages in msgpack.

A message travels as ``[tag, field, field, ...]`` in the order of its class. Only
classes whose module was imported are decoded: `messages` imports them all.
"""

from collections.abc import Callable
from typing import Any, TypeVar, dataclass_transform, overload

import msgpack

from knapweedbridge_core.errors import MessageError, UnknownMessageError
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.records import field_count, record, values_of

_CLASSES: dict[str, type] = {}
_TAGS: dict[type, str] = {}
_MODEL_EXTENSION = 1
MAX_MESSAGE_BYTES = 1 << 22

T = TypeVar("T")


@overload
def message(cls: type[T], /) -> type[T]: ...


@overload
def message(*, tag: str) -> Callable[[type[T]], type[T]]: ...


@dataclass_transform(frozen_default=True)
def message(cls: type[T] | None = None, /, *, tag: str = "") -> Any:
    """Make a class a record that is sent as a message.

    Parameters
    ----------
    cls : type
        The class, where the decorator is used without arguments.
    tag : str
        What the message is called on the wire, which daemons of older releases know;
        empty: the name of the class.
    """

    def register(kind: type[T]) -> type[T]:
        made = record(kind)
        _TAGS[made] = tag or made.__name__
        _CLASSES[_TAGS[made]] = made
        return made

    return register if cls is None else register(cls)


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
    tag = _TAGS.get(type(sent), type(sent).__name__)
    return msgpack.packb([tag, *values], default=_pack_default)


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
