"""Chooses the endpoint of a call, and waits while its adapter is loaded."""

import random

import anyio

from knapweedbridge_core.serving import (
    Admit,
    Endpoint,
    LateAdmission,
    LeastCostPlacement,
    LoadOn,
    ModelRef,
    NoEngine,
    PendingRequest,
    PlacementRequest,
    PlainAsk,
    Reject,
    SendTo,
    ServableVersions,
    TooLate,
    Verdict,
    Wait,
    WaitFor,
    exclude_limited,
)
from knapweedbridge_core.serving.messages import AdapterLoadRequest
from knapweedbridge_core.serving.placement_choices import Choice
from knapweedbridge_daemon.serving.admission_records import AdmissionRecords
from knapweedbridge_daemon.serving.call import Call, Target
from knapweedbridge_daemon.serving.dialects import Refusal
from knapweedbridge_daemon.serving.hub import Hub
from knapweedbridge_daemon.serving.peer_link import PeerLink

BUSY_AFTER_S = 0.4
"""Retry-After where no engine has capacity: an adapter load takes 0.25 s."""

MAX_WAIT_OBJECTIVES = 2.0
"""How long a call waits for an engine, as a multiple of the route's latency objective.
Its response is late by then, and callers close a silent stream after some seconds."""

POLL_INTERVAL_S = 0.1
"""Longest pause between attempts at placement."""

LOAD_REQUEST_RETRY_S = 0.25
"""Pause after which an owner is asked again to load an adapter."""

LOAD_STALE_AFTER_S = 0.02
"""Age of an engine's load, in a large pool, past which its owner is asked before a call
is sent there. Relayed loads are up to half a second old and the same at all daemons,
which would all send their calls to the same few engines."""

LOAD_ANSWER_TIMEOUT_S = 0.03
"""How long a call waits in all for the loads of its engines. An owner answers in 3 ms,
and one that is gone or frozen must not keep calls from its engine."""

NO_ENDPOINT_RETRY_AFTER_S = 0.6
"""Retry-After where a service has no endpoint: one restarts in some seconds."""

VERSION_GONE_RETRY_AFTER_S = 0.6
"""Retry-After of a stream whose software version has no endpoint: a crashed one
restarts in some seconds, and an expired entry is renewed within two."""

PAUSE_JITTER_S = (0.0, 1.0)
"""Range of the random delay added to an endpoint's pause, so that callers don't all
return at once."""

MAX_PLAIN_WAIT_OBJECTIVES = 0.5
"""How long a call waits for a paused plain endpoint, as a multiple of the latency
objective: its response can then still be in time."""


class CallPlacer:
    """Chooses endpoints of calls by the known state of the cluster.

    Parameters
    ----------
    hub : Hub
        The daemon's cluster state.
    link : PeerLink
        Connects to the owners of engines.
    """

    def __init__(self, hub: Hub, link: PeerLink) -> None:
        self._hub = hub
        self._link = link
        self._admission = LateAdmission(LeastCostPlacement(hub.rates, hub.load_times))
        self._records = AdmissionRecords(hub)

    async def place(self, call: Call) -> Target | Refusal:
        """Return the target of a call's next attempt, or a refusal."""
        if self._is_version_gone(call):
            return Refusal(503, "software_gone", VERSION_GONE_RETRY_AFTER_S)
        if call.details.model is None:
            return await self._place_plain(call)
        pending = self._make_pending(call)
        placed: Target | Refusal | None = None
        try:
            placed = await self._place_on_engine(call, call.details.model, pending)
        finally:
            # A caller that disconnects leaves the queue as well.
            sent = isinstance(placed, Target)
            self._hub.overload.left(pending, anyio.current_time(), sent)
        return placed

    def _is_version_gone(self, call: Call) -> bool:
        """Return whether a started stream has no endpoint left that may continue it."""
        if call.software is None:
            return False
        fleet, now_s = self._hub.cluster.fleet, anyio.current_time()
        return not any(map(call.may_go_to, fleet.of_service(call.service, now_s)))

    async def _place_on_engine(
        self, call: Call, model: ModelRef, pending: PendingRequest
    ) -> Target | Refusal:
        asked_s = float("-inf")
        known_by_s = anyio.current_time() + LOAD_ANSWER_TIMEOUT_S
        while True:
            now_s = anyio.current_time()
            choice = self._choose(call, model, pending, now_s)
            call.last_choice = type(choice).__name__
            verdict = self._hub.overload.decide(pending, choice, now_s)
            refusal = self._refuse_now(call, pending, choice, verdict, now_s)
            if refusal is not None:
                return refusal
            if isinstance(verdict, Wait):
                await self._hub.engines_changed.wait(
                    max(0.001, verdict.until_s - now_s)
                )
                known_by_s = anyio.current_time() + LOAD_ANSWER_TIMEOUT_S
                continue
            assert isinstance(verdict, Admit)
            choice, call.overdue_rank = verdict.choice, verdict.rank
            if isinstance(choice, SendTo):
                if now_s < known_by_s and self._is_load_stale(choice.endpoint, now_s):
                    await self._link.request_load(choice.endpoint)
                    await self._hub.engines_changed.wait(known_by_s - now_s)
                    continue
                if choice.copy_to is not None:
                    await self._request_load(call, choice.copy_to)
                self._records.record_sent(call, pending, now_s)
                return Target(choice.endpoint, choice.version)
            call.accepted = not isinstance(choice, NoEngine)
            pause_s = POLL_INTERVAL_S
            if isinstance(choice, WaitFor):
                pause_s = choice.ready_s - now_s
            elif isinstance(choice, LoadOn) and now_s - asked_s > LOAD_REQUEST_RETRY_S:
                asked_s = now_s
                await self._request_load(call, choice.endpoint)
            if verdict.rank is None and now_s > self._wait_deadline_s(call):
                return Refusal(503, "no_place", BUSY_AFTER_S)
            await self._hub.engines_changed.wait(max(0.001, pause_s))

    def _make_pending(self, call: Call) -> PendingRequest:
        return PendingRequest(
            id(call),
            call.route,
            call.request.received_s,
            call.deadline_s,
            call.spent_s,
            self._hub.longest_pause_s(call.service) or 0.0,
            call.mark,
            call.has_begun,
            call.progress.may_have_run,
            call.details.model,
        )

    def _refuse_now(
        self,
        call: Call,
        pending: PendingRequest,
        choice: Choice,
        verdict: Verdict,
        now_s: float,
    ) -> Refusal | None:
        """Refuse a call that would not be served by waiting."""
        self._records.record_verdict(call, pending, verdict, now_s)
        if isinstance(verdict, Reject):
            if isinstance(choice, TooLate):
                patience_s = self._hub.overload.patience_s(
                    pending, call.accepted, now_s
                )
                late_share = self._admission.late_share
                self._records.record_too_late(
                    call, choice, patience_s, late_share, now_s
                )
            return Refusal(503, verdict.reason, verdict.retry_after_s)
        if isinstance(choice, NoEngine):
            return self._refuse_paused(call, self._wait_deadline_s(call), now_s)
        return None

    def _refuse_paused(
        self, call: Call, until_s: float, now_s: float
    ) -> Refusal | None:
        """Refuse a call whose endpoints are all paused until after its wait ends."""
        reopens_at_s = self._hub.cluster.fleet.reopens_at_s(call.service, now_s)
        if reopens_at_s is None or reopens_at_s <= until_s:
            return None
        self._hub.log.info(
            "call.closed_out",
            request=call.details.call_id,
            service=call.service,
            opens_in_s=round(reopens_at_s - now_s, 3),
        )
        retry_after_s = reopens_at_s - now_s + random.uniform(*PAUSE_JITTER_S)
        return Refusal(503, "closed", retry_after_s)

    def _is_load_stale(self, engine: Endpoint, now_s: float) -> bool:
        """Return whether an engine's load is too old to send a call there."""
        if self._hub.cluster.is_small_pool:
            return False
        return engine.owner != "" and now_s - engine.heard_s > LOAD_STALE_AFTER_S

    @staticmethod
    def _wait_deadline_s(call: Call) -> float:
        """Return until when a call waits for an engine, on the daemon's clock."""
        if call.progress.begun:
            return call.deadline_s - 0.05
        wait_s = max(0.5, MAX_WAIT_OBJECTIVES * call.route.objective_s)
        return min(call.request.received_s + wait_s, call.deadline_s - 0.05)

    def _choose(
        self, call: Call, model: ModelRef, pending: PendingRequest, now_s: float
    ) -> Choice:
        cluster, policy = self._hub.cluster, self._hub.overload
        request = PlacementRequest(
            model,
            self._servable_versions(model),
            self._hub.identity.data_centre,
            frozenset(call.progress.runs | call.refused),
            call.details.prompt_tokens,
            policy.patience_s(pending, call.accepted, now_s),
        )
        reachable = cluster.fleet.reachable(call.service, now_s)
        usable = [each for each in reachable if self._may_serve(call, each)]
        engines = exclude_limited(usable, model)
        cluster.fleet.estimate_load(
            engines, self._hub.daemons, cluster.is_small_pool, now_s
        )
        engines = policy.eligible_engines(pending, engines, now_s)
        objective_s = 0.0 if call.has_begun else call.route.objective_s
        is_new = not call.placed and not policy.is_overdue(pending, now_s)
        call.placed = True
        return self._admission.choose(request, engines, objective_s, is_new, now_s)

    def _may_serve(self, call: Call, endpoint: Endpoint) -> bool:
        """Return whether a call's response may come from an endpoint's software."""
        may_begin = self._link.origins.may_begin(call, endpoint)
        return may_begin and call.may_go_to(endpoint)

    def _servable_versions(self, model: ModelRef) -> ServableVersions | None:
        if not model.adapter:
            return None
        return self._hub.cluster.servable_versions(model, self._hub.steady_s())

    async def _request_load(self, call: Call, endpoint: Endpoint) -> None:
        model = call.details.model
        assert model is not None
        version = self._hub.cluster.newest_version(model) or 0
        self._hub.log.info(
            "adapter.wanted",
            request=call.details.call_id,
            engine=endpoint.name,
            owner=endpoint.owner,
            model=str(model),
            version=version,
        )
        if endpoint.owner:
            endpoint.record_owner_request(anyio.current_time())
            wanted = AdapterLoadRequest(
                endpoint.name, model.base, model.adapter, version
            )
            await self._link.send(endpoint.owner, wanted)

    async def _place_plain(self, call: Call) -> Target | Refusal:
        wait_s = MAX_PLAIN_WAIT_OBJECTIVES * call.route.objective_s
        until_s = min(call.request.received_s + wait_s, call.deadline_s)
        while True:
            now_s = anyio.current_time()
            endpoint = await self._choose_plain(call, now_s)
            if endpoint is not None:
                return Target(endpoint, None)
            reopens_at_s = self._hub.cluster.fleet.reopens_at_s(call.service, now_s)
            if reopens_at_s is None:
                return Refusal(503, "no_endpoint", NO_ENDPOINT_RETRY_AFTER_S)
            refusal = self._refuse_paused(call, until_s, now_s)
            if refusal is not None:
                return refusal
            await self._hub.engines_changed.wait(reopens_at_s - now_s)

    async def _choose_plain(self, call: Call, now_s: float) -> Endpoint | None:
        request = PlainAsk(
            self._hub.identity.data_centre,
            frozenset(call.progress.runs | call.refused),
            call.route.objective_s,
        )
        fleet = self._hub.cluster.fleet
        # An endpoint that failed of late is better than none.
        usable = fleet.reachable(call.service, now_s)
        usable = usable or fleet.open_endpoints(call.service, now_s)
        usable = [each for each in usable if self._may_serve(call, each)]
        return await self._link.plain.choose(request, usable, call.details.call_id)
