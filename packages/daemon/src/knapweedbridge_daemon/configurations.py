"""Reading and writing the configuration in the key-value service.

The root names the generation and the content hashes of the parts. Parts are
written first and the root last, under compare-and-swap on the root's revision.
"""

from dataclasses import dataclass

import msgpack

from knapweedbridge_core.configuration import (
    Configuration,
    Sections,
    build,
    join_parts,
    split_parts,
)
from knapweedbridge_daemon.errors import StoreError
from knapweedbridge_daemon.store import KeyValueStore, Transaction

ROOT_KEY = "knapweedbridge/configuration/root"
PART_KEY = "knapweedbridge/configuration/part/"


@dataclass(slots=True, frozen=True)
class Root:
    """The root as the service holds it."""

    generation: int
    parts: tuple[str, ...]
    revision: int


@dataclass(slots=True, frozen=True)
class Accepted:
    """A new generation was accepted."""

    generation: int


@dataclass(slots=True, frozen=True)
class Conflict:
    """Another operator's generation came in between."""

    generation: int


async def read_root(store: KeyValueStore) -> Root:
    """Read the root; generation 0 where there is none yet."""
    found = await store.read(ROOT_KEY)
    if found is None:
        return Root(0, (), 0)
    held = msgpack.unpackb(found[0])
    return Root(held["generation"], tuple(held["parts"]), found[1])


async def read_configuration(store: KeyValueStore, root: Root) -> Configuration:
    """Read and build the configuration that a root names."""
    parts = []
    for digest in root.parts:
        found = await store.read(PART_KEY + digest)
        if found is None:
            raise StoreError(f"part {digest} is missing")
        parts.append(found[0])
    return build(root.generation, join_parts(parts))[0]


async def write_configuration(
    store: KeyValueStore, based_on: int, sections: Sections
) -> Accepted | Conflict:
    """Write a new generation based on the one the operator saw."""
    root = await read_root(store)
    if root.generation != based_on:
        return Conflict(root.generation)
    parts = split_parts(sections)
    for digest, packed in parts.items():
        if digest not in root.parts:
            await store.write(Transaction(puts={PART_KEY + digest: packed}))
    value = {"generation": root.generation + 1, "parts": list(parts)}
    transaction = Transaction({ROOT_KEY: root.revision}, {ROOT_KEY: _pack(value)})
    try:
        applied = await store.write(transaction)
    except StoreError as error:
        if not error.may_have_applied:
            raise
        applied = await _read_back(store, tuple(parts), root.generation + 1)
    if applied:
        return Accepted(root.generation + 1)
    return Conflict((await read_root(store)).generation)


def _pack(value: dict) -> bytes:
    return msgpack.packb(value)


async def _read_back(
    store: KeyValueStore, parts: tuple[str, ...], generation: int
) -> bool:
    """Settle a lost reply: the write took effect if the root is what was written."""
    root = await read_root(store)
    return root.generation == generation and root.parts == parts
