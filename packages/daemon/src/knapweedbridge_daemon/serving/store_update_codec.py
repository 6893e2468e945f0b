"""Compressed encoding of the updates that a relay sends to its subscribers.

Of 79 hosts some have links of 5 Mbit/s. A relay that sends 23 kB/s of entries to each
of 26 subscribers saturates such a link: its own calls to the store time out, its lease
expires, and its data centre learns of a configuration only after 5 s. Entries of
engines are alike, and compressed together they take a fifth of their size.
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

COMPRESSION_LEVEL = 1
"""Fastest compression: 7 kB take 0.1 ms, once for all subscribers."""


def pack_items(items: list[StoreItem]) -> bytes:
    """Encode changed items of the store."""
    rows = [[item.key, item.value, item.revision] for item in items]
    return zlib.compress(msgpack.packb(rows), COMPRESSION_LEVEL)


def unpack_items(message: StoreUpdate) -> list[StoreItem]:
    """Decode changed items of the store."""
    rows = msgpack.unpackb(zlib.decompress(message.items))
    return [StoreItem(key, value, revision) for key, value, revision in rows]


def pack_engines(rows: Iterable[EngineSnapshot | EngineDelta]) -> bytes:
    """Encode snapshots and deltas of engines."""
    packed = b"".join(map(encode, rows))
    return zlib.compress(packed, COMPRESSION_LEVEL) if packed else b""


def unpack_engines(message: StoreUpdate) -> list[EngineSnapshot | EngineDelta]:
    """Decode snapshots and deltas of engines."""
    if not message.engines:
        return []
    reader = unpacker()
    reader.feed(zlib.decompress(message.engines))
    return [decode(row) for row in reader]
