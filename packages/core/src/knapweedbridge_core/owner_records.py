"""The record of an endpoint's owner in the key-value service."""

from dataclasses import dataclass

import msgpack

OWNER_KEY = "knapweedbridge/owner/"
ANY_INCARNATION = 0


@dataclass(slots=True, frozen=True)
class OwnerRecord:
    """Record of an endpoint's owner.

    Parameters
    ----------
    owner : str
        Name of the owner, or empty if there is none.
    incarnation : int
        Incarnation of the owner; `ANY_INCARNATION` if the endpoint was handed over.
    number : int
        Fencing number of the owner.
    """

    owner: str
    incarnation: int
    number: int

    def pack(self) -> bytes:
        """Return the encoded record."""
        fields = {"owner": self.owner, "incarnation": self.incarnation}
        return msgpack.packb({**fields, "number": self.number})

    @staticmethod
    def unpack(value: bytes) -> "OwnerRecord":
        """Return the record decoded from a value of the service."""
        fields = msgpack.unpackb(value)
        incarnation = fields.get("incarnation", ANY_INCARNATION)
        return OwnerRecord(fields["owner"], incarnation, fields["number"])
