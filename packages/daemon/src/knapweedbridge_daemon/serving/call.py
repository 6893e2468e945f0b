"""One call, and what has become of it so far."""

from dataclasses import dataclass, field

from knapweedbridge_core.serving import (
    CallKind,
    CallProgress,
    ClientAccount,
    Endpoint,
    Route,
)
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.dialects import CallDetails
from knapweedbridge_daemon.serving.http_server import ReceivedRequest, Responder
from knapweedbridge_daemon.serving.wire import ResponseHead, end_to_end


@dataclass(slots=True, frozen=True)
class Target:
    """Where an attempt goes, and which version must stand there."""

    endpoint: Endpoint
    version: int | None


@dataclass(slots=True)
class KeptAnswer:
    """A whole answer of an endpoint that was not passed on yet."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class Call:
    """One call and what has become of it so far.

    Parameters
    ----------
    request : ReceivedRequest
        As the caller sent it.
    route : Route
        The route that takes it, on the terms of its account.
    account : ClientAccount or None
        Whose call it is.
    is_keyed : bool
        Whether callers show keys here.
    service : str
        Service that it goes to.
    details : CallDetails
        What the caller says of it.
    deadline_s : float
        When its answer is due at the latest, on the daemon's clock.
    mark : str
        What it is known by when it comes again.
    parts : tuple of str
        Marks of the parts of its prompt that others may share.
    suspects : tuple of str
        What of it a loss was held against as it was sent.
    spent_s : float
        Time that its caller had spent on earlier attempts, in seconds.
    holds_repeat : bool
        Whether it was granted a repeat that is not sent yet.
    overdue_rank : int or None
        Rank that an overdue call has at an engine; None: that of its route.
    waits_overdue : bool
        Whether it has waited for capacity that no timely call wants.
    software : str or None
        Version of endpoint software that began its stream, at which alone it goes on;
        None: any may serve it.
    longest_pause_s, paused_s : float
        Longest time between two events of its stream, and when that pause ended.
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
    failure: KeptAnswer | None = None
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
    holds_repeat: bool = False
    overdue_rank: int | None = None
    waits_overdue: bool = False
    is_keyed: bool = False

    @property
    def left_s(self) -> float:
        """Time that is left, in seconds."""
        return self.deadline_s - loop_time_s()

    @property
    def caller_deadline_s(self) -> float:
        """When its caller's last attempt is over, on the daemon's clock."""
        stated_s = self.details.deadline_s
        waits_s = self.route.timeout_s if stated_s is None else stated_s
        return self.request.received_s + waits_s

    @property
    def is_resumed(self) -> bool:
        """Whether its caller has had events of its stream by an earlier attempt."""
        return self.route.kind is CallKind.STREAM and self.details.is_resumed

    @property
    def has_begun(self) -> bool:
        """Whether its caller has had events of its stream, by any attempt."""
        return self.progress.begun or self.is_resumed

    def may_go_to(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's events fit those that its caller has."""
        return self.software in (None, endpoint.record.software)

    @property
    def urgency(self) -> int:
        """Rank of its attempts; 0 goes first."""
        return self.route.urgency if self.overdue_rank is None else self.overdue_rank

    def note_events(self, now_s: float) -> None:
        """Take that events of its stream came."""
        if self.event_s is not None and now_s - self.event_s > self.longest_pause_s:
            self.longest_pause_s = now_s - self.event_s
            self.paused_s = now_s
        self.event_s = now_s

    async def pass_on(self, kept: KeptAnswer) -> None:
        """Answer the caller with a whole answer of an endpoint."""
        headers = end_to_end(kept.head.headers)
        if self.request.head.method != b"HEAD":
            headers = [p for p in headers if p[0].lower() != b"content-length"]
            headers.append((b"Content-Length", b"%d" % len(kept.body)))
        await self.responder.start(
            ResponseHead(kept.head.status, headers, kept.head.reason)
        )
        await self.responder.end(kept.body)
        if self.first_event_s is None:
            self.first_event_s = loop_time_s()
