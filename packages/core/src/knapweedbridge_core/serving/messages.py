"""Messages between daemons about model engines, the store's state and quotas."""

from dataclasses import field

from knapweedbridge_core.codec import message


@message(tag="AdapterWanted")
class AdapterLoadRequest:
    """A daemon requests that an engine's owner load an adapter.

    Parameters
    ----------
    endpoint : str
        The engine.
    base, adapter : str
        Base model and adapter to load.
    version : int
        Minimum version; 0: any.
    """

    endpoint: str
    base: str
    adapter: str
    version: int


@message(tag="AdapterMissed")
class AdapterMissing:
    """An engine rejected a call because it does not hold the expected adapter."""

    endpoint: str
    base: str
    adapter: str


@message(tag="CallsRunning")
class CallsReport:
    """All calls that a daemon runs on one engine; replaces its previous report.

    Parameters
    ----------
    endpoint : str
        The engine.
    calls : dict of str to int
        Number of calls by model, ``BASE/ADAPTER`` or ``BASE``.
    unread_tokens : int
        Tokens of the prompts that have not yielded a first event yet.
    started_ms : int
        Start of the engine that the calls run on, as in `EndpointRecord`.
    pause_s : float
        Longest pause between two events of a stream since the previous report.
    sent_tokens : list of int
        Lengths of the prompts sent without a turn since the previous report.
    first_events : list of [prompt_tokens, unread_tokens, took_s]
        Times to first event since the previous report, 8 at most.
    gaps : list of float
        Count and sum of the pauses between events since the previous report; empty:
        none.
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
    """A daemon asks an engine's owner for permission to send a prompt.

    Parameters
    ----------
    ticket : int
        Identifies the prompt at the daemon.
    tokens : int
        Length of the prompt.
    urgency : int
        Priority of the call; 0 is the highest.
    """

    endpoint: str
    ticket: int
    tokens: int
    urgency: int


@message(tag="TurnsGiven")
class TurnGrant:
    """An owner permits a daemon to send the prompts with these tickets."""

    endpoint: str
    tickets: list[int]


@message(tag="EngineTold")
class EngineSnapshot:
    """Snapshot of an engine by its owner; replaces all earlier ones.

    Parameters
    ----------
    endpoint : str
        The engine.
    number : int
        The owner's fencing number; messages of an earlier owner have a lower one.
    order : int
        Sequence number; increases by one with each message of one owner.
    held : list of [base, adapter, version, ready_in_s, users, idle_s]
        Adapters that are loaded, or will be in ``ready_in_s`` seconds, with the number
        of calls on each and the time since one last started or ended.
    others_calls, others_unread_tokens : int
        Calls of daemons other than the receiver, and the tokens of their prompts that
        the engine has yet to read.
    places_free : int
        Adapter slots that are free for a new adapter.
    wants : int
        Adapters that daemons are waiting for on this engine.
    bases : list of str
        Base models that the engine holds.
    cold_s : float
        Time to load from the weight store, as estimated by the owner.
    started_ms : int
        Start of the engine that this describes, as in `EndpointRecord`.
    long_prompts_per_s : float
        Recent rate of prompts that pause the engine's streams for longer than the
        streams accept.
    pace_tokens : float
        Prompt tokens that the engine reads within the longest pause that its streams
        accept.
    pace_scale : float
        ``pace_tokens`` as a share of what the reading speed allows, once pauses have
        been measured; otherwise 0.
    loads_at_once : float
        Concurrent loads that the weight store was observed to serve at full speed.
    of_all : bool
        Whether calls and tokens count all daemons including the receiver, as in a
        message that is sent to many.
    speed : float
        Learned slowdown relative to a typical engine of the service; 0.0: unknown.
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


@message(tag="EngineChanged")
class EngineDelta:
    """Update of the owner's previous message; fields as in `EngineSnapshot`.

    Parameters
    ----------
    added : list of [base, adapter, version, ready_in_s]
        Adapters that were loaded or are being loaded.
    removed : list of [base, adapter]
        Adapters that were evicted.
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
    """An owner acknowledges a daemon's request that changed nothing else."""

    endpoint: str
    number: int


@message(tag="EngineAsked")
class EngineSnapshotRequest:
    """A daemon missed an update and requests a full snapshot."""

    endpoint: str


@message(tag="OwnershipTaken")
class OwnershipClaimed:
    """The daemon that claimed an engine asks the previous owner to stop its orders."""

    endpoint: str
    number: int


@message(tag="OwnershipEnded")
class OwnershipReleased:
    """The previous owner confirms that it sends no more orders to an engine."""

    endpoint: str
    number: int


@message(tag="StoreTold")
class StoreUpdate:
    """A relay forwards changes of the store and of the engines.

    Parameters
    ----------
    since, revision : int
        The update covers the changes after the first revision up to the second; 0: the
        relay has received nothing from the store recently.
    items : bytes
        Changed items, packed by the daemon's `store_telling`.
    engines : bytes
        Owners' messages about their engines, packed likewise.
    mark_s : float
        Newest mark of the subscriber that the revision covers, see `store_age`; 0.0:
        none.
    """

    since: int
    revision: int
    items: bytes
    engines: bytes = b""
    mark_s: float = 0.0


@message(tag="StoreMarked")
class StoreMark:
    """A subscriber sends its relay a timestamp of its own clock; see `store_age`."""

    mark_s: float


@message(tag="RelayAsked")
class RelayRequest:
    """A daemon asks a relay of its data centre for the changes that it has missed.

    For some seconds from then on it subscribes to that relay, even if another one is
    its own.

    Parameters
    ----------
    engines : bool
        Whether to send all that the relay knows of engines.
    revision : int
        Store revision after which the daemon has missed changes; 0: it has missed none.
    """

    engines: bool = True
    revision: int = 0


@message(tag="ShareAsked")
class QuotaRequest:
    """A daemon requests units of an account's quota from a coordinator of a part of it.

    Parameters
    ----------
    account : str
        The client account.
    needed, others, ahead : int
        Units for the first waiting call, for the calls queued behind it, and for calls
        that are still expected.
    """

    account: str
    needed: int
    others: int
    ahead: int


@message(tag="ShareGiven")
class QuotaResponse:
    """A coordinator grants units of its part of a quota, or says when to ask again.

    Parameters
    ----------
    account : str
        The client account.
    units : int
        Units granted.
    wait_s : float
        Time until more may be available; 0.0: the request was granted in full.
    is_known : bool
        Whether the coordinator knows how much of its part is left.
    """

    account: str
    units: int
    wait_s: float
    is_known: bool = True
