"""Tells of suspects between daemons, and proves the losses held against them."""

from dataclasses import dataclass, field

from knapweedbridge_core import events, messages
from knapweedbridge_core.actions import Count, ProbeEndpoint
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.names import AdapterVersion
from knapweedbridge_core.outcomes import Complete, Reason, Unknown
from knapweedbridge_core.suspects import LossState, SuspectTable

INNOCENT_REASONS = frozenset({Reason.CANCELLED, Reason.WRONG_ADAPTER, Reason.DEADLINE})


@dataclass(slots=True, frozen=True)
class Charge:
    """A loss held against a fingerprint until the endpoint was probed."""

    fingerprint: str
    loss_id: str
    model: AdapterVersion | None
    incarnation: str


@dataclass(slots=True)
class Inquest:
    """Charges that the probe under way answers, and those that came after it."""

    asked: list[Charge] = field(default_factory=list)
    later: list[Charge] = field(default_factory=list)


class SuspectSide(Side):
    """Keeps the shared table of blame in step with the peers."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._inquests: dict[str, Inquest] = {}
        self._incarnations: dict[str, str] = {}

    @property
    def suspects(self) -> SuspectTable:
        """The table of this daemon."""
        return self._context.suspects

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.PeerConnected: self._peer_linked,
            events.AttemptResult: self._attempt_judged,
            events.EndpointProbed: self._probed,
            messages.SuspectUpdate: self._told,
            messages.SuspectCleared: self._cleared,
        }

    def _tick(self, event: events.Tick) -> None:
        self.suspects.expire(self._context.now_s)

    def _attempt_judged(self, event: events.AttemptResult) -> None:
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
        # An endpoint that said it was leaving ended on purpose.
        if endpoint in self._context.leaving:
            return
        fingerprint = request.fingerprint
        now_s = self._context.now_s
        if not self.suspects.suspect(fingerprint, loss_id, endpoint, now_s):
            return
        self._tell(fingerprint, loss_id, endpoint, LossState.SUSPECTED)
        entry = self._context.configuration.endpoints.get(endpoint)
        if entry is None:
            return
        incarnation = self._incarnations.get(endpoint, "")
        charge = Charge(fingerprint, loss_id, request.model, incarnation)
        inquest = self._inquests.get(endpoint)
        if inquest is not None:
            # The probe under way may have been answered before this stream broke.
            inquest.later.append(charge)
            return
        self._inquests[endpoint] = Inquest([charge])
        self._context.emit(ProbeEndpoint(endpoint, entry.address, entry.kind))

    def _probed(self, event: events.EndpointProbed) -> None:
        inquest = self._inquests.pop(event.endpoint, None)
        if event.reached:
            self._incarnations[event.endpoint] = event.incarnation
        if inquest is None:
            return
        for charge in inquest.asked:
            self._settle(charge, event)
        entry = self._context.configuration.endpoints.get(event.endpoint)
        if inquest.later and entry is not None:
            self._inquests[event.endpoint] = Inquest(inquest.later)
            probe = ProbeEndpoint(event.endpoint, entry.address, entry.kind)
            self._context.emit(probe)

    def _settle(self, charge: Charge, event: events.EndpointProbed) -> None:
        # A restarted engine is cold. An engine that still holds the adapter
        # lived on, and only the stream broke.
        warm = charge.model is None or charge.model in event.loaded
        restarted = charge.incarnation != event.incarnation
        if charge.incarnation and event.incarnation:
            warm = not restarted
        alive = event.reached and warm
        state = LossState.WITHDRAWN if alive else LossState.PROVED
        self._apply(charge.fingerprint, charge.loss_id, state)
        self._tell(charge.fingerprint, charge.loss_id, event.endpoint, state)

    def _tell(
        self, fingerprint: str, loss_id: str, endpoint: str, state: LossState
    ) -> None:
        told = messages.SuspectUpdate(fingerprint, loss_id, endpoint, state.value, 0.0)
        self._context.broadcast(told)
        self._context.record(
            f"blame.{state.value}", fingerprint=fingerprint, endpoint=endpoint
        )
        self._context.emit(Count(f"blame.{state.value}"))

    def _told(self, message: messages.SuspectUpdate) -> None:
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

    def _cleared(self, message: messages.SuspectCleared) -> None:
        self.suspects.clear(message.fingerprint)

    def _peer_linked(self, event: events.PeerConnected) -> None:
        for fingerprint, loss_id, loss in self.suspects.entries():
            age_s = self._context.now_s - loss.at_s
            told = messages.SuspectUpdate(
                fingerprint, loss_id, loss.endpoint, loss.state.value, age_s
            )
            self._context.send(event.host, told)
