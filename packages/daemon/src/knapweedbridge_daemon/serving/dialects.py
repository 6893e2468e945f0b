"""How callers, endpoints and the platform's store are spoken to.

A dialect turns names and formats on the wire into the product's own types, and back.
It decides nothing. A package that implements these for one platform is named by the
setting ``[serving] dialect`` and imported by that name.
"""

import importlib
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from knapweedbridge_core.serving import (
    EngineReport,
    ModelRef,
    Order,
    OrderAnswer,
)
from knapweedbridge_core.serving.cluster_state import StoreEvent
from knapweedbridge_daemon.errors import DaemonError
from knapweedbridge_daemon.serving.wire import (
    Headers,
    RequestHead,
    ResponseHead,
    WireRequest,
)
from knapweedbridge_daemon.store import RevisionedStore


class DialectError(DaemonError):
    """What came cannot be read as what it should be."""


@dataclass(slots=True, frozen=True)
class CallDetails:
    """What a caller says of its call, decoded.

    Parameters
    ----------
    call_id : str
        Id of this attempt of the caller; empty where it sent none.
    deadline_s : float or None
        How long the caller waits, in seconds from the call's arrival.
    model : ModelRef or None
        Model that the call runs on; None for a plain service.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and the most that are asked for.
    prompt_parts : tuple of (str, int)
        Ids and tokens of the parts of the prompt, in order.
    key_digest : str
        Digest of the key that it shows; empty where it shows none that can be read.
    has_token_counts : bool
        Whether it tells how many tokens it asks for.
    resumes : str
        Id of the caller's attempt that brought the first event of the stream that this
        one resumes; empty where it names none.
    after_event : str or None
        Id of the last event that the caller has of a stream; None: it has none.
    """

    call_id: str = ""
    deadline_s: float | None = None
    model: ModelRef | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple[tuple[str, int], ...] = ()
    key_digest: str = ""
    has_token_counts: bool = False
    resumes: str = ""
    after_event: str | None = None

    @property
    def is_resumed(self) -> bool:
        """Whether its caller has had events of its stream by an earlier attempt."""
        return bool(self.resumes) or self.after_event is not None

    @property
    def stream_id(self) -> str:
        """What its stream is known by over all attempts of its caller."""
        return self.resumes or self.call_id

    @property
    def tokens(self) -> int | None:
        """Tokens of the prompt and the answer together; None: it tells none."""
        return (
            self.prompt_tokens + self.output_tokens if self.has_token_counts else None
        )


@dataclass(slots=True, frozen=True)
class AttemptDetails:
    """What an endpoint is told of an attempt.

    Parameters
    ----------
    endpoint : str
        Id that the endpoint must have, else it refuses.
    version : int or None
        Version of the model that it must have, else it refuses; None: any.
    left_s : float
        Time that is left, in seconds.
    urgency : int
        Rank among the endpoint's calls; 0 goes first.
    after_event : str or None
        Id of the last event that the caller has of a stream that is continued.
    account : str
        Name of the client account whose call it is; empty where there is none.
    is_keyed : bool
        Whether callers show keys here, which are not passed on.
    """

    endpoint: str
    version: int | None
    left_s: float
    urgency: int
    after_event: str | None = None
    account: str = ""
    is_keyed: bool = False


@dataclass(slots=True, frozen=True)
class ResponseDetails:
    """What the head of an endpoint's answer proves.

    Parameters
    ----------
    not_run : bool
        The endpoint says that it did not run the call.
    genuine : bool
        The answer bears the endpoint's signature.
    stream : bool
        The body is a stream of events.
    wrong_endpoint : bool
        Another endpoint, or another version of the model, or none, stands there.
    endpoint : str or None
        Id of the endpoint that answered, where it is told.
    limit_per_s : float or None
        Calls a second that the endpoint takes from all daemons together; None: it
        names no limit.
    leaves : bool
        The endpoint says that it leaves.
    retry_after_s : float or None
        For how long it wants nothing from this daemon; None: it asks for no rest.
    turned_away : bool
        The endpoint had no room for the call.
    brittle_per_s : float or None
        Calls a second that the endpoint can turn away, of all daemons together, before
        it falls over; None: it says nothing of that.
    unreadable : tuple of str
        What the answer tells in a form that cannot be read.
    """

    not_run: bool
    genuine: bool
    stream: bool
    wrong_endpoint: bool = False
    endpoint: str | None = None
    limit_per_s: float | None = None
    leaves: bool = False
    retry_after_s: float | None = None
    turned_away: bool = False
    brittle_per_s: float | None = None
    unreadable: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Refusal:
    """An answer of ours that says a call was not run, or failed.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Stable word for the cause.
    retry_after_s : float or None
        When the caller should come back; None: nothing is said.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class CallerDialect(ABC):
    """What callers and the platform's balancer speak."""

    ready_path: str

    @abstractmethod
    def read_call(self, head: RequestHead) -> CallDetails:
        """Decode a call; raises DialectError where a value cannot be read."""

    @abstractmethod
    def refusal(self, refusal: Refusal) -> tuple[Headers, bytes]:
        """Encode an answer of ours."""


class EndpointDialect(ABC):
    """What endpoints speak."""

    @abstractmethod
    def attempt_headers(self, call: RequestHead, details: AttemptDetails) -> Headers:
        """Return the headers of an attempt, the caller's and ours."""

    @abstractmethod
    def matches_call(self, call_id: str, headers: Headers) -> bool:
        """Tell whether an answer's headers name the call."""

    @abstractmethod
    def read_response(self, head: ResponseHead) -> ResponseDetails:
        """Decode the head of an answer."""

    @abstractmethod
    def order(
        self, order: Order, endpoint: str, address: str, holder: str, number: int
    ) -> WireRequest:
        """Encode an order."""

    @abstractmethod
    def read_order_answer(self, head: ResponseHead, body: bytes) -> OrderAnswer:
        """Decode an endpoint's answer to an order."""

    @abstractmethod
    def health(self, address: str, endpoint: str, path: str) -> WireRequest:
        """Encode the question for an endpoint's health, which no other answers."""

    @abstractmethod
    def report(self, address: str) -> WireRequest:
        """Encode the question for a report."""

    @abstractmethod
    def read_report(self, body: bytes) -> EngineReport:
        """Decode a report; raises DialectError."""


class StoreDialect(ABC):
    """What stands in the platform's store, and under which keys.

    Parameters
    ----------
    prefix : str
        What all keys that serving needs begin with, the daemons' own among them.
    """

    prefix: str

    @abstractmethod
    def read(self, key: str, value: bytes | None, revision: int) -> StoreEvent | None:
        """Decode an item, or a removed key where ``value`` is None.

        Returns None for what serving does not need; raises DialectError.
        """


@dataclass(slots=True, frozen=True)
class Dialects:
    """All that one platform speaks."""

    callers: CallerDialect
    endpoints: EndpointDialect
    store_items: StoreDialect
    store: RevisionedStore
    daemon_keys: "DaemonKeys" = field(default_factory=lambda: DaemonKeys())


@dataclass(slots=True, frozen=True)
class DaemonKeys:
    """Keys under which daemons keep what they agree on."""

    prefix: str = "knapweedbridge/"

    def daemon(self, name: str) -> str:
        """Key of a daemon's record."""
        return f"{self.prefix}daemons/{name}"

    def owner(self, endpoint: str) -> str:
        """Key of an engine's owner record."""
        return f"{self.prefix}owners/{endpoint}"

    def protocol(self, name: str) -> str:
        """Key under which a daemon says which protocol it speaks."""
        return f"{self.prefix}protocols/{name}"

    def software(self, service: str) -> str:
        """Key of the software versions of a service that serve side by side."""
        return f"{self.prefix}software/{service}"

    def links(self, name: str) -> str:
        """Key under which a daemon says that its host reaches no endpoint."""
        return f"{self.prefix}links/{name}"

    def refused_call(self, mark: str) -> str:
        """Key under which daemons say that a call is refused."""
        return f"{self.prefix}refused/{mark}"

    @property
    def secret(self) -> str:
        """Key of the secret that daemons share."""
        return f"{self.prefix}secret"


def load_dialects(module: str, store_address: str, timeout_s: float) -> Dialects:
    """Import a platform's package and make its dialects.

    Raises
    ------
    DialectError
        If there is no such package.
    """
    try:
        package = importlib.import_module(module)
    except ImportError as error:
        raise DialectError(f"{module}: {error}") from error
    return package.make_dialects(store_address, timeout_s)
