"""Messages by which daemons know each other as alive."""

from dataclasses import field
from typing import Any

from knapweedbridge_core.codec import message


@message
class Heartbeat:
    """A daemon lives, and knows this generation.

    Parameters
    ----------
    refuted : int
        How often this incarnation refuted that it was dead.
    digest : int
        Checksum of the members as the sender sees them.
    states : list
        What changed lately, each a `members.MemberState`.
    """

    host: str
    incarnation: int
    generation: int
    draining: bool
    refuted: int = 0
    digest: int = 0
    states: list[Any] = field(default_factory=list)


@message
class Introduction:
    """Once a link: where the sender's administration API listens."""

    administration: str


@message(tag="SilenceAsk")
class IndirectProbeRequest:
    """A daemon hears nothing from another and asks whether this one does."""

    host: str


@message(tag="SilenceTold")
class IndirectProbeResponse:
    """Whether a daemon answered the one that was asked to try it."""

    host: str
    answered: bool


@message(tag="ProbeAsk")
class ProbeRequest:
    """Any answer will do."""


@message(tag="ProbeTold")
class ProbeResponse:
    """The answer to a probe."""


@message(tag="MembersAsk")
class MembersRequest:
    """A daemon that may have missed something asks for all members."""


@message(tag="MembersTold")
class MemberList:
    """All members as the sender sees them, each a `members.MemberState`."""

    states: list[Any]
