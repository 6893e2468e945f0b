"""Permits to send calls to rate-limited and brittle endpoints.

For each endpoint one daemon, its coordinator, issues the permits of all daemons.
"""

from dataclasses import dataclass, field
from itertools import chain

import anyio

from knapweedbridge_core.serving import (
    Endpoint,
    EndpointStart,
    PermitBucket,
    RejectionBudget,
    make_tickets,
    permit_coordinator,
    understands,
)
from knapweedbridge_core.serving.permit_messages import (
    CallRejected,
    CapacityRequest,
    LimitReport,
    LimitUpdate,
    PermitRequest,
    PermitResponse,
)
from knapweedbridge_core.serving.permits import (
    TAKE_OVER_S,
    UNLEASED_SHARE,
)
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.update_relay import UpdateRelay

RESPONSE_TIMEOUT_S = 0.05
"""Timeout for the response of a coordinator; a message takes milliseconds."""

NO_RESPONSE_PAUSE_S = 0.2
"""How long an endpoint gets no calls after its coordinator did not respond."""

PermitMessage = (
    LimitReport
    | LimitUpdate
    | PermitRequest
    | PermitResponse
    | CapacityRequest
    | CallRejected
)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request for a permit that awaits its response."""

    done: anyio.Event = field(default_factory=anyio.Event)
    wait_s: float = NO_RESPONSE_PAUSE_S


class Permits:
    """Requests permits from coordinators, and issues them as a coordinator.

    Parameters
    ----------
    hub : Hub
        The state of the cluster, which determines the coordinators.
    send : callable
        Sends a message to a daemon, which may be this one.
    relaying : UpdateRelay
        Knows the subscribers to which this daemon forwards limits as a relay.
    """

    def __init__(self, hub: Hub, send: Send, relaying: UpdateRelay) -> None:
        self._hub = hub
        self._send = send
        self._relaying = relaying
        self._tickets = make_tickets()
        self._pending: dict[int, PendingRequest] = {}
        self._buckets: dict[str, PermitBucket] = {}
        self._rejections: dict[str, RejectionBudget] = {}

    async def take(self, endpoint: Endpoint, is_order: bool = False) -> bool:
        """Return whether a call may be sent to an endpoint now, and count it as sent.

        If it may not, the endpoint is closed to calls for a while: it asked for a
        pause, or its coordinator refused a permit.

        Parameters
        ----------
        is_order : bool
            Whether it is an order, which needs no rejection capacity.
        """
        pressure, now_s = endpoint.pressure, anyio.current_time()
        if pressure.closed_until_s > now_s:
            return False
        if (
            pressure.is_brittle
            and not is_order
            and not await self._has_rejection_capacity(endpoint)
        ):
            return False
        if not pressure.is_limited:
            return True
        ticket = next(self._tickets)
        request = PermitRequest(*self._limit_fields(endpoint), ticket)
        return await self._is_permitted(endpoint, ticket, request)

    async def _has_rejection_capacity(self, endpoint: Endpoint) -> bool:
        """Return whether a brittle endpoint can bear to reject one more call."""
        per_s = endpoint.pressure.brittle_per_s
        assert per_s is not None
        ticket = next(self._tickets)
        request = CapacityRequest(
            endpoint.name, endpoint.record.started_ms, per_s, ticket
        )
        coordinator = self._coordinator(endpoint)
        if coordinator and not understands(
            self._hub.cluster.protocol_of(coordinator), request
        ):
            return True
        return await self._is_permitted(endpoint, ticket, request)

    async def _is_permitted(
        self, endpoint: Endpoint, ticket: int, request: PermitRequest | CapacityRequest
    ) -> bool:
        wait_s = await self._request(endpoint, ticket, request)
        self._hub.metrics.count("permits", "refused" if wait_s else "taken")
        if wait_s:
            until_s = anyio.current_time() + wait_s
            endpoint.pressure.record_no_permit(until_s)
        return not wait_s

    async def _request(
        self, endpoint: Endpoint, ticket: int, request: PermitRequest | CapacityRequest
    ) -> float:
        """Request a permit; return 0.0 if issued, else the seconds until a retry."""
        coordinator = self._coordinator(endpoint)
        if coordinator is None:
            return NO_RESPONSE_PAUSE_S
        pending = self._pending[ticket] = PendingRequest()
        try:
            await self._send(coordinator, request)
            with anyio.move_on_after(RESPONSE_TIMEOUT_S):
                await pending.done.wait()
        finally:
            del self._pending[ticket]
        if not pending.done.is_set():
            self._hub.metrics.count("permits", "unanswered")
        return pending.wait_s

    def _coordinator(self, endpoint: Endpoint) -> str | None:
        candidates = self._hub.cluster.quota_coordinators
        return permit_coordinator(
            endpoint.name, endpoint.record.data_centre, candidates
        )

    @staticmethod
    def _limit_fields(endpoint: Endpoint) -> tuple[str, int, float | None, float]:
        """Return the fields of a message that carries an endpoint's limit."""
        pressure = endpoint.pressure
        age_s = anyio.current_time() - pressure.limit_heard_s
        return endpoint.name, endpoint.record.started_ms, pressure.limit_per_s, age_s

    async def turned_away(self, endpoint: Endpoint) -> None:
        """Report to the coordinator of a brittle endpoint that it rejected a call."""
        coordinator = self._coordinator(endpoint)
        if coordinator is not None:
            message = CallRejected(endpoint.name, endpoint.record.started_ms)
            await self._send(coordinator, message)

    async def report_limit(self, endpoint: Endpoint) -> None:
        """Report to an endpoint's coordinator the limit named in a response."""
        coordinator = self._coordinator(endpoint)
        if coordinator is not None:
            await self._send(coordinator, LimitReport(*self._limit_fields(endpoint)))

    async def handle(self, daemon: str, message: PermitMessage) -> None:
        """Handle a message about permits from a daemon or a coordinator."""
        if isinstance(message, PermitResponse):
            self._record_response(message)
            return
        endpoint = self._endpoint_of(message)
        if endpoint is None:
            return
        if isinstance(message, LimitUpdate):
            self._apply_limit(endpoint, message)
            await self._forward(message)
        elif self._coordinator(endpoint) == self._hub.identity.name:
            await self._handle_as_coordinator(daemon, endpoint, message)
        elif isinstance(message, PermitRequest | CapacityRequest):
            # The requester will know the new coordinator by then.
            response = PermitResponse(
                endpoint.name, message.ticket, NO_RESPONSE_PAUSE_S
            )
            await self._send(daemon, response)

    def _record_response(self, message: PermitResponse) -> None:
        pending = self._pending.get(message.ticket)
        if pending is not None:
            pending.wait_s = message.wait_s
            pending.done.set()

    def _endpoint_of(
        self,
        message: LimitReport
        | LimitUpdate
        | PermitRequest
        | CapacityRequest
        | CallRejected,
    ) -> Endpoint | None:
        endpoint = self._hub.cluster.fleet.endpoints.get(message.endpoint)
        start = EndpointStart(message.endpoint, message.started_ms)
        return endpoint if endpoint and endpoint.start.may_be(start) else None

    def _apply_limit(self, endpoint: Endpoint, message: LimitUpdate) -> None:
        before_per_s = endpoint.pressure.limit_per_s
        received_s = anyio.current_time() - message.age_s
        if endpoint.pressure.update_limit(message.limit_per_s, received_s):
            self._hub.log.info(
                "endpoint.limited",
                endpoint=endpoint.name,
                limit_per_s=message.limit_per_s,
                before_per_s=before_per_s,
                source="keeper",
            )
            self._hub.engines_changed.tell()

    async def _forward(self, message: LimitUpdate) -> None:
        for name in self._relaying.list_subscribers():
            await self._send(name, message)

    async def _handle_as_coordinator(
        self,
        daemon: str,
        endpoint: Endpoint,
        message: LimitReport | PermitRequest | CapacityRequest | CallRejected,
    ) -> None:
        if isinstance(message, CallRejected):
            self._rejection_budget(endpoint).turned_away(anyio.current_time())
        elif isinstance(message, CapacityRequest):
            await self._handle_capacity_request(daemon, endpoint, message)
        else:
            await self._handle_limit(daemon, endpoint, message)

    async def _handle_capacity_request(
        self, daemon: str, endpoint: Endpoint, message: CapacityRequest
    ) -> None:
        budget, now_s = self._rejection_budget(endpoint), anyio.current_time()
        wait_s = budget.take(message.turned_away_per_s, now_s)
        self._hub.metrics.count("permits", "not_given" if wait_s else "given")
        response = PermitResponse(endpoint.name, message.ticket, wait_s)
        await self._send(daemon, response)

    def _rejection_budget(self, endpoint: Endpoint) -> RejectionBudget:
        budget = self._rejections.get(endpoint.name)
        if budget is None:
            self._forget_others()
            budget = self._rejections[endpoint.name] = RejectionBudget()
        return budget

    async def _handle_limit(
        self, daemon: str, endpoint: Endpoint, message: LimitReport | PermitRequest
    ) -> None:
        now_s = anyio.current_time()
        bucket = self._bucket(endpoint, now_s)
        received_s = now_s - message.age_s
        if bucket.update_limit(message.limit_per_s, received_s, now_s):
            await self._broadcast_limit(endpoint, bucket, now_s)
        if isinstance(message, PermitRequest):
            may_coordinate = self._hub.may_coordinate()
            wait_s = bucket.take(now_s, 1.0 if may_coordinate else UNLEASED_SHARE)
            self._hub.metrics.count("permits", "not_given" if wait_s else "given")
            response = PermitResponse(endpoint.name, message.ticket, wait_s)
            await self._send(daemon, response)

    def _bucket(self, endpoint: Endpoint, now_s: float) -> PermitBucket:
        bucket = self._buckets.get(endpoint.name)
        if bucket is None:
            self._forget_others()
            # The previous coordinator may issue permits for a moment longer.
            bucket = self._buckets[endpoint.name] = PermitBucket(now_s + TAKE_OVER_S)
        return bucket

    def _forget_others(self) -> None:
        """Drop the state of endpoints that are gone or have another coordinator."""
        fleet = self._hub.cluster.fleet
        for name in {*self._buckets, *self._rejections}:
            endpoint = fleet.endpoints.get(name)
            if (
                endpoint is None
                or self._coordinator(endpoint) != self._hub.identity.name
            ):
                self._buckets.pop(name, None)
                self._rejections.pop(name, None)

    async def _broadcast_limit(
        self, endpoint: Endpoint, bucket: PermitBucket, now_s: float
    ) -> None:
        """Send a limit to all daemons, through the relays in a large pool."""
        cluster = self._hub.cluster
        update = LimitUpdate(
            endpoint.name,
            endpoint.record.started_ms,
            bucket.limit_per_s,
            bucket.heard_age_s(now_s),
        )
        small = cluster.is_small_pool
        names = cluster.daemons if small else chain(*cluster.relays.values())
        for name in {*names, self._hub.identity.name}:
            await self._send(name, update)
