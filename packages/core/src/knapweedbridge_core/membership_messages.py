"""Messages of the membership protocol."""

from dataclasses import field
from typing import Any

from knapweedbridge_core.codec import message


@message
class Heartbeat:
    """The sender is alive and has this generation of the configuration.

    Parameters
    ----------
    refuted : int
        How often this incarnation refuted that it was dead.
    digest : int
        Checksum of the live members as the sender sees them.
    states : list
        Recent changes, each a `members.MemberState`.
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
    """Address of the sender's administration API, sent once per connection."""

    administration: str


@message(tag="SilenceAsk")
class IndirectProbeRequest:
    """The sender hears nothing from a daemon and asks the receiver to probe it."""

    host: str


@message(tag="SilenceTold")
class IndirectProbeResponse:
    """Whether the probed daemon answered."""

    host: str
    answered: bool


@message(tag="ProbeAsk")
class ProbeRequest:
    """Any message is a valid answer to this probe."""


@message(tag="ProbeTold")
class ProbeResponse:
    """The answer to a probe."""


@message(tag="MembersAsk")
class MembersRequest:
    """The sender may have missed updates and asks for all members."""


@message(tag="MembersTold")
class MemberList:
    """All members as the sender sees them, each a `members.MemberState`."""

    states: list[Any]
