"""The state of one call from its arrival to its end."""

from dataclasses import dataclass, field

from knapweedbridge_core.serving import (
    CallKind,
    CallProgress,
    ClientAccount,
    Endpoint,
    RetryGrant,
    Route,
)
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.dialects import CallDetails
from knapweedbridge_daemon.serving.http_server import ReceivedRequest, Responder
from knapweedbridge_daemon.serving.wire import ResponseHead, end_to_end


@dataclass(slots=True, frozen=True)
class Target:
    """The endpoint of an attempt, and the adapter version it must run on."""

    endpoint: Endpoint
    version: int | None


@dataclass(slots=True)
class BufferedResponse:
    """A complete response of an endpoint that has not been forwarded yet."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class Call:
    """One call, with its progress over all attempts.

    Parameters
    ----------
    request : ReceivedRequest
        The request as the caller sent it.
    responder : Responder
        Writes the response to the caller.
    route : Route
        The matching route, with the priority of the client account.
    service : str
        Service that the call goes to.
    details : CallDetails
        What the request's headers say of the call.
    deadline_s : float
        When the response is due at the latest, on the daemon's clock.
    progress : CallProgress
        What the attempts so far have done.
    last_event : str or None
        Id of the last event that was forwarded to the caller.
    software : str or None
        Version of the endpoint software that started the stream and that alone may
        continue it; None: any version may serve the call.
    failure : BufferedResponse or None
        Error response of an endpoint, forwarded if no other attempt succeeds.
    refused : set of str
        Endpoints that refused the call or could not be reached.
    first_event_s, event_s : float or None
        When the first and the latest event of the stream arrived.
    longest_pause_s, paused_s : float
        Longest time between two events of the stream, and when that pause ended.
    last_choice : str
        Class name of the last placement decision, for the log.
    unread_tokens : int
        Prompt tokens that the current engine has not processed yet.
    accepted : bool
        Whether an engine that may serve the call was found before.
    placed : bool
        Whether the call has been placed before.
    mark : str
        Fingerprint by which a repeated request is recognized.
    parts : tuple of str
        Fingerprints of the prompt's parts that other calls may share.
    suspects : tuple of str
        Which of these were suspected of crashing an endpoint when the call was sent.
    account : ClientAccount or None
        Client account of the call.
    spent_s : float
        Time that the caller had spent on earlier attempts, in seconds.
    retry : RetryGrant or None
        Retry that the retry budget has granted and that was not sent yet.
    sent_retry : RetryGrant or None
        Retry that was sent and may not have arrived yet.
    retried_after : str
        How the attempt ended after which the call is sent again; empty: it is not.
    overdue_rank : int or None
        Rank that an overdue call has at an engine; None: that of its route.
    waits_overdue : bool
        Whether the call has waited for capacity that no timely call needs.
    is_keyed : bool
        Whether callers authenticate by keys here.
    """

    request: ReceivedRequest
    responder: Responder
    route: Route
    service: str
    details: CallDetails
    deadline_s: float
    progress: CallProgress = field(default_factory=CallProgress)
    last_event: str | None = None
    software: str | None = None
    failure: BufferedResponse | None = None
    refused: set[str] = field(default_factory=set)
    first_event_s: float | None = None
    event_s: float | None = None
    longest_pause_s: float = 0.0
    paused_s: float = 0.0
    last_choice: str = ""
    unread_tokens: int = 0
    accepted: bool = False
    placed: bool = False
    mark: str = ""
    parts: tuple[str, ...] = ()
    suspects: tuple[str, ...] = ()
    account: ClientAccount | None = None
    spent_s: float = 0.0
    retry: RetryGrant | None = None
    sent_retry: RetryGrant | None = None
    retried_after: str = ""
    overdue_rank: int | None = None
    waits_overdue: bool = False
    is_keyed: bool = False

    @property
    def left_s(self) -> float:
        """Time until the deadline, in seconds."""
        return self.deadline_s - loop_time_s()

    @property
    def caller_deadline_s(self) -> float:
        """When the caller's last attempt is over, on the daemon's clock."""
        stated_s = self.details.deadline_s
        waits_s = self.route.timeout_s if stated_s is None else stated_s
        return self.request.received_s + waits_s

    @property
    def is_resumed(self) -> bool:
        """Whether the caller resumes a stream that an earlier request started."""
        return self.route.kind is CallKind.STREAM and self.details.is_resumed

    @property
    def has_begun(self) -> bool:
        """Whether the caller has received events of the stream by any attempt."""
        return self.progress.begun or self.is_resumed

    def may_go_to(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may serve the call.

        Only the software version that started a stream may continue it.
        """
        return self.software in (None, endpoint.record.software)

    @property
    def urgency(self) -> int:
        """Rank of the call's attempts in queues; 0 goes first."""
        return self.route.urgency if self.overdue_rank is None else self.overdue_rank

    def record_events(self, now_s: float) -> None:
        """Record that events of the stream arrived."""
        if self.event_s is not None and now_s - self.event_s > self.longest_pause_s:
            self.longest_pause_s = now_s - self.event_s
            self.paused_s = now_s
        self.event_s = now_s

    async def forward_response(self, buffered: BufferedResponse) -> None:
        """Send the complete response of an endpoint to the caller."""
        headers = end_to_end(buffered.head.headers)
        if self.request.head.method != b"HEAD":
            headers = [p for p in headers if p[0].lower() != b"content-length"]
            headers.append((b"Content-Length", b"%d" % len(buffered.body)))
        await self.responder.start(
            ResponseHead(buffered.head.status, headers, buffered.head.reason)
        )
        await self.responder.end(buffered.body)
        if self.first_event_s is None:
            self.first_event_s = loop_time_s()
