"""Messages between a caller's daemon and the claim keeper."""

from knapweedbridge_core.codec import message


@message(tag="ClaimAsk")
class ClaimRequest:
    """A caller's daemon asks the claim keeper to make a claim."""

    key: str
    token: str
    record: bytes


@message(tag="ClaimAnswered")
class ClaimResponse:
    """The record that stands; ours if it has the token asked with."""

    token: str
    record: bytes


@message
class ClaimEnded:
    """A request under a claim ended; the record says how."""

    key: str
    token: str
    record: bytes


@message(tag="ClaimEndKept")
class ClaimEndStored:
    """The end of a claim is stored."""

    token: str
