"""What the service keeps of the owner of an endpoint."""

from dataclasses import dataclass

import msgpack

OWNER_KEY = "knapweedbridge/owner/"
ANY_INCARNATION = 0


@dataclass(slots=True, frozen=True)
class OwnerRecord:
    """What the service keeps of an endpoint's owner."""

    owner: str
    incarnation: int
    number: int

    def pack(self) -> bytes:
        """Encode it."""
        fields = {"owner": self.owner, "incarnation": self.incarnation}
        return msgpack.packb({**fields, "number": self.number})

    @staticmethod
    def unpack(value: bytes) -> "OwnerRecord":
        """Decode one."""
        fields = msgpack.unpackb(value)
        incarnation = fields.get("incarnation", ANY_INCARNATION)
        return OwnerRecord(fields["owner"], incarnation, fields["number"])
