"""Splits a configuration into parts that are stored and sent by content hash.

A section belongs to the part given by the hash of its title, so a change of one
section rewrites one part. In memory a part stays packed and compressed.
"""

import hashlib
import zlib
from dataclasses import dataclass

import msgpack

from knapweedbridge_core.errors import ContentError

Sections = dict[str, dict[str, str]]
Changes = dict[str, dict[str, str] | None]

PARTS = 64
EMPTY = ""
_COMPRESSION_LEVEL = 1


def part_of(title: str) -> int:
    """Return the index of the part that holds a section."""
    digest = hashlib.blake2b(title.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % PARTS


def digest_of(content: bytes) -> str:
    """Return the SHA-256 digest of a part; empty for an empty part."""
    return hashlib.sha256(content).hexdigest() if content else EMPTY


def verify(digest: str, content: bytes) -> bytes:
    """Return the content if it matches the digest.

    Raises
    ------
    ContentError
        If the content does not match, as after a damaged restore.
    """
    if digest_of(content) != digest:
        raise ContentError(f"part {digest:.12}: content does not match its digest")
    return content


def pack_part(sections: Sections) -> bytes:
    """Pack a part; equal sections give equal bytes in whatever order they come."""
    if not sections:
        return b""
    ordered = {
        title: dict(sorted(sections[title].items())) for title in sorted(sections)
    }
    return msgpack.packb(ordered)


def unpack_part(content: bytes) -> Sections:
    """Return the sections of a part packed by `pack_part`."""
    return msgpack.unpackb(content) if content else {}


@dataclass(slots=True, frozen=True)
class Root:
    """Identifies one generation of the configuration and its parts.

    Parameters
    ----------
    generation : int
        Increases with each accepted change.
    token : str
        Unique to the write, so that equal contents written by two operators differ.
    digests : tuple of str
        Digest of each part, by index; empty for an empty part.
    """

    generation: int = 0
    token: str = ""
    digests: tuple[str, ...] = (EMPTY,) * PARTS


@dataclass(slots=True, frozen=True)
class Parts:
    """All parts of one generation, by index."""

    digests: tuple[str, ...] = (EMPTY,) * PARTS
    _packed: tuple[bytes, ...] = (b"",) * PARTS

    @classmethod
    def of(cls, sections: Sections) -> "Parts":
        """Split sections into parts."""
        buckets: list[Sections] = [{} for _ in range(PARTS)]
        for title, items in sections.items():
            buckets[part_of(title)][title] = items
        return cls().replaced(
            {index: pack_part(bucket) for index, bucket in enumerate(buckets)}
        )

    def content(self, index: int) -> bytes:
        """Return the content of a part as it is stored and sent."""
        packed = self._packed[index]
        return zlib.decompress(packed) if packed else b""

    def replaced(self, contents: dict[int, bytes]) -> "Parts":
        """Return a copy with new contents for the parts at these indices."""
        digests = list(self.digests)
        packed = list(self._packed)
        for index, content in contents.items():
            digests[index] = digest_of(content)
            packed[index] = zlib.compress(content, _COMPRESSION_LEVEL)
        return Parts(tuple(digests), tuple(packed))

    def section(self, title: str) -> dict[str, str] | None:
        """Return a section, or None if it does not exist."""
        return unpack_part(self.content(part_of(title))).get(title)

    def sections(self) -> Sections:
        """Return all sections."""
        joined: Sections = {}
        for index in range(PARTS):
            joined.update(unpack_part(self.content(index)))
        return joined

    def changed(self, changes: Changes) -> "Parts":
        """Return a copy with sections replaced, or removed where None."""
        buckets: dict[int, Sections] = {}
        for title, items in changes.items():
            index = part_of(title)
            if index not in buckets:
                buckets[index] = unpack_part(self.content(index))
            if items is None:
                buckets[index].pop(title, None)
            else:
                buckets[index][title] = items
        return self.replaced({index: pack_part(b) for index, b in buckets.items()})

    def changes_from(self, older: "Parts") -> Changes:
        """Return the changes from older parts to these."""
        changes: Changes = {}
        for index in range(PARTS):
            if self.digests[index] != older.digests[index]:
                before = unpack_part(older.content(index))
                after = unpack_part(self.content(index))
                changes.update({title: None for title in before if title not in after})
                changes.update(
                    {
                        title: items
                        for title, items in after.items()
                        if before.get(title) != items
                    }
                )
        return changes

    @property
    def size_bytes(self) -> int:
        """Memory used by the compressed parts, in bytes."""
        return sum(map(len, self._packed))
