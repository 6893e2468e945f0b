"""Counts the requests at the plain endpoints that this daemon coordinates."""

import anyio

from knapweedbridge_core.serving import (
    Endpoint,
    EndpointStart,
    PlainCounter,
    permit_coordinator,
)
from knapweedbridge_core.serving.plain_messages import (
    PlainLoadReport,
    PlainLoadRequest,
    PlainLoadResponse,
)
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.plain_version_probe import (
    VERSION_PROBE,
    VERSION_PROBE_RESPONSE,
    PlainMessage,
)


def load_coordinator(hub: Hub, endpoint: Endpoint) -> str | None:
    """Return the daemon that counts an endpoint's requests; None if none is known."""
    candidates = hub.cluster.quota_coordinators
    return permit_coordinator(endpoint.name, endpoint.record.data_centre, candidates)


class PlainLoadServer:
    """Counts the requests at endpoints, and responds to load requests.

    Parameters
    ----------
    hub : Hub
        The state of the cluster, which determines the coordinators.
    send : callable
        Sends a message to a daemon, which may be this one.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._counters: dict[EndpointStart, PlainCounter] = {}

    async def handle(self, daemon: str, message: PlainMessage) -> None:
        """Handle a version probe, a load request or a load report of a daemon."""
        if message == VERSION_PROBE:
            await self._send(daemon, VERSION_PROBE_RESPONSE)
        elif isinstance(message, PlainLoadRequest | PlainLoadReport):
            endpoint = self._endpoint_of(message)
            if endpoint is not None:
                await self._handle_load(daemon, endpoint, message)

    def _endpoint_of(
        self, message: PlainLoadRequest | PlainLoadReport
    ) -> Endpoint | None:
        """Return the endpoint of a message; None if another daemon coordinates it."""
        endpoint = self._hub.cluster.fleet.endpoints.get(message.endpoint)
        start = EndpointStart(message.endpoint, message.started_ms)
        if endpoint is None or not endpoint.start.may_be(start):
            return None
        is_own = load_coordinator(self._hub, endpoint) == self._hub.identity.name
        return endpoint if is_own else None

    async def _handle_load(
        self,
        daemon: str,
        endpoint: Endpoint,
        message: PlainLoadRequest | PlainLoadReport,
    ) -> None:
        now_s = anyio.current_time()
        counter = self._counter(endpoint)
        if isinstance(message, PlainLoadReport):
            counter.take(daemon, message.calls, now_s, message.ended, message.refused)
            return
        counter.take(daemon, message.calls, now_s)
        state = counter.state(now_s, asker=daemon)
        self._hub.metrics.count("plain_questions", "given")
        response = PlainLoadResponse(
            endpoint.name, message.ticket, state.running, state.work_s, state.typical_s
        )
        await self._send(daemon, response)

    def _counter(self, endpoint: Endpoint) -> PlainCounter:
        counter = self._counters.get(endpoint.start)
        if counter is None:
            self._forget_others()
            counter = PlainCounter(endpoint.record.slots)
            self._counters[endpoint.start] = counter
        counter.remove_missing(self._hub.cluster.daemons)
        return counter

    def _forget_others(self) -> None:
        """Drop the counters of endpoints that are gone or have another coordinator."""
        fleet, own_name = self._hub.cluster.fleet, self._hub.identity.name
        for start in list(self._counters):
            endpoint = fleet.endpoints.get(start.endpoint)
            if (
                endpoint is None
                or endpoint.start != start
                or load_coordinator(self._hub, endpoint) != own_name
            ):
                del self._counters[start]
