"""Shares suspects with the peers, and probes endpoints to prove their losses."""

from dataclasses import dataclass, field

from knapweedbridge_core import events, messages
from knapweedbridge_core.actions import Count, ProbeEndpoint
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.outcomes import Complete, Reason, Unknown
from knapweedbridge_core.suspects import LossState, SuspectTable

INNOCENT_REASONS = frozenset({Reason.CANCELLED, Reason.WRONG_ADAPTER, Reason.DEADLINE})


@dataclass(slots=True, frozen=True)
class SuspectedLoss:
    """A loss recorded for a fingerprint, until the endpoint has been probed."""

    fingerprint: str
    loss_id: str
    model: AdapterVersion | None
    incarnation: str


@dataclass(slots=True)
class ProbeInProgress:
    """Losses that the running probe decides, and those suspected since it began."""

    covered: list[SuspectedLoss] = field(default_factory=list)
    later: list[SuspectedLoss] = field(default_factory=list)


class SuspectSide(Side):
    """Keeps the table of suspects in sync with the peers."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._probes: dict[str, ProbeInProgress] = {}
        self._incarnations: dict[str, str] = {}

    @property
    def suspects(self) -> SuspectTable:
        """The table of this daemon."""
        return self._context.suspects

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.PeerConnected: self._peer_connected,
            events.AttemptResult: self._attempt_ended,
            events.EndpointProbed: self._endpoint_probed,
            messages.SuspectUpdate: self._apply_update,
            messages.SuspectCleared: self._apply_cleared,
        }

    def _tick(self, event: events.Tick) -> None:
        self.suspects.expire(self._context.now_s)

    def _attempt_ended(self, event: events.AttemptResult) -> None:
        outcome = event.outcome
        if isinstance(outcome, Complete):
            self._clear(event.request.fingerprint)
        elif isinstance(outcome, Unknown) and outcome.reason not in INNOCENT_REASONS:
            self._suspect(event.request, event.attempt_id, event.endpoint)

    def _clear(self, fingerprint: str) -> None:
        if self.suspects.clear(fingerprint):
            self._context.record("blame.cleared", fingerprint=fingerprint)
            self._context.broadcast(messages.SuspectCleared(fingerprint))

    def _suspect(self, request: events.Request, loss_id: str, endpoint: str) -> None:
        # An endpoint that announced that it leaves ended on purpose.
        if endpoint in self._context.leaving:
            return
        fingerprint = request.fingerprint
        now_s = self._context.now_s
        if not self.suspects.suspect(fingerprint, loss_id, endpoint, now_s):
            return
        self._publish(fingerprint, loss_id, endpoint, LossState.SUSPECTED)
        entry = self._context.configuration.endpoints.get(endpoint)
        if entry is None:
            return
        incarnation = self._incarnations.get(endpoint, "")
        loss = SuspectedLoss(fingerprint, loss_id, request.model, incarnation)
        probe = self._probes.get(endpoint)
        if probe is not None:
            # The endpoint may have answered the running probe before this stream broke.
            probe.later.append(loss)
            return
        self._probes[endpoint] = ProbeInProgress([loss])
        self._context.emit(ProbeEndpoint(endpoint, entry.address, entry.kind))

    def _endpoint_probed(self, event: events.EndpointProbed) -> None:
        probe = self._probes.pop(event.endpoint, None)
        if event.reached:
            self._incarnations[event.endpoint] = event.incarnation
        if probe is None:
            return
        for loss in probe.covered:
            self._decide(loss, event)
        entry = self._context.configuration.endpoints.get(event.endpoint)
        if probe.later and entry is not None:
            self._probes[event.endpoint] = ProbeInProgress(probe.later)
            request = ProbeEndpoint(event.endpoint, entry.address, entry.kind)
            self._context.emit(request)

    def _decide(self, loss: SuspectedLoss, event: events.EndpointProbed) -> None:
        # A restarted engine holds no adapters. One that still holds the adapter was not
        # lost, and only the stream broke.
        warm = loss.model is None or loss.model in event.loaded
        restarted = loss.incarnation != event.incarnation
        if loss.incarnation and event.incarnation:
            warm = not restarted
        alive = event.reached and warm
        state = LossState.WITHDRAWN if alive else LossState.PROVED
        self._apply(loss.fingerprint, loss.loss_id, state)
        self._publish(loss.fingerprint, loss.loss_id, event.endpoint, state)

    def _publish(
        self, fingerprint: str, loss_id: str, endpoint: str, state: LossState
    ) -> None:
        update = messages.SuspectUpdate(
            fingerprint, loss_id, endpoint, state.value, 0.0
        )
        self._context.broadcast(update)
        self._context.record(
            f"blame.{state.value}", fingerprint=fingerprint, endpoint=endpoint
        )
        self._context.emit(Count(f"blame.{state.value}"))

    def _apply_update(self, message: messages.SuspectUpdate) -> None:
        state = LossState(message.state)
        at_s = self._context.now_s - message.age_s
        if state is not LossState.WITHDRAWN:
            self.suspects.suspect(
                message.fingerprint, message.loss_id, message.endpoint, at_s
            )
        self._apply(message.fingerprint, message.loss_id, state)

    def _apply(self, fingerprint: str, loss_id: str, state: LossState) -> None:
        if state is LossState.PROVED:
            self.suspects.confirm(fingerprint, loss_id)
        elif state is LossState.WITHDRAWN:
            self.suspects.withdraw(fingerprint, loss_id)

    def _apply_cleared(self, message: messages.SuspectCleared) -> None:
        self.suspects.clear(message.fingerprint)

    def _peer_connected(self, event: events.PeerConnected) -> None:
        for fingerprint, loss_id, loss in self.suspects.entries():
            age_s = self._context.now_s - loss.at_s
            update = messages.SuspectUpdate(
                fingerprint, loss_id, loss.endpoint, loss.state.value, age_s
            )
            self._context.send(event.host, update)
