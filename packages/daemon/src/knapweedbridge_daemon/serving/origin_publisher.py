"""Records which software versions started streams, for hosts that resume them."""

from collections import defaultdict

from knapweedbridge_core.serving import (
    Endpoint,
    OriginTable,
    StreamOrigin,
    origin_coordinators,
    understands,
)
from knapweedbridge_core.serving.origin_messages import OriginRequest, OriginsRecorded
from knapweedbridge_core.serving.protocols import BEGIN_ON_RECORDED
from knapweedbridge_daemon.serving.call import Call
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.origin_records import OriginRecords

REFRESH_INTERVAL_S = 0.5
"""Interval between checks for streams whose origins others need to know."""

CURRENT_S = 1.9
"""Age of the cluster state up to which this host's view counts as current."""

MAX_ROWS = 200
"""Origins in one message."""

PROBE = OriginRequest("", "", 0.0, 0)
"""Message by which a daemon's protocol version is checked for support of origins."""


class OriginPublisher:
    """Records the origins of the streams that start at this host.

    An origin is the service and the software version that started a stream. It is held
    by the host that serves the stream, by the stream's coordinators, and by the store,
    for hosts that start after all of these were lost.

    Parameters
    ----------
    hub : Hub
        The daemon's cluster state, log and metrics.
    send : callable
        Sends a message to a daemon, this one too.

    Attributes
    ----------
    own : OriginTable
        Origins of this host's streams.
    records : OriginRecords
        Writes origins into the store.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._began_s: float | None = None
        self._published: tuple[frozenset[str], tuple[str, ...]] = (frozenset(), ())
        self.own = OriginTable()
        self.records = OriginRecords(hub)

    @property
    def uptime_s(self) -> float:
        """How long ago this daemon began to follow the store, in seconds."""
        return 0.0 if self._began_s is None else loop_time_s() - self._began_s

    @property
    def begins_on_recorded(self) -> bool:
        """Whether all hosts begin streams only on versions that are recorded."""
        own = self._hub.identity.name
        return self._hub.cluster.all_speak(BEGIN_ON_RECORDED, own)

    def may_begin(self, call: Call, endpoint: Endpoint) -> bool:
        """Return whether a call's stream may begin on an endpoint's version.

        Hosts that start later must know each version on which streams have begun, so
        the store has recorded it first.
        """
        if call.software is not None or not call.route.streams_resume:
            return True
        record = endpoint.record
        software = self._hub.cluster.fleet.software
        return (
            software.may_begin(record.service, record.software)
            or not self.begins_on_recorded
        )

    async def record_start(self, call: Call, endpoint: Endpoint) -> None:
        """Record which version starts a stream, before its first event is forwarded."""
        call.software = endpoint.record.software
        stream = call.details.stream_id
        if not (call.route.resumable and stream):
            return
        now_s = loop_time_s()
        origin = StreamOrigin(call.service, call.software, call.caller_deadline_s)
        self.own.record(stream, origin, now_s)
        if self._needs_origins(call.service, now_s):
            await self._publish([(stream, origin)])

    def _needs_origins(self, service: str, now_s: float) -> bool:
        """Return whether a service's streams can be resumed only by their origins.

        This is so while several versions serve, and while the store does not tell that
        one version alone does.
        """
        hub, software = self._hub, self._hub.cluster.fleet.software
        if software.has_several(service, now_s):
            return True
        is_recorded = bool(software.begun_on(service, hub.store_era))
        is_told = is_recorded and hub.news_age_s < CURRENT_S
        return self.begins_on_recorded and not is_told

    def record_end(self, call: Call) -> None:
        """Record that a stream is complete."""
        self.own.forget(call.details.stream_id)
        self.records.discard(call.details.stream_id)

    async def run(self) -> None:
        """Publish what others may need until cancelled."""
        while True:
            await self._hub.cluster_changed.wait(REFRESH_INTERVAL_S)
            if self._hub.synced:
                await self.refresh()

    async def refresh(self) -> None:
        """Publish the origins of all open streams when versions or hosts change.

        Streams that started while one version served are not published until another
        one appears, and coordinators that were replaced have lost their records.
        """
        now_s = loop_time_s()
        if self._began_s is None:
            self._began_s = now_s
        cluster = self._hub.cluster
        services = {
            each
            for each in (cluster.deployment.services if cluster.deployment else ())
            if self._needs_origins(each, now_s)
        }
        state = frozenset(services), self._candidate_incarnations()
        if state == self._published:
            return
        self._published = state
        await self._publish(self.own.of_services(services, now_s))

    def _candidate_incarnations(self) -> tuple[str, ...]:
        """Return the incarnations of the hosts that may be coordinators."""
        daemons = self._hub.cluster.daemons
        return tuple(
            f"{name} {daemons[name].incarnation}"
            for names in self.candidates().values()
            for name in names
        )

    def candidates(self) -> dict[str, list[str]]:
        """Return the hosts that may keep origins of streams, by data centre."""
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
        candidates, writers = self.candidates(), self.records.writers
        rows: dict[str, list[list]] = defaultdict(list)
        for stream, origin in streams:
            row = [stream, origin.service, origin.software, origin.until_s - now_s]
            keepers = origin_coordinators(stream, candidates) + writers
            for keeper in dict.fromkeys(keepers):
                rows[keeper].append(row)
        self.records.add(dict(streams))
        self._hub.metrics.count("stream_origins_recorded", value=len(streams))
        for keeper, its_rows in rows.items():
            if keeper == self._hub.identity.name:
                continue
            for start in range(0, len(its_rows), MAX_ROWS):
                part = its_rows[start : start + MAX_ROWS]
                await self._send(keeper, OriginsRecorded(part))
