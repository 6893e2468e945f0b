"""Messages between daemons and their encoding in msgpack.

A message travels as ``[tag, field, field, ...]`` in the order of its class.
"""

from dataclasses import dataclass, fields
from typing import Any, TypeVar, dataclass_transform

import msgpack

from knapweedbridge_core.errors import MessageError
from knapweedbridge_core.names import AdapterVersion

_CLASSES: dict[str, type] = {}
_MODEL_EXTENSION = 1

T = TypeVar("T")


@dataclass_transform(frozen_default=True)
def message(cls: type[T]) -> type[T]:
    """Make a dataclass with slots a message, tagged by its class name."""
    made = dataclass(slots=True, frozen=True)(cls)
    _CLASSES[made.__name__] = made
    return made


@message
class Heartbeat:
    """A daemon lives, and knows this generation."""

    host: str
    incarnation: int
    generation: int
    draining: bool


@message
class GrantAsk:
    """A caller's daemon asks an owner for a grant."""

    attempt_id: str
    endpoint: str
    model: AdapterVersion


@message
class GrantGiven:
    """The owner pinned the slot for this attempt."""

    attempt_id: str
    endpoint: str


@message
class GrantRefused:
    """The adapter is not to be had on this endpoint."""

    attempt_id: str
    endpoint: str
    reason: str


@message
class GrantReturned:
    """The attempt ended; the slot need not be pinned for it."""

    attempt_id: str
    endpoint: str
    model: AdapterVersion


@message
class LoadWanted:
    """Requests wait for an adapter that no endpoint holds."""

    model: AdapterVersion
    waiters: int
    oldest_wait_s: float


@message
class LoadPlaced:
    """The load order chose an endpoint, and a victim if its slots are full."""

    model: AdapterVersion
    endpoint: str
    victim: AdapterVersion | None
    orderer: str


@message
class LoadEnded:
    """The owner tells the load order how a load ended."""

    model: AdapterVersion
    endpoint: str
    loaded: bool


@message
class SlotsChanged:
    """An owner tells what an endpoint of its own holds and runs."""

    endpoint: str
    owner: str
    number: int
    loaded: list[AdapterVersion]
    running: int


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
    values = [getattr(sent, field.name) for field in fields(sent)]
    return msgpack.packb([type(sent).__name__, *values], default=_pack_default)


def unpacker(max_message_bytes: int = 1 << 24) -> msgpack.Unpacker:
    """Make the incremental decoder of one peer stream."""
    return msgpack.Unpacker(
        ext_hook=_unpack_extension, max_buffer_size=max_message_bytes
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
