"""Encodes and decodes messages in msgpack.

A message is sent as ``[tag, field, field, ...]`` in the order of its class. Only
classes whose module was imported can be decoded; `messages` imports them all.
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
    """Turn a class into a record that can be sent as a message.

    Parameters
    ----------
    cls : type
        The class, if the decorator is used without arguments.
    tag : str
        Name of the message on the wire, as known to daemons of older releases;
        empty for the name of the class.
    """

    def register(kind: type[T]) -> type[T]:
        message_class = record(kind)
        _TAGS[message_class] = tag or message_class.__name__
        _CLASSES[_TAGS[message_class]] = message_class
        return message_class

    return register if cls is None else register(cls)


def _pack_default(value: Any) -> Any:
    if isinstance(value, AdapterVersion):
        packed = msgpack.packb([value.adapter, value.version])
        return msgpack.ExtType(_MODEL_EXTENSION, packed)
    raise MessageError(f"{type(value).__name__} cannot be encoded in a message")


def _unpack_extension(code: int, data: bytes) -> Any:
    if code != _MODEL_EXTENSION:
        raise MessageError(f"unknown msgpack extension {code}")
    return AdapterVersion(*msgpack.unpackb(data))


def tag_of(instance: Any) -> str:
    """Return the name of a message on the wire."""
    kind = type(instance)
    return _TAGS.get(kind, kind.__name__)


def encode(instance: Any) -> bytes:
    """Encode a message.

    Raises
    ------
    MessageError
        If a field holds what a message cannot hold, such as a number beyond 64 bits.
    """
    values = values_of(instance)
    try:
        return msgpack.packb([tag_of(instance), *values], default=_pack_default)
    except (TypeError, ValueError, OverflowError) as error:
        raise MessageError(f"{tag_of(instance)} cannot be encoded: {error}") from error


def unpacker(max_message_bytes: int = MAX_MESSAGE_BYTES) -> msgpack.Unpacker:
    """Return an incremental decoder for the stream of a peer."""
    return msgpack.Unpacker(
        ext_hook=_unpack_extension,
        max_buffer_size=max_message_bytes,
        strict_map_key=False,
    )


def decode(packed: Any) -> Any:
    """Return the message of an unpacked list.

    Fields that a later version added at the end are ignored.

    Raises
    ------
    UnknownMessageError
        If this version has no message with the tag.
    MessageError
        If the list is not a message or its fields do not match the class.
    """
    try:
        tag, *values = packed
        known = _CLASSES.get(tag)
        if known is None and isinstance(tag, str):
            raise UnknownMessageError(f"unknown message tag: {tag:.50}")
        return _CLASSES[tag](*values[: field_count(_CLASSES[tag])])
    except (TypeError, ValueError, KeyError) as error:
        raise MessageError(f"invalid message: {packed!r:.200}") from error
