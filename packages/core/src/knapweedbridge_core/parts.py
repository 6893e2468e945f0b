"""The parts a configuration is kept and sent in, each named by its content's hash.

A section belongs to one part by the hash of its title, so that one change
rewrites one part. In memory a part stays packed and compressed.
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
    """Return the place of the part that holds a section."""
    digest = hashlib.blake2b(title.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % PARTS


def digest_of(content: bytes) -> str:
    """Name a part by its content; an empty part has the empty name."""
    return hashlib.sha256(content).hexdigest() if content else EMPTY


def verify(digest: str, content: bytes) -> bytes:
    """Return the content if its name is right.

    Raises
    ------
    ContentError
        If the content is not the one named, as after a damaged restore.
    """
    if digest_of(content) != digest:
        raise ContentError(f"part {digest:.12} holds other content")
    return content


def pack_part(sections: Sections) -> bytes:
    """Pack a part; equal sections give equal bytes, whatever their order was."""
    if not sections:
        return b""
    ordered = {
        title: dict(sorted(sections[title].items())) for title in sorted(sections)
    }
    return msgpack.packb(ordered)


def unpack_part(content: bytes) -> Sections:
    """Undo `pack_part`."""
    return msgpack.unpackb(content) if content else {}


@dataclass(slots=True, frozen=True)
class Root:
    """What names one generation of the configuration.

    Parameters
    ----------
    generation : int
        Rises with each accepted change.
    token : str
        Unique to the write, so that identical contents of two operators differ.
    digests : tuple of str
        Name of each part, by place; empty where the part holds nothing.
    """

    generation: int = 0
    token: str = ""
    digests: tuple[str, ...] = (EMPTY,) * PARTS


@dataclass(slots=True, frozen=True)
class Parts:
    """All parts of one generation, by place."""

    digests: tuple[str, ...] = (EMPTY,) * PARTS
    _packed: tuple[bytes, ...] = (b"",) * PARTS

    @classmethod
    def of(cls, sections: Sections) -> "Parts":
        """Split sections into parts."""
        buckets: list[Sections] = [{} for _ in range(PARTS)]
        for title, items in sections.items():
            buckets[part_of(title)][title] = items
        return cls().replaced(
            {place: pack_part(bucket) for place, bucket in enumerate(buckets)}
        )

    def content(self, place: int) -> bytes:
        """Return a part as it is stored and sent."""
        packed = self._packed[place]
        return zlib.decompress(packed) if packed else b""

    def replaced(self, contents: dict[int, bytes]) -> "Parts":
        """Return parts in which these places hold other contents."""
        digests = list(self.digests)
        packed = list(self._packed)
        for place, content in contents.items():
            digests[place] = digest_of(content)
            packed[place] = zlib.compress(content, _COMPRESSION_LEVEL)
        return Parts(tuple(digests), tuple(packed))

    def section(self, title: str) -> dict[str, str] | None:
        """Return one section, or None."""
        return unpack_part(self.content(part_of(title))).get(title)

    def sections(self) -> Sections:
        """Return all sections."""
        joined: Sections = {}
        for place in range(PARTS):
            joined.update(unpack_part(self.content(place)))
        return joined

    def changed(self, changes: Changes) -> "Parts":
        """Return parts with sections replaced, or removed where None."""
        buckets: dict[int, Sections] = {}
        for title, items in changes.items():
            place = part_of(title)
            if place not in buckets:
                buckets[place] = unpack_part(self.content(place))
            if items is None:
                buckets[place].pop(title, None)
            else:
                buckets[place][title] = items
        return self.replaced({place: pack_part(b) for place, b in buckets.items()})

    def changes_from(self, older: "Parts") -> Changes:
        """Return the changes that turn older parts into these."""
        changes: Changes = {}
        for place in range(PARTS):
            if self.digests[place] != older.digests[place]:
                was = unpack_part(older.content(place))
                now = unpack_part(self.content(place))
                changes.update({title: None for title in was if title not in now})
                changes.update(
                    {
                        title: items
                        for title, items in now.items()
                        if was.get(title) != items
                    }
                )
        return changes

    @property
    def size_bytes(self) -> int:
        """Bytes held in memory."""
        return sum(map(len, self._packed))
