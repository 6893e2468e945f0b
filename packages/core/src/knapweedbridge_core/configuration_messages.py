"""Messages by which a configuration spreads."""

from typing import Any

from knapweedbridge_core.codec import message


@message(tag="ConfigurationAsk")
class ConfigurationRequest:
    """A daemon holds this generation and asks for the sender's."""

    generation: int
    token: str


@message(tag="ConfigurationChanged")
class ConfigurationDelta:
    """The changes from the generation asked from to the sender's.

    Parameters
    ----------
    digests : dict of int to str
        New names of the parts that changed, by place.
    sections : dict of str to dict or None
        New content of each changed section; None: removed.
    """

    base_token: str
    generation: int
    token: str
    digests: dict[int, str]
    sections: dict[str, Any]


@message
class ConfigurationRoot:
    """The sender's root, where its changes do not reach back far enough."""

    generation: int
    token: str
    digests: list[str]


@message(tag="PartsAsk")
class PartsRequest:
    """Asks for parts by place; the token is the root's."""

    token: str
    places: list[int]


@message(tag="PartTold")
class PartResponse:
    """One part of a root."""

    token: str
    place: int
    content: bytes
