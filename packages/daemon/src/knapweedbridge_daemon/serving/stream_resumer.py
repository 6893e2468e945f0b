"""Keeps the software versions that began streams, and finds that of a resumed one."""

import itertools
from collections import defaultdict
from dataclasses import dataclass, field

import anyio

from knapweedbridge_core.serving import (
    Endpoint,
    OriginQuery,
    OriginTable,
    StreamOrigin,
    VersionView,
    origin_keepers,
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

ANSWER_S = 0.4
"""How long the keepers of a stream are waited for while several versions serve. Callers
leave a stream after a gap of two seconds."""

ANSWER_OF_ONE_S = 0.15
"""How long they are waited for while this host knows one version only: an answer takes
milliseconds, and most likely confirms it."""

ASK_AGAIN_S = 0.1
"""Pause between questions to a keeper that has not answered."""

STARTING_S = 5.0
"""How long after its start a host may not know all others yet."""

CURRENT_S = 1.9
"""Age of what is known of the store up to which this host's view is current."""

UNKNOWN_AFTER_S = 0.3
"""When to come back with a stream whose origin is not known: others may know it."""

MOST_ROWS = 200
"""Origins in one message."""

PROBE = OriginRequest("", "", 0.0, 0)
"""Shows whether a daemon takes part."""

OriginMessage = OriginsRecorded | OriginRequest | OriginResponse


@dataclass(slots=True, eq=False)
class Inquiry:
    """A question that waits for answers.

    Parameters
    ----------
    question : OriginQuery
        What has been answered.
    origin : StreamOrigin or None
        The origin as a keeper recorded it.
    """

    question: OriginQuery
    origin: StreamOrigin | None = None
    decided: anyio.Event = field(default_factory=anyio.Event)


class StreamResumer:
    """The origins of streams, as far as this daemon has to do with them.

    Parameters
    ----------
    hub : Hub
        Beliefs, which say who keeps origins.
    send : callable
        Sends a message to a daemon, this one too.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._began_s: float | None = None
        self._tickets = itertools.count(1)
        self._inquiries: dict[int, Inquiry] = {}
        self._own = OriginTable()
        self._kept = OriginTable()
        self._published: tuple[frozenset[str], tuple[str, ...]] = (frozenset(), ())

    async def record_start(self, call: Call, endpoint: Endpoint) -> None:
        """Record which version began a stream, before its first event is passed on."""
        call.software = endpoint.record.software
        stream = call.details.stream_id
        if not (call.route.resumable and stream):
            return
        now_s = loop_time_s()
        origin = StreamOrigin(call.service, call.software, call.caller_deadline_s)
        self._own.record(stream, origin, now_s)
        if self._hub.cluster.fleet.software.has_several(call.service, now_s):
            await self._publish([(stream, origin)])

    def record_end(self, call: Call) -> None:
        """Record that a stream came to its end."""
        self._own.forget(call.details.stream_id)

    async def refresh(self) -> None:
        """Record all streams under way at their keepers, as versions or hosts change.

        Streams that began while one version served are not recorded until another one
        appears, and keepers that are replaced have lost what they kept.
        """
        now_s = loop_time_s()
        self._runs_for_s()
        cluster = self._hub.cluster
        software = cluster.fleet.software
        services = {
            each
            for each in (cluster.deployment.services if cluster.deployment else ())
            if software.has_several(each, now_s)
        }
        state = frozenset(services), self._starts()
        if state == self._published:
            return
        self._published = state
        await self._publish(self._own.of_services(services, now_s))

    def _starts(self) -> tuple[str, ...]:
        """Return which starts of which hosts may keep origins."""
        daemons = self._hub.cluster.daemons
        return tuple(
            f"{name} {daemons[name].incarnation}"
            for names in self._candidates().values()
            for name in names
        )

    def _candidates(self) -> dict[str, list[str]]:
        cluster = self._hub.cluster
        return {
            data_centre: [
                name
                for name in names
                if name == self._hub.identity.name
                or understands(cluster.protocol_of(name), PROBE)
            ]
            for data_centre, names in cluster.coordinators.items()
        }

    async def _publish(self, streams: list[tuple[str, StreamOrigin]]) -> None:
        if not streams:
            return
        now_s = loop_time_s()
        candidates = self._candidates()
        rows: dict[str, list[list]] = defaultdict(list)
        for stream, origin in streams:
            row = [stream, origin.service, origin.software, origin.until_s - now_s]
            for keeper in origin_keepers(stream, candidates):
                rows[keeper].append(row)
        self._hub.metrics.count("stream_origins_recorded", value=len(streams))
        for keeper, of_keeper in rows.items():
            if keeper == self._hub.identity.name:
                continue
            for start in range(0, len(of_keeper), MOST_ROWS):
                part = of_keeper[start : start + MOST_ROWS]
                await self._send(keeper, OriginsRecorded(part))

    async def resume(self, call: Call) -> Refusal | None:
        """Find the version that a resumed stream must go on at; refuse one without.

        Returns
        -------
        Refusal or None
            Why the stream cannot go on; None where it may.
        """
        began_s = loop_time_s()
        software, source, answered = await self._find(call)
        call.software = software
        refusal: Refusal | None = None
        if software is None:
            refusal = Refusal(503, "origin_unknown", UNKNOWN_AFTER_S)
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
            answered=answered,
            news_age_s=round(min(999.0, self._hub.news_age_s), 3),
            took_s=round(loop_time_s() - began_s, 4),
        )
        return refusal

    async def _find(self, call: Call) -> tuple[str | None, str, int]:
        """Return the version that began a stream, how it was found, and the answers."""
        known = self._known(call.details.resumes)
        if known is not None:
            self._adopt(call, known)
            return known.software, "here", 0
        inquiry = await self._inquire(call)
        question = inquiry.question
        if inquiry.origin is not None:
            self._adopt(call, inquiry.origin)
            return inquiry.origin.software, "keeper", question.answered
        software = question.software()
        source = "unknown" if software is None else "only_version"
        return software, source, question.answered

    def _adopt(self, call: Call, origin: StreamOrigin) -> None:
        """Have a call go on at its stream's own service, if its route leads there."""
        if any(each.service == origin.service for each in call.route.services):
            call.service = origin.service
        self._own.record(call.details.resumes, origin, loop_time_s())

    def _known(self, stream: str) -> StreamOrigin | None:
        return (self._own.find(stream) or self._kept.find(stream)) if stream else None

    def _versions(self, service: str) -> set[str]:
        return self._hub.cluster.fleet.software.of(service, loop_time_s())

    def _view(self, service: str, age_s: float) -> VersionView:
        """Return what this host knows of the versions of a service.

        Parameters
        ----------
        age_s : float
            The most time that can have passed since the stream in question began.
        """
        versions = self._versions(service)
        # Earlier daemons record no versions, so that a host which has just started
        # among them cannot know which are gone.
        has_all = self._is_uniform() or self._runs_for_s() >= age_s
        is_current = has_all and self._hub.news_age_s < CURRENT_S
        return VersionView(frozenset(versions), is_current)

    def _runs_for_s(self) -> float:
        """Return how long ago this daemon began to follow the store, in seconds."""
        now_s = loop_time_s()
        if self._began_s is None:
            self._began_s = now_s
        return now_s - self._began_s

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
    def _most_age_s(call: Call) -> float:
        """Return the most time that can have passed since a call's stream began.

        All attempts of a caller end by the deadline of the first.
        """
        left_s = call.caller_deadline_s - loop_time_s()
        return max(0.0, call.route.timeout_s - left_s)

    async def _inquire(self, call: Call) -> Inquiry:
        """Ask the keepers of a stream; one without a name for versions alone."""
        age_s = self._most_age_s(call)
        view = self._view(call.service, age_s)
        inquiry = Inquiry(OriginQuery([], view))
        ticket = next(self._tickets)
        asked = OriginRequest(call.details.resumes, call.service, age_s, ticket)
        self._inquiries[ticket] = inquiry
        answer_s = ANSWER_S if len(view.versions) > 1 else ANSWER_OF_ONE_S
        try:
            with anyio.move_on_after(answer_s):
                await self._ask_until_decided(call, inquiry, asked)
        finally:
            del self._inquiries[ticket]
        return inquiry

    async def _ask_until_decided(
        self, call: Call, inquiry: Inquiry, asked: OriginRequest
    ) -> None:
        question = inquiry.question
        await self._ask(call, question, asked)
        if self._runs_for_s() >= STARTING_S:
            if not question.is_decided:
                await inquiry.decided.wait()
            return
        # A host that has just started knows the others, and is known to them, a moment
        # after it gets calls: until then questions and answers are lost.
        while not (question.is_decided and question.software()):
            with anyio.move_on_after(ASK_AGAIN_S):
                await inquiry.decided.wait()
            inquiry.decided = anyio.Event()
            await self._ask(call, question, asked)

    async def _ask(
        self, call: Call, question: OriginQuery, asked: OriginRequest
    ) -> None:
        """Ask the keepers of a call's stream that have not answered yet."""
        coordinators = origin_keepers(call.details.stream_id, self._candidates())
        others = [name for name in coordinators if name != self._hub.identity.name]
        for name in question.ask(others):
            await self._send(name, asked)

    async def handle(self, daemon: str, message: OriginMessage) -> None:
        """Receive a record, a question or an answer."""
        if isinstance(message, OriginsRecorded):
            self._keep(message)
        elif isinstance(message, OriginRequest):
            await self._send(daemon, self._answer(message))
        else:
            self._note_answer(daemon, message)

    def _keep(self, message: OriginsRecorded) -> None:
        now_s = loop_time_s()
        for stream, service, software, left_s in message.rows:
            self._kept.record(
                stream, StreamOrigin(service, software, now_s + left_s), now_s
            )

    def _answer(self, message: OriginRequest) -> OriginResponse:
        origin = self._known(message.stream)
        view = self._view(message.service, message.age_s)
        return OriginResponse(
            message.ticket,
            origin.service if origin else "",
            origin.software if origin else None,
            origin.until_s - loop_time_s() if origin else 0.0,
            sorted(view.versions),
            view.is_current,
        )

    def _note_answer(self, daemon: str, message: OriginResponse) -> None:
        view = VersionView(frozenset(message.versions), message.is_current)
        inquiry = self._inquiries.get(message.ticket)
        if inquiry is None:
            return
        inquiry.question.answer(daemon, message.software, view)
        if message.software is not None and inquiry.origin is None:
            inquiry.origin = StreamOrigin(
                message.service, message.software, loop_time_s() + message.left_s
            )
        if inquiry.question.is_decided:
            inquiry.decided.set()
