"""Messages that propagate the configuration between daemons."""

from typing import Any

from knapweedbridge_core.codec import message


@message(tag="ConfigurationAsk")
class ConfigurationRequest:
    """Asks for the receiver's configuration; names the generation of the sender."""

    generation: int
    token: str


@message(tag="ConfigurationChanged")
class ConfigurationDelta:
    """The changes from the requester's generation to the sender's.

    Parameters
    ----------
    digests : dict of int to str
        New digest of each changed part, by index.
    sections : dict of str to dict or None
        New content of each changed section; None if it was removed.
    """

    base_token: str
    generation: int
    token: str
    digests: dict[int, str]
    sections: dict[str, Any]


@message
class ConfigurationRoot:
    """The sender's root, if its deltas do not reach back far enough."""

    generation: int
    token: str
    digests: list[str]


@message(tag="PartsAsk")
class PartsRequest:
    """Asks for the parts at these indices of the root with this token."""

    token: str
    indices: list[int]


@message(tag="PartTold")
class PartResponse:
    """The content of one part of the root with this token."""

    token: str
    index: int
    content: bytes
