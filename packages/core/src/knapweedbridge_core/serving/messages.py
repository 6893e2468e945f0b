"""What daemons tell each other of engines."""

from dataclasses import field

from knapweedbridge_core.codec import message


@message(tag="AdapterWanted")
class AdapterLoadRequest:
    """A daemon asks an engine's owner to load an adapter.

    Parameters
    ----------
    endpoint : str
        The engine.
    base, adapter : str
        What to load.
    version : int
        Oldest version that will do; 0: any.
    """

    endpoint: str
    base: str
    adapter: str
    version: int


@message(tag="AdapterMissed")
class AdapterMissing:
    """An engine refused a call, as it does not hold the adapter that it should."""

    endpoint: str
    base: str
    adapter: str


@message(tag="CallsRunning")
class CallsReport:
    """All calls of a daemon on one engine; this replaces what it said before.

    Parameters
    ----------
    endpoint : str
        The engine.
    calls : dict of str to int
        Calls by model, ``BASE/ADAPTER`` or ``BASE``.
    unread_tokens : int
        Tokens of the prompts whose first event has not come yet.
    started_ms : int
        The engine's start that they run on, as in `EndpointRecord`.
    pause_s : float
        Longest pause between two events of a stream there since the last telling.
    sent_tokens : list of int
        Lengths of the prompts that were sent there without a turn since then.
    first_events : list of [prompt_tokens, unread_tokens, took_s]
        Times to first events since then, 8 at most.
    gaps : list of float
        Number and sum of the pauses between events since then; empty: none.
    """

    endpoint: str
    calls: dict[str, int]
    unread_tokens: int
    started_ms: int = 0
    pause_s: float = 0.0
    sent_tokens: list[int] = field(default_factory=list)
    first_events: list[list] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)


@message(tag="TurnAsked")
class TurnRequest:
    """A daemon asks an engine's owner when it may send a prompt.

    Parameters
    ----------
    ticket : int
        What the daemon knows the prompt by.
    tokens : int
        Its length.
    urgency : int
        Rank among calls; 0 goes first.
    """

    endpoint: str
    ticket: int
    tokens: int
    urgency: int


@message(tag="TurnsGiven")
class TurnGrant:
    """An owner lets a daemon send some prompts."""

    endpoint: str
    tickets: list[int]


@message
class EngineTold:
    """An owner tells all of its engine; this replaces what it said before.

    Parameters
    ----------
    endpoint : str
        The engine.
    number : int
        The owner's fencing number; a lower one is of an owner of before.
    order : int
        Rises by one with each telling of one owner.
    held : list of [base, adapter, version, ready_in_s, users, idle_s]
        Adapters that are there, or will be after some seconds, the calls on each, and
        for how long none has begun or ended.
    others_calls, others_unread_tokens : int
        Calls of other daemons than the one that is told, and the tokens of their
        prompts that the engine has yet to read.
    places_free : int
        Places that a new adapter could get now.
    wants : int
        Adapters that daemons wait for there.
    bases : list of str
        Base models that it holds.
    cold_s : float
        How long a load from the weight store takes, as far as the owner knows.
    started_ms : int
        The engine's start that this is about, as in `EndpointRecord`.
    long_prompts_per_s : float
        Prompts that pause its streams for longer than they accept, of late.
    pace_tokens : float
        Tokens of prompts that pass within the longest pause which its streams accept.
    pace_scale : float
        That as a part of what its reading allows, where pauses have shown it; else 0.
    loads_at_once : float
        Loads that the weight store was seen to serve at full speed.
    of_all : bool
        Whether the calls and tokens are those of all daemons, the one that is told
        among them: so it is where one telling goes to many.
    speed : float
        Times that the engine takes as long as the usual one of its service, as its
        owner has learnt; 0.0: unknown.
    """

    endpoint: str
    number: int
    order: int
    held: list[list]
    others_calls: int
    others_unread_tokens: int
    places_free: int
    wants: int
    bases: list[str]
    cold_s: float = 0.0
    started_ms: int = 0
    long_prompts_per_s: float = 0.0
    pace_tokens: float = float("inf")
    pace_scale: float = 0.0
    loads_at_once: float = 0.0
    of_all: bool = False
    speed: float = 0.0


@message
class EngineChanged:
    """What changed since the owner's last telling; fields as in `EngineTold`.

    Parameters
    ----------
    added : list of [base, adapter, version, ready_in_s]
        Adapters that were loaded or are on their way.
    removed : list of [base, adapter]
        Adapters that are gone.
    """

    endpoint: str
    number: int
    order: int
    added: list[list]
    removed: list[list]
    others_calls: int
    others_unread_tokens: int
    places_free: int
    wants: int
    bases: list[str]
    started_ms: int = 0
    long_prompts_per_s: float = 0.0
    pace_tokens: float = float("inf")
    pace_scale: float = 0.0
    of_all: bool = False
    speed: float = 0.0


@message(tag="OwnerAnswered")
class OwnerAck:
    """An owner has heard a daemon's wish; nothing else changed."""

    endpoint: str
    number: int


@message(tag="EngineAsked")
class EngineSnapshotRequest:
    """A daemon missed a telling, and asks for all."""

    endpoint: str


@message(tag="OwnershipTaken")
class OwnershipClaimed:
    """A daemon that claimed an engine asks the owner before to stop ordering it."""

    endpoint: str
    number: int


@message(tag="OwnershipEnded")
class OwnershipReleased:
    """The owner before gives no more orders to an engine."""

    endpoint: str
    number: int


@message(tag="StoreTold")
class StoreUpdate:
    """A relay hands on what it heard of the store and of the engines.

    Parameters
    ----------
    since, revision : int
        The changes after the first revision, up to the second; 0: the relay has not
        heard of the store lately.
    items : bytes
        What changed, packed by the daemon's `store_telling`.
    engines : bytes
        What owners told of their engines, packed by the same.
    mark_s : float
        Newest mark of the hearer that the revision covers, see `store_age`; 0.0: none.
    """

    since: int
    revision: int
    items: bytes
    engines: bytes = b""
    mark_s: float = 0.0


@message(tag="StoreMarked")
class StoreMark:
    """A hearer marks a moment of its own clock at its relay; see `store_age`."""

    mark_s: float


@message(tag="RelayAsked")
class RelayRequest:
    """A daemon asks a relay of its data centre for what it has missed.

    From then on, for some seconds, it hears that relay whichever is its own.

    Parameters
    ----------
    engines : bool
        Whether it asks for all that the relay knows of engines.
    revision : int
        The store's revision after which it has missed changes; 0: it has missed none.
    """

    engines: bool = True
    revision: int = 0


@message(tag="ShareAsked")
class QuotaRequest:
    """A daemon asks a keeper of an account's quota for units of its part.

    Parameters
    ----------
    account : str
        The client account.
    needed, others, ahead : int
        Units of the first call that waits, of those behind it, and for calls that are
        still to come.
    """

    account: str
    needed: int
    others: int
    ahead: int


@message(tag="ShareGiven")
class QuotaResponse:
    """A keeper gives units of its part, or says after how long it may.

    Parameters
    ----------
    account : str
        The client account.
    units : int
        What the asker may use.
    wait_s : float
        After how long more may be there; 0.0: all that was asked for was given.
    is_known : bool
        Whether the keeper can tell what is left of its part.
    """

    account: str
    units: int
    wait_s: float
    is_known: bool = True
