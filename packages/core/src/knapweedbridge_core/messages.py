"""Messages between daemons and their encoding in msgpack.

A message travels as ``[tag, field, field, ...]`` in the order of its class.
"""

from dataclasses import dataclass, field, fields
from typing import Any, TypeVar, dataclass_transform

import msgpack

from knapweedbridge_core.errors import MessageError
from knapweedbridge_core.names import AdapterVersion

_CLASSES: dict[str, type] = {}
_MODEL_EXTENSION = 1
MAX_MESSAGE_BYTES = 1 << 22

T = TypeVar("T")


@dataclass_transform(frozen_default=True)
def message(cls: type[T]) -> type[T]:
    """Make a dataclass with slots a message, tagged by its class name."""
    made = dataclass(slots=True, frozen=True)(cls)
    _CLASSES[made.__name__] = made
    return made


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
class GrantAsk:
    """A caller's daemon asks an owner for a grant."""

    attempt_id: str
    endpoint: str
    model: AdapterVersion
    priority: str = "normal"
    suspect: bool = False


@message
class GrantGiven:
    """The owner, under its fencing number, pinned the slot for this attempt."""

    attempt_id: str
    endpoint: str
    number: int = 0


@message
class GrantRefused:
    """The adapter is not to be had on this endpoint."""

    attempt_id: str
    endpoint: str
    reason: str


@message
class GrantReturned:
    """The attempt ended; the slot need not be pinned for it."""

    attempt_id: str
    endpoint: str
    model: AdapterVersion


@message
class LoadWanted:
    """All requests of a daemon that wait for an adapter no endpoint holds.

    Parameters
    ----------
    waiters : int
        How many; this replaces what the daemon said before.
    oldest_wait_s : float
        How long the first has waited.
    shortest_left_s, longest_left_s : float
        Time to the first and to the last deadline among them.
    """

    model: AdapterVersion
    waiters: int
    oldest_wait_s: float
    shortest_left_s: float = 60.0
    longest_left_s: float = 60.0


@message
class LoadPlaced:
    """The load order chose an endpoint, and a victim if its slots are full."""

    model: AdapterVersion
    endpoint: str
    victim: AdapterVersion | None
    orderer: str


@message
class LoadEnded:
    """The owner tells the load order how a load ended."""

    model: AdapterVersion
    endpoint: str
    loaded: bool


@message
class SlotsChanged:
    """An owner tells what an endpoint of its own holds and runs."""

    endpoint: str
    owner: str
    number: int
    loaded: list[AdapterVersion]
    running: int


@message
class Introduction:
    """Once a link: where the sender's administration API listens."""

    administration: str


@message
class GrantsAsk:
    """An owner asks a holder which grants on an endpoint it keeps or waits for."""

    endpoint: str
    number: int


@message
class GrantsHeld:
    """A holder tells its grants, and evictions that it witnessed the beginning of."""

    endpoint: str
    number: int
    attempts: list[str]
    models: list[AdapterVersion]
    condemned: list[AdapterVersion]


@message
class OwnerRose:
    """An endpoint has an owner with a higher number than the hearer's."""

    endpoint: str
    number: int


@message
class EvictionIntent:
    """An owner is about to order an eviction."""

    endpoint: str
    model: AdapterVersion
    number: int


@message
class EvictionNoted:
    """A witness will tell a later owner of the intent."""

    endpoint: str
    model: AdapterVersion
    number: int


@message
class EvictionOver:
    """The eviction ended, or was never ordered."""

    endpoint: str
    model: AdapterVersion
    number: int


@message
class HandOver:
    """An owner gives an endpoint to its successor, whom the record names."""

    endpoint: str
    number: int
    loaded: list[AdapterVersion]
    grant_models: list[AdapterVersion]
    grant_attempts: list[str]
    grant_holders: list[str]
    condemned: list[AdapterVersion]


@message
class ClaimAsk:
    """A caller's daemon asks the claim keeper to make a claim."""

    key: str
    token: str
    record: bytes


@message
class ClaimAnswered:
    """The record that stands; ours if it has the token asked with."""

    token: str
    record: bytes


@message
class ClaimEnded:
    """A request under a claim ended; the record says how."""

    key: str
    token: str
    record: bytes


@message
class ClaimEndKept:
    """The end of a claim is stored."""

    token: str


@message
class BlameTold:
    """A daemon tells what it holds against a fingerprint."""

    fingerprint: str
    loss_id: str
    endpoint: str
    state: str
    age_s: float


@message
class BlameCleared:
    """A suspected request got its whole answer."""

    fingerprint: str


@message
class LeavingTold:
    """A daemon saw the sign that an endpoint leaves, or that it stays after all."""

    endpoint: str
    leaving: bool
    ordered: bool


def _pack_default(value: Any) -> Any:
    if isinstance(value, AdapterVersion):
        packed = msgpack.packb([value.adapter, value.version])
        return msgpack.ExtType(_MODEL_EXTENSION, packed)
    raise MessageError(f"{type(value).__name__} cannot travel in a message")


def _unpack_extension(code: int, data: bytes) -> Any:
    if code != _MODEL_EXTENSION:
        raise MessageError(f"unknown extension {code}")
    return AdapterVersion(*msgpack.unpackb(data))


def encode(sent: Any) -> bytes:
    """Encode one message."""
    values = [getattr(sent, each.name) for each in fields(sent)]
    return msgpack.packb([type(sent).__name__, *values], default=_pack_default)


def unpacker(max_message_bytes: int = MAX_MESSAGE_BYTES) -> msgpack.Unpacker:
    """Make the incremental decoder of one peer stream."""
    return msgpack.Unpacker(
        ext_hook=_unpack_extension,
        max_buffer_size=max_message_bytes,
        strict_map_key=False,
    )


def decode(packed: Any) -> Any:
    """Turn one unpacked list into its message.

    Raises
    ------
    MessageError
        If the tag is unknown or the fields do not fit.
    """
    try:
        tag, *values = packed
        return _CLASSES[tag](*values)
    except (TypeError, ValueError, KeyError) as error:
        raise MessageError(f"no message of ours: {packed!r:.200}") from error


@message
class SilenceAsk:
    """A daemon hears nothing from another and asks whether this one does."""

    host: str


@message
class SilenceTold:
    """Whether a daemon answered the one that was asked to try it."""

    host: str
    answered: bool


@message
class ProbeAsk:
    """Any answer will do."""


@message
class ProbeTold:
    """The answer to a probe."""


@message
class MembersAsk:
    """A daemon that may have missed something asks for all members."""


@message
class MembersTold:
    """All members as the sender sees them, each a `members.MemberState`."""

    states: list[Any]


@message
class ConfigurationAsk:
    """A daemon holds this generation and asks for the sender's."""

    generation: int
    token: str


@message
class ConfigurationChanged:
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


@message
class PartsAsk:
    """Asks for parts by place; the token is the root's."""

    token: str
    places: list[int]


@message
class PartTold:
    """One part of a root."""

    token: str
    place: int
    content: bytes


@message
class LoadRefused:
    """The load order cannot load an adapter in time.

    Parameters
    ----------
    reason : str
        An `outcomes.Reason`.
    ready_in_s : float
        Waiting requests whose deadline is nearer are refused.
    retry_after_s : float
        When their callers should come back.
    """

    model: AdapterVersion
    reason: str
    ready_in_s: float
    retry_after_s: float


@message
class LoadFailed:
    """An owner ordered a load and the endpoint failed it."""

    model: AdapterVersion
    endpoint: str


@message
class UsesTold:
    """What a daemon's callers asked for since it last told the load order.

    Parameters
    ----------
    uses : list of [AdapterVersion, int]
        The most used, bounded.
    """

    uses: list[Any]


@message
class CountsTold:
    """A daemon's own long counts, for a load order that begins anew.

    Parameters
    ----------
    counts : list of [AdapterVersion, float]
        The largest, bounded.
    age_s : float
        How long they were kept.
    """

    counts: list[Any]
    age_s: float


@message
class SlotWanted:
    """The load order wants a slot emptied ahead of its next load."""

    endpoint: str
    victim: AdapterVersion


@message
class SlotDeclined:
    """The owner keeps the slot, as something pins it."""

    endpoint: str
    victim: AdapterVersion
