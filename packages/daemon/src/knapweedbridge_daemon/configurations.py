"""Reading and writing the configuration in the key-value service.

The root names the generation and the content hashes of the parts. Parts are
written first and the root last, under compare-and-swap on the root's revision.
With each root goes a record of the generation, which names the parts that it
replaced; parts that no kept generation names are deleted in the same
transaction as a root, so that no writer can come to rely on a part just deleted.
"""

import secrets
from collections.abc import Mapping
from dataclasses import dataclass

import msgpack

from knapweedbridge_core.errors import ContentError
from knapweedbridge_core.parts import EMPTY, PARTS, Parts, Root, Sections, verify
from knapweedbridge_daemon.errors import MissingPartError, StoreError
from knapweedbridge_daemon.off_loop import run_off_loop
from knapweedbridge_daemon.store import KeyValueStore, Transaction

ROOT_KEY = "knapweedbridge/configuration/root"
PART_KEY = "knapweedbridge/configuration/part/"
GENERATION_KEY = "knapweedbridge/configuration/generation/"
KEPT_GENERATIONS = 64
TRANSACTION_BYTES = 500_000
TRANSACTION_PARTS = 32
TOKEN_BYTES = 8
WRITE_TRIES = 4


@dataclass(slots=True, frozen=True)
class StoredRoot:
    """The root as the service holds it, and its revision there."""

    root: Root
    revision: int

    @property
    def generation(self) -> int:
        """Generation of the root."""
        return self.root.generation


@dataclass(slots=True, frozen=True)
class GenerationRecord:
    """What is kept of one accepted generation.

    Parameters
    ----------
    generation, token : int, str
        As in its root.
    replaced : dict of int to str
        Names the parts had in the generation before, by place.
    note : dict of str to str
        What the operators' side adds, such as who applied it and when.
    """

    generation: int
    token: str
    replaced: dict[int, str]
    note: dict[str, str]


@dataclass(slots=True, frozen=True)
class Accepted:
    """A new generation was accepted."""

    generation: int


@dataclass(slots=True, frozen=True)
class Conflict:
    """Another operator's generation came in between."""

    generation: int


def generation_key(generation: int) -> str:
    """Return the key of a generation's record; keys sort by generation."""
    return f"{GENERATION_KEY}{generation:016d}"


async def read_root(store: KeyValueStore) -> StoredRoot:
    """Read the root; generation 0 where there is none yet."""
    found = await store.read(ROOT_KEY)
    if found is None:
        return StoredRoot(Root(), 0)
    return StoredRoot(decode_root(found[0]), found[1])


def decode_root(value: bytes) -> Root:
    """Decode a root as the service holds it; may raise StoreError."""
    try:
        generation, token, digests = msgpack.unpackb(value)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise StoreError(f"the root is damaged: {error!r}") from error
    if len(digests) != PARTS:
        raise StoreError(f"the root names {len(digests)} parts in place of {PARTS}")
    return Root(generation, token, tuple(digests))


async def read_records(store: KeyValueStore) -> list[GenerationRecord]:
    """Read the records of the kept generations, oldest first."""
    found = await store.read_prefix(GENERATION_KEY)
    return [
        GenerationRecord(*msgpack.unpackb(found[key][0], strict_map_key=False))
        for key in sorted(found)
    ]


async def read_parts(store: KeyValueStore, root: Root, held: Parts) -> Parts:
    """Read the parts a root names, except those already held.

    Raises
    ------
    MissingPartError
        If a part was deleted meanwhile: the root is no longer the newest, and
        the caller reads the root again.
    StoreError
        If the service did not answer, or a part's content is not what its
        name says.
    """
    contents: dict[int, bytes] = {}
    for place, digest in enumerate(root.digests):
        if digest != held.digests[place]:
            contents[place] = await _read_part(store, digest)
    return held.replaced(contents)


async def _read_part(store: KeyValueStore, digest: str) -> bytes:
    if digest == EMPTY:
        return b""
    found = await store.read(PART_KEY + digest)
    if found is None:
        raise MissingPartError(f"part {digest:.12} is missing")
    try:
        return verify(digest, found[0])
    except ContentError as error:
        raise StoreError(str(error)) from error


async def write_configuration(
    store: KeyValueStore,
    based_on: int,
    sections: Sections,
    highest_known: int = 0,
    note: Mapping[str, str] | None = None,
) -> Accepted | Conflict:
    """Write a new generation from its sections; see `write_parts`."""
    parts = await run_off_loop(Parts.of, sections)
    token = secrets.token_hex(TOKEN_BYTES)
    return await write_parts(store, based_on, parts, token, highest_known, note)


async def write_parts(
    store: KeyValueStore,
    based_on: int,
    parts: Parts,
    token: str,
    highest_known: int = 0,
    note: Mapping[str, str] | None = None,
) -> Accepted | Conflict:
    """Write a new generation based on the one the operator saw.

    Parameters
    ----------
    store : KeyValueStore
        The platform's service.
    based_on : int
        Generation the operator saw.
    parts : Parts
        The whole new configuration, checked.
    token : str
        Unique to this write.
    highest_known : int
        Highest generation that any daemon is known to hold. Where the service
        came back with older contents, the new generation is above this one, so
        that no number is used twice.
    note : mapping of str to str, optional
        Kept in the record of the generation.
    """
    stored = await read_root(store)
    highest = max(stored.generation, highest_known)
    if highest != based_on:
        return Conflict(highest)
    root = Root(highest + 1, token, parts.digests)
    transaction = await _prepare(store, stored, root, parts, dict(note or {}))
    if await _write_once(store, transaction, root):
        return Accepted(root.generation)
    return Conflict((await read_root(store)).generation)


async def _write_once(
    store: KeyValueStore, transaction: Transaction, root: Root
) -> bool:
    """Write a root and settle lost replies.

    A write whose reply was lost may also still be on its way, so an old root
    read back proves nothing. Writing the same again does: by its comparison it
    takes effect once, and where it fails, the token tells whose root came first.
    """
    unknown = False
    for _ in range(WRITE_TRIES):
        try:
            if await store.write(transaction):
                return True
            return unknown and await _was_accepted(store, root)
        except StoreError as error:
            if not error.may_have_applied and not unknown:
                raise
            unknown = True
    raise StoreError("the write may have taken effect; see status", True)


async def _prepare(
    store: KeyValueStore,
    stored: StoredRoot,
    root: Root,
    parts: Parts,
    note: dict[str, str],
) -> Transaction:
    old = stored.root.digests
    replaced = {
        place: old[place] for place in range(PARTS) if old[place] != root.digests[place]
    }
    new = {
        PART_KEY + root.digests[place]: parts.content(place)
        for place in replaced
        if root.digests[place] != EMPTY and root.digests[place] not in old
    }
    if _is_large(new):
        for key, content in new.items():
            await store.write(Transaction(puts={key: content}))
        new = {}
    record = [root.generation, root.token, replaced, note]
    puts = {
        **new,
        ROOT_KEY: msgpack.packb([root.generation, root.token, root.digests]),
        generation_key(root.generation): msgpack.packb(record),
    }
    deletes = await _outdated(store, root, set(replaced.values()))
    return Transaction({ROOT_KEY: stored.revision}, puts, deletes)


def _is_large(parts: dict[str, bytes]) -> bool:
    total_bytes = sum(map(len, parts.values()))
    return total_bytes > TRANSACTION_BYTES or len(parts) > TRANSACTION_PARTS


async def _outdated(
    store: KeyValueStore, root: Root, replaced_now: set[str]
) -> tuple[str, ...]:
    """Name the records past the kept ones, and parts only they refer to.

    A part that a kept generation names and the new root does not was replaced
    since, so it stands in a kept record: it needs no look at old roots.
    """
    records = await read_records(store)
    oldest_kept = root.generation - KEPT_GENERATIONS
    dropped = [record for record in records if record.generation <= oldest_kept]
    needed = set(root.digests) | replaced_now | {EMPTY}
    for record in records:
        if record.generation > oldest_kept:
            needed.update(record.replaced.values())
    parts = {
        PART_KEY + digest
        for record in dropped
        for digest in record.replaced.values()
        if digest not in needed
    }
    keys = [generation_key(record.generation) for record in dropped]
    return (*keys, *sorted(parts))


async def _was_accepted(store: KeyValueStore, root: Root) -> bool:
    """Tell whether a root was accepted, be it the newest or followed by others."""
    return any(record.token == root.token for record in await read_records(store))
