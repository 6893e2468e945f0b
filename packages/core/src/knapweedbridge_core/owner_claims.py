"""How far this daemon's claims to endpoints are, and what became of them."""

from dataclasses import dataclass
from enum import Enum

from knapweedbridge_core.actions import StoreWrite
from knapweedbridge_core.owner_records import OwnerRecord
from knapweedbridge_core.times import RETRY_INTERVAL_S


class Stage(Enum):
    """How far a claim or a hand-over is."""

    IDLE = "idle"
    READING = "reading"
    READING_LIFE = "reading life"
    CLAIMING = "claiming"
    READING_BACK = "reading back"
    OWNING = "owning"
    HANDING = "handing over"
    HANDING_BACK = "reading back a hand-over"


HELD_STAGES = frozenset({Stage.OWNING, Stage.HANDING, Stage.HANDING_BACK})


@dataclass(slots=True)
class OwnerClaim:
    """How this daemon's claim to an endpoint stands.

    Parameters
    ----------
    number : int
        Highest fencing number known; this daemon's own where it owns.
    epoch, asked_epoch : int
        Epoch of the lease under which it was last confirmed, and was last asked.
    revision, life_revision : int
        Revisions read of the owner's record and of this daemon's life key.
    clean : bool
        Whether no order of an earlier owner can be under way.
    found : OwnerRecord, optional
        The record read.
    successor : str
        The daemon it is handed over to.
    written : StoreWrite, optional
        The write of the claim, to be sent again where its reply was lost.
    """

    stage: Stage = Stage.IDLE
    number: int = 0
    since_s: float = -RETRY_INTERVAL_S
    epoch: int = 0
    asked_epoch: int = 0
    revision: int = 0
    clean: bool = False
    found: OwnerRecord | None = None
    life_revision: int = 0
    successor: str = ""
    written: StoreWrite | None = None


@dataclass(slots=True, frozen=True)
class Claimed:
    """A claim of this daemon took effect.

    Parameters
    ----------
    clean : bool
        Whether no order of an earlier owner can be under way.
    """

    endpoint: str
    number: int
    clean: bool


@dataclass(slots=True, frozen=True)
class Lost:
    """An endpoint that this daemon owned has another owner."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class HandedOver:
    """The record names the successor."""

    endpoint: str
    successor: str
    number: int


Change = Claimed | Lost | HandedOver
