"""Finds which software versions started streams, to resume them there."""

from dataclasses import dataclass, field

import anyio

from knapweedbridge_core.serving import (
    OriginQuery,
    StreamOrigin,
    VersionView,
    make_tickets,
    origin_coordinators,
    understands,
)
from knapweedbridge_core.serving.origin_messages import (
    OriginRequest,
    OriginResponse,
    OriginsRecorded,
)
from knapweedbridge_daemon.serving.call import Call
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.dialects import Refusal
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.origin_publisher import (
    CURRENT_S,
    PROBE,
    OriginPublisher,
)
from knapweedbridge_daemon.serving.version_reader import VersionReader

ANSWER_S = 0.4
"""Timeout of the coordinators of a stream while several versions serve. Callers close a
stream after a gap of two seconds."""

SINGLE_VERSION_ANSWER_S = 0.15
"""Timeout of the coordinators while this host knows one version only: a response takes
milliseconds, and most likely confirms that version."""

ASK_AGAIN_S = 0.1
"""Pause between requests to a coordinator that has not answered."""

STARTING_S = 5.0
"""How long after its start a host may not know all others."""

STARTING_ANSWERS = 2
"""Responses after which a host that has just started asks no further."""

UNKNOWN_RETRY_AFTER_S = 0.3
"""Retry-After of a stream whose origin is not known: other hosts may know it."""

OriginMessage = OriginsRecorded | OriginRequest | OriginResponse


@dataclass(slots=True, eq=False)
class PendingQuery:
    """A query for a stream's origin that waits for responses.

    Parameters
    ----------
    query : OriginQuery
        The responses so far.
    origin : StreamOrigin or None
        The origin as a coordinator recorded it.
    decided : anyio.Event
        Set when the responses suffice.
    """

    query: OriginQuery
    origin: StreamOrigin | None = None
    decided: anyio.Event = field(default_factory=anyio.Event)


class StreamResumer:
    """Finds the origins of streams that callers resume.

    Parameters
    ----------
    hub : Hub
        The daemon's cluster state, log and metrics.
    send : callable
        Sends a message to a daemon, this one too.
    origins : OriginPublisher
        Records the origins of this host's own streams.

    Attributes
    ----------
    versions : VersionReader
        Reads on which versions streams have begun.
    """

    def __init__(self, hub: Hub, send: Send, origins: OriginPublisher) -> None:
        self._hub = hub
        self._send = send
        self._origins = origins
        self._tickets = make_tickets()
        self._pending: dict[int, PendingQuery] = {}
        self.versions = VersionReader(hub)

    async def resume(self, call: Call) -> Refusal | None:
        """Find the version that must continue a resumed stream.

        Returns
        -------
        Refusal or None
            Why the stream cannot be continued; None where it can.
        """
        began_s = loop_time_s()
        software, source, answered = await self._find(call)
        call.software = software
        refusal: Refusal | None = None
        if software is None:
            refusal = Refusal(503, "origin_unknown", UNKNOWN_RETRY_AFTER_S)
        self._hub.metrics.count("streams_resumed", source)
        self._hub.log.info(
            "stream.resumed",
            request=call.details.call_id,
            resumes=call.details.resumes,
            after_event=call.details.after_event,
            service=call.service,
            software=software,
            source=source,
            versions=sorted(self._versions(call.service)),
            recorded=sorted(self._recorded(call.service)),
            answered=answered,
            news_age_s=round(min(999.0, self._hub.news_age_s), 3),
            uptime_s=round(self._origins.uptime_s, 2),
            took_s=round(loop_time_s() - began_s, 4),
        )
        return refusal

    async def _find(self, call: Call) -> tuple[str | None, str, int]:
        """Return the version that started a stream, its source, and the responses."""
        local = self._find_local(call.details.resumes)
        if local is not None:
            self._set_origin(call, local)
            return local.software, "here", 0
        if self._origins.begins_on_recorded:
            only = await self._read_only_version(call.service)
            if only is not None:
                return only, "only_version", 0
        pending = await self._query(call)
        query = pending.query
        if pending.origin is not None:
            self._set_origin(call, pending.origin)
            return pending.origin.software, "keeper", query.answered
        software = query.software()
        source = "unknown" if software is None else "only_version"
        return software, source, query.answered

    async def _read_only_version(self, service: str) -> str | None:
        """Return the only version on which streams have begun, if the store tells."""
        if len(self._recorded(service)) > 1:
            return None
        record = await self.versions.read(service, SINGLE_VERSION_ANSWER_S)
        is_complete = record and record.complete_era == self._hub.dialects.store.era
        if record is None or not is_complete or len(record.versions) != 1:
            return None
        return next(iter(record.versions))

    def _set_origin(self, call: Call, origin: StreamOrigin) -> None:
        """Set a call's service to that of its stream, if its route leads there."""
        if any(each.service == origin.service for each in call.route.services):
            call.service = origin.service
        self._origins.own.record(call.details.resumes, origin, loop_time_s())

    def _find_local(self, stream: str) -> StreamOrigin | None:
        if not stream:
            return None
        return self._origins.own.find(stream) or self._hub.origins.find(stream)

    def _versions(self, service: str) -> set[str]:
        return self._hub.cluster.fleet.software.of(service, loop_time_s())

    def _recorded(self, service: str) -> frozenset[str]:
        """Return the versions of a service in the store's record, as known here."""
        return self._hub.cluster.fleet.software.record_of(service).versions

    def _view(self, service: str, age_s: float) -> VersionView:
        """Return this host's view of the versions of a service.

        Parameters
        ----------
        age_s : float
            The most time that can have passed since the stream started.
        """
        if self._origins.begins_on_recorded:
            # The store alone tells, to hosts that read it.
            return VersionView(frozenset(), False)
        versions = self._versions(service)
        # Daemons of earlier protocols record no versions, so that a host which has just
        # started among them cannot know which are gone.
        has_all = self._is_uniform() or self._origins.uptime_s >= age_s
        is_current = has_all and self._hub.news_age_s < CURRENT_S
        return VersionView(frozenset(versions), is_current)

    def _is_uniform(self) -> bool:
        """Return whether all hosts that may record versions speak this protocol."""
        cluster = self._hub.cluster
        return all(
            name == self._hub.identity.name
            or understands(cluster.protocol_of(name), PROBE)
            for names in cluster.ranks.values()
            for name in names
        )

    @staticmethod
    def _max_age_s(call: Call) -> float:
        """Return the most time that can have passed since a call's stream started.

        All attempts of a caller end by the deadline of the first.
        """
        left_s = call.caller_deadline_s - loop_time_s()
        return max(0.0, call.route.timeout_s - left_s)

    async def _query(self, call: Call) -> PendingQuery:
        """Query the coordinators of a stream.

        Without the name of a stream their views of the versions are all that is asked.
        """
        age_s = self._max_age_s(call)
        view = self._view(call.service, age_s)
        pending = PendingQuery(OriginQuery([], view))
        ticket = next(self._tickets)
        request = OriginRequest(call.details.resumes, call.service, age_s, ticket)
        self._pending[ticket] = pending
        timeout_s = ANSWER_S if len(view.versions) != 1 else SINGLE_VERSION_ANSWER_S
        try:
            with anyio.move_on_after(timeout_s):
                await self._ask_until_decided(call, pending, request)
        finally:
            del self._pending[ticket]
        return pending

    async def _ask_until_decided(
        self, call: Call, pending: PendingQuery, request: OriginRequest
    ) -> None:
        query = pending.query
        await self._ask(call, query, request)
        if self._origins.uptime_s >= STARTING_S:
            if not query.is_decided:
                await pending.decided.wait()
            return
        # A host that has just started knows the others, and is known to them, a moment
        # after it gets calls: until then requests and responses are lost.
        while not (query.is_decided and self._suffices(query)):
            with anyio.move_on_after(ASK_AGAIN_S):
                await pending.decided.wait()
            pending.decided = anyio.Event()
            await self._ask(call, query, request)

    @staticmethod
    def _suffices(query: OriginQuery) -> bool:
        """Return whether a host that has just started need not ask again."""
        return bool(query.software()) or query.answered >= STARTING_ANSWERS

    async def _ask(
        self, call: Call, query: OriginQuery, request: OriginRequest
    ) -> None:
        """Ask the coordinators of a call's stream that have not answered yet."""
        candidates = self._origins.candidates()
        coordinators = origin_coordinators(call.details.stream_id, candidates)
        others = [name for name in coordinators if name != self._hub.identity.name]
        for name in query.ask(others):
            await self._send(name, request)

    async def handle(self, daemon: str, message: OriginMessage) -> None:
        """Handle a record, a request or a response."""
        if isinstance(message, OriginsRecorded):
            self._record_origins(message)
        elif isinstance(message, OriginRequest):
            await self._send(daemon, self._answer(message))
        else:
            self._record_response(daemon, message)

    def _record_origins(self, message: OriginsRecorded) -> None:
        origins = self._hub.origins.record_rows(message.rows, loop_time_s())
        self._origins.records.add(origins)

    def _answer(self, message: OriginRequest) -> OriginResponse:
        origin = self._find_local(message.stream)
        view = self._view(message.service, message.age_s)
        return OriginResponse(
            message.ticket,
            origin.service if origin else "",
            origin.software if origin else None,
            origin.until_s - loop_time_s() if origin else 0.0,
            sorted(view.versions),
            view.is_current,
        )

    def _record_response(self, daemon: str, message: OriginResponse) -> None:
        view = VersionView(frozenset(message.versions), message.is_current)
        pending = self._pending.get(message.ticket)
        if pending is None:
            return
        pending.query.answer(daemon, message.software, view)
        if message.software is not None and pending.origin is None:
            pending.origin = StreamOrigin(
                message.service, message.software, loop_time_s() + message.left_s
            )
        if pending.query.is_decided:
            pending.decided.set()
