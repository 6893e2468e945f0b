"""Interfaces for the protocols of callers, endpoints and the platform's store.

A dialect converts between the names and formats on the wire and the types of this
project, without making decisions. The setting ``[serving] dialect`` names the package
that implements the dialects of a platform; it is imported by that name.
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
    """Raised for data that cannot be decoded, or a missing dialect package."""


@dataclass(slots=True, frozen=True)
class CallDetails:
    """Decoded details of a call.

    Parameters
    ----------
    call_id : str
        Id of this attempt of the caller; empty if it sent none.
    deadline_s : float or None
        How long the caller waits, in seconds since the arrival of the call.
    model : ModelRef or None
        Model that the call is for; None for a plain service.
    prompt_tokens, output_tokens : int
        Number of tokens in the prompt, and maximum number in the output.
    prompt_parts : tuple of (str, int)
        Ids and token counts of the parts of the prompt, in order.
    key_digest : str
        Digest of the caller's key; empty if it sent no valid one.
    has_token_counts : bool
        Whether the call states its numbers of tokens.
    resumes : str
        Id of the caller's attempt that delivered the first event of the stream that
        this call resumes; empty if it names none.
    after_event : str or None
        Id of the last event of the stream that the caller has; None if it has none.
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
        """Whether the caller received events of the stream in an earlier attempt."""
        return bool(self.resumes) or self.after_event is not None

    @property
    def stream_id(self) -> str:
        """Id of the stream, the same in all attempts of the caller."""
        return self.resumes or self.call_id

    @property
    def tokens(self) -> int | None:
        """Tokens of prompt and output together; None if the call states none."""
        return (
            self.prompt_tokens + self.output_tokens if self.has_token_counts else None
        )


@dataclass(slots=True, frozen=True)
class AttemptDetails:
    """Details of an attempt that are sent to its endpoint.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint; an endpoint with another id rejects the attempt.
    version : int or None
        Version of the model; an endpoint with another version rejects the attempt.
        None allows any version.
    left_s : float
        Remaining time, in seconds.
    urgency : int
        Priority among the endpoint's calls; 0 is the most urgent.
    after_event : str or None
        Id of the last event that the caller has of a resumed stream.
    account : str
        Name of the client account of the call; empty if there is none.
    is_keyed : bool
        Whether callers send keys, which are not forwarded.
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
    """Details in the head of an endpoint's response.

    Parameters
    ----------
    not_run : bool
        Whether the endpoint states that it did not run the call.
    genuine : bool
        Whether the response has the endpoint's signature.
    stream : bool
        Whether the body is a stream of events.
    wrong_endpoint : bool
        Whether another endpoint, another version of the model or no endpoint listens
        at the address.
    endpoint : str or None
        Id of the endpoint that responded; None if it is not stated.
    limit_per_s : float or None
        Rate limit of the endpoint for all daemons together, in calls per second; None
        if it states none.
    leaves : bool
        Whether the endpoint states that it is draining.
    retry_after_s : float or None
        How long this daemon must not send calls to the endpoint; None if it asks for
        no pause.
    turned_away : bool
        Whether the endpoint rejected the call because it was at capacity.
    brittle_per_s : float or None
        Calls per second from all daemons together that the endpoint can reject before
        it becomes overloaded; None if it states none.
    unreadable : tuple of str
        Header values that could not be decoded.
    call_id : str or None
        Id of the call that the response names; None if it names none.
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
    call_id: str | None = None


@dataclass(slots=True, frozen=True)
class Refusal:
    """Response of this daemon to a call that was refused or failed.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Stable identifier of the cause.
    retry_after_s : float or None
        When the caller should retry; None if nothing is stated.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class CallerDialect(ABC):
    """Protocol of callers and the platform's load balancer.

    Attributes
    ----------
    ready_path : str
        Path of the readiness check.
    """

    ready_path: str

    @abstractmethod
    def read_call(self, head: RequestHead) -> CallDetails:
        """Decode a call.

        Raises
        ------
        DialectError
            If a value cannot be decoded.
        """

    @abstractmethod
    def refusal(self, refusal: Refusal) -> tuple[Headers, bytes]:
        """Encode the headers and the body of a refusal."""


class EndpointDialect(ABC):
    """Protocol of endpoints."""

    @abstractmethod
    def attempt_headers(self, call: RequestHead, details: AttemptDetails) -> Headers:
        """Return the headers of an attempt: those of the caller and added ones."""

    @abstractmethod
    def read_call_id(self, headers: Headers) -> str | None:
        """Return the id of the call that a response names, or None if it has none."""

    @abstractmethod
    def read_response(self, head: ResponseHead) -> ResponseDetails:
        """Decode the head of a response."""

    @abstractmethod
    def order(
        self, order: Order, endpoint: str, address: str, holder: str, number: int
    ) -> WireRequest:
        """Encode a request with an order to an endpoint."""

    @abstractmethod
    def read_order_answer(self, head: ResponseHead, body: bytes) -> OrderAnswer:
        """Decode an endpoint's response to an order."""

    @abstractmethod
    def health(self, address: str, endpoint: str, path: str) -> WireRequest:
        """Encode a health check, to which no other endpoint responds."""

    @abstractmethod
    def report(self, address: str) -> WireRequest:
        """Encode a request for a report."""

    @abstractmethod
    def read_report(self, body: bytes) -> EngineReport:
        """Decode a report.

        Raises
        ------
        DialectError
            If it cannot be decoded.
        """


class StoreDialect(ABC):
    """Keys and values of the platform's store.

    Attributes
    ----------
    prefix : str
        Common prefix of all keys needed for serving, including those of daemons.
    """

    prefix: str

    @abstractmethod
    def read(self, key: str, value: bytes | None, revision: int) -> StoreEvent | None:
        """Decode a change of a key.

        Parameters
        ----------
        value : bytes or None
            New value; None if the key was deleted.

        Returns
        -------
        event : StoreEvent or None
            Store event; None if the key is not needed for serving.

        Raises
        ------
        DialectError
            If the value cannot be decoded.
        """


@dataclass(slots=True, frozen=True)
class Dialects:
    """Dialects and store of one platform."""

    callers: CallerDialect
    endpoints: EndpointDialect
    store_items: StoreDialect
    store: RevisionedStore
    daemon_keys: "DaemonKeys" = field(default_factory=lambda: DaemonKeys())


@dataclass(slots=True, frozen=True)
class DaemonKeys:
    """Keys of the records that daemons share in the store."""

    prefix: str = "knapweedbridge/"

    def daemon(self, name: str) -> str:
        """Return the key of a daemon's record."""
        return f"{self.prefix}daemons/{name}"

    def owner(self, endpoint: str) -> str:
        """Return the key of an engine's owner record."""
        return f"{self.prefix}owners/{endpoint}"

    def protocol(self, name: str) -> str:
        """Return the key of the protocol version that a daemon supports."""
        return f"{self.prefix}protocols/{name}"

    def versions(self, service: str) -> str:
        """Return the key of the software versions on which streams may begin."""
        return f"{self.prefix}versions/{service}"

    def origins(self, daemon: str, number: int) -> str:
        """Return the key of origins of streams that a daemon has written."""
        return f"{self.prefix}origins/{daemon}/{number:x}"

    def links(self, name: str) -> str:
        """Return the key under which a daemon records that it reaches no endpoint."""
        return f"{self.prefix}links/{name}"

    def refused_call(self, mark: str) -> str:
        """Return the key under which daemons record that a call is refused."""
        return f"{self.prefix}refused/{mark}"

    def retries(self, name: str) -> str:
        """Return the key under which a daemon reserves retries."""
        return f"{self.prefix}retries/{name}"

    @property
    def era(self) -> str:
        """Key under which daemons record since when the store's era has lasted."""
        return f"{self.prefix}era"

    @property
    def secret(self) -> str:
        """Key of the secret shared by all daemons."""
        return f"{self.prefix}secret"


def load_dialects(module: str, store_address: str, timeout_s: float) -> Dialects:
    """Import the package of a platform and create its dialects.

    Parameters
    ----------
    module : str
        Name of the package.
    store_address : str
        Address of the platform's store.
    timeout_s : float
        Timeout of requests to the store.

    Raises
    ------
    DialectError
        If the package cannot be imported.
    """
    try:
        package = importlib.import_module(module)
    except ImportError as error:
        raise DialectError(f"{module}: {error}") from error
    return package.make_dialects(store_address, timeout_s)
