"""The stages of this daemon's claims to endpoints, and the changes of ownership."""

from dataclasses import dataclass
from enum import Enum

from knapweedbridge_core.actions import StoreWrite
from knapweedbridge_core.owner_records import OwnerRecord
from knapweedbridge_core.times import RETRY_INTERVAL_S


class Stage(Enum):
    """Stage of a claim or of a handover."""

    IDLE = "idle"
    READING = "reading"
    READING_LIVENESS = "reading life"
    CLAIMING = "claiming"
    READING_BACK = "reading back"
    OWNING = "owning"
    HANDING_OVER = "handing over"
    READING_BACK_HANDOVER = "reading back a hand-over"


HELD_STAGES = frozenset({Stage.OWNING, Stage.HANDING_OVER, Stage.READING_BACK_HANDOVER})


@dataclass(slots=True)
class OwnerClaim:
    """State of this daemon's claim to an endpoint.

    Parameters
    ----------
    number : int
        Highest fencing number known; this daemon's own while it owns the endpoint.
    since_s : float
        When the last step began.
    epoch, asked_epoch : int
        Epochs of the lease under which ownership was last confirmed, and under which
        the last confirmation was requested.
    revision, liveness_revision : int
        Revisions read of the owner record and of this daemon's liveness key.
    clean : bool
        Whether no order of an earlier owner can be in flight.
    found : OwnerRecord, optional
        The owner record that was read.
    successor : str
        The daemon to which the endpoint is being handed over.
    written : StoreWrite, optional
        The write of the claim, to be repeated if its reply was lost.
    """

    stage: Stage = Stage.IDLE
    number: int = 0
    since_s: float = -RETRY_INTERVAL_S
    epoch: int = 0
    asked_epoch: int = 0
    revision: int = 0
    clean: bool = False
    found: OwnerRecord | None = None
    liveness_revision: int = 0
    successor: str = ""
    written: StoreWrite | None = None


@dataclass(slots=True, frozen=True)
class Claimed:
    """A claim of this daemon succeeded.

    Parameters
    ----------
    clean : bool
        Whether no order of an earlier owner can be in flight.
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
    """The owner record names the successor."""

    endpoint: str
    successor: str
    number: int


OwnershipChange = Claimed | Lost | HandedOver
