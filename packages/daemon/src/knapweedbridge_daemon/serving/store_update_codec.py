"""What a relay hands on to those that hear it, packed.

The load that this answers: of 79 hosts some have links of 5 Mbit/s. One that watched
for its data centre handed 23 kB a second of entries to each of 26 others, which was
all that its link carries: its own calls to the store got no answer, its lease lapsed,
and its data centre heard of a configuration after 5 s. Entries of engines are alike,
and packed together they take a fifth.
"""

import zlib
from collections.abc import Iterable

import msgpack

from knapweedbridge_core.codec import decode, encode, unpacker
from knapweedbridge_core.serving.messages import (
    EngineDelta,
    EngineSnapshot,
    StoreUpdate,
)
from knapweedbridge_daemon.store import StoreItem

LEVEL = 1
"""Fastest compression: 7 kB in 0.1 ms, once for all that are told."""


def pack_items(items: list[StoreItem]) -> bytes:
    """Encode what changed."""
    rows = [[item.key, item.value, item.revision] for item in items]
    return zlib.compress(msgpack.packb(rows), LEVEL)


def unpack_items(message: StoreUpdate) -> list[StoreItem]:
    """Decode what changed."""
    rows = msgpack.unpackb(zlib.decompress(message.items))
    return [StoreItem(key, value, revision) for key, value, revision in rows]


def pack_engines(rows: Iterable[EngineSnapshot | EngineDelta]) -> bytes:
    """Encode what owners told of their engines."""
    packed = b"".join(map(encode, rows))
    return zlib.compress(packed, LEVEL) if packed else b""


def unpack_engines(message: StoreUpdate) -> list[EngineSnapshot | EngineDelta]:
    """Decode what owners told of their engines."""
    if not message.engines:
        return []
    reader = unpacker()
    reader.feed(zlib.decompress(message.engines))
    return [decode(row) for row in reader]
