"""Handlers for the load balancer's readiness check and for metrics."""

import anyio

from knapweedbridge_core.serving import RequestLimits
from knapweedbridge_daemon.serving.http_server import ReceivedRequest, Responder
from knapweedbridge_daemon.serving.hub import Hub


class AdminHandlers:
    """Serves the readiness and the metrics of a daemon.

    Parameters
    ----------
    hub : Hub
        State of the daemon.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub

    @staticmethod
    def limits() -> RequestLimits:
        """Return the limits of requests to these handlers, which have no bodies."""
        return RequestLimits(body_bytes=0)

    async def ready(self, request: ReceivedRequest, responder: Responder) -> None:
        """Respond to a readiness check of the load balancer."""
        if request.head.path != self._hub.dialects.callers.ready_path:
            await responder.answer(404, [], b"")
            return
        await responder.answer(200 if self._hub.ready else 503, [], b"")

    async def metrics(self, request: ReceivedRequest, responder: Responder) -> None:
        """Serve all metrics in the Prometheus text format."""
        self._hub.metrics.gauges.update(self.gauges())
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        body = await anyio.to_thread.run_sync(self._hub.metrics.render)
        await responder.answer(200, [content_type], body)

    def gauges(self) -> dict[str, float]:
        """Return the values of the gauges that are computed per request, by name."""
        hub = self._hub
        deployment = hub.cluster.deployment
        return {
            "endpoints": len(hub.cluster.fleet.endpoints),
            "endpoints_unlisted": hub.cluster.fleet.unlisted_count(),
            "endpoints_limited": hub.cluster.fleet.limited_count(),
            "endpoints_brittle": hub.cluster.fleet.brittle_count(),
            "endpoints_leaving": hub.cluster.fleet.leaving_count(),
            "endpoints_resting": hub.cluster.fleet.resting_count(anyio.current_time()),
            "software_versions": hub.cluster.fleet.software.max_listed(),
            "endpoints_unreachable": hub.cluster.fleet.unreachable_count(
                anyio.current_time()
            ),
            "paths_cut": len(hub.paths),
            "links_lost": float(hub.paths.has_lost_links),
            "calls_overdue": hub.overload.queued(),
            "daemons": len(hub.cluster.daemons),
            "configuration_version": deployment.version if deployment else 0,
            "connections_opened": hub.pool.opened,
            "connections_reused": hub.pool.reused,
            "store_disturbed": float(anyio.current_time() < hub.outage.lapsed_until_s),
            "store_age_s": hub.news_age_s,
            "held_bytes": hub.memory.held_bytes,
            "held_bytes_limit": hub.memory.limit_bytes,
            "caller_connections": len(hub.connections),
            "caller_connections_limit": hub.connections.limit,
            "caller_connections_evicted": hub.connections.evicted,
            "log_lines_dropped": sum(hub.log.dropped.values()),
        }
