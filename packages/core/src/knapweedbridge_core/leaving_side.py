"""Detects endpoints that leave before the platform's list shows it."""

from knapweedbridge_core import events, messages, rendezvous
from knapweedbridge_core.actions import ProbeEndpoint, RequestReport
from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.leaving import LeavingSignal
from knapweedbridge_core.outcomes import NotRun, Reason

PROBE_INTERVAL_S = 1.0
RESEND_INTERVAL_S = 10.0


class LeavingSide(Side):
    """Probes this daemon's part of the engines, and shares their signals with peers.

    Each engine is probed by one daemon, the one that should own it, so that the work of
    a daemon does not grow with the pool.
    """

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._probed_s: dict[str, float] = {}
        self._sent_s: dict[str, float] = {}
        self._assigned: list[EndpointEntry] = []
        self._assigned_for: tuple[int, frozenset[str]] | None = None

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.AttemptResult: self._attempt_ended,
            events.EndpointProbed: self._endpoint_probed,
            events.EndpointDrainRequested: self._drain_requested,
            events.PeerConnected: self._peer_connected,
            messages.LeavingUpdate: self._apply_update,
        }

    def _tick(self, event: events.Tick) -> None:
        self._context.leaving.expire(self._context.now_s)
        for entry in self._assigned_engines():
            last_s = self._probed_s.get(entry.name, -PROBE_INTERVAL_S)
            if self._context.now_s - last_s >= PROBE_INTERVAL_S:
                self._probed_s[entry.name] = self._context.now_s
                probe = ProbeEndpoint(entry.name, entry.address, entry.kind)
                self._context.emit(probe)

    def _assigned_engines(self) -> list[EndpointEntry]:
        members = self._context.members
        configuration = self._context.configuration
        current = (configuration.generation, frozenset(members.available()))
        if current != self._assigned_for:
            self._assigned_for = current
            self._assigned = [
                entry
                for entry in configuration.endpoints.values()
                if entry.kind == "engine" and self._prober(entry) == self._context.host
            ]
            names = {entry.name for entry in self._assigned}
            self._probed_s = {
                name: at_s for name, at_s in self._probed_s.items() if name in names
            }
        return self._assigned

    def _prober(self, entry: EndpointEntry) -> str | None:
        members = self._context.members
        near = members.available(entry.data_centre) or members.available()
        return rendezvous.choose(entry.name, near)

    def _attempt_ended(self, event: events.AttemptResult) -> None:
        if not isinstance(event.outcome, NotRun):
            return
        if event.outcome.reason is Reason.ENDPOINT_LEAVING:
            self._record_announced(event.endpoint)
        elif event.outcome.reason is Reason.CONNECT_FAILED:
            # The fault may lie in this daemon's path alone. The peers are not notified,
            # as they would stop using an endpoint that they can reach.
            self._context.leaving.record_unreachable(
                event.endpoint, self._context.now_s
            )

    def _endpoint_probed(self, event: events.EndpointProbed) -> None:
        self._check_slots(event)
        if event.leaving:
            self._record_announced(event.endpoint)
        elif event.reached and self._is_engine(event.endpoint):
            self._record_staying(event.endpoint)

    def _is_engine(self, endpoint: str) -> bool:
        # A plain service sends no report. An answer from it does not show that it
        # stays, so its signal is left to expire.
        entry = self._context.configuration.endpoints.get(endpoint)
        return entry is not None and entry.kind == "engine"

    def _record_staying(self, endpoint: str) -> None:
        if self._context.leaving.clear(endpoint):
            self._context.record("endpoint.stays", endpoint=endpoint)
            update = messages.LeavingUpdate(endpoint, False, False)
            self._context.broadcast(update)

    def _check_slots(self, event: events.EndpointProbed) -> None:
        # A restarted engine holds no adapters. Until its owner reads a new report, it
        # would give grants on empty slots, and the engine would refuse each of them.
        view = self._context.view.endpoints.get(event.endpoint)
        entry = self._context.configuration.endpoints.get(event.endpoint)
        if view is None or entry is None or view.owner != self._context.host:
            return
        if event.reached and not view.loaded <= set(event.loaded):
            self._context.emit(RequestReport(entry.name, entry.address))

    def _record_announced(self, endpoint: str) -> None:
        new = self._record(endpoint, LeavingSignal.ANNOUNCED)
        sent_s = self._sent_s.get(endpoint, -RESEND_INTERVAL_S)
        if new or self._context.now_s - sent_s >= RESEND_INTERVAL_S:
            self._sent_s[endpoint] = self._context.now_s
            self._context.broadcast(messages.LeavingUpdate(endpoint, True, False))

    def _record(self, endpoint: str, signal: LeavingSignal) -> bool:
        new = self._context.leaving.record(endpoint, signal, self._context.now_s)
        if new:
            self._context.record(
                "endpoint.leaves", endpoint=endpoint, sign=signal.value
            )
        return new

    def _drain_requested(self, event: events.EndpointDrainRequested) -> None:
        self._apply_order(event.endpoint, event.drained)
        update = messages.LeavingUpdate(event.endpoint, event.drained, True)
        self._context.broadcast(update)

    def _apply_order(self, endpoint: str, drained: bool) -> None:
        if drained:
            self._record(endpoint, LeavingSignal.ORDERED)
        else:
            self._context.leaving.clear(endpoint, ordered=True)

    def _apply_update(self, message: messages.LeavingUpdate) -> None:
        if message.ordered:
            self._apply_order(message.endpoint, message.leaving)
        elif message.leaving:
            self._record(message.endpoint, LeavingSignal.ANNOUNCED)
        else:
            self._context.leaving.clear(message.endpoint)

    def _peer_connected(self, event: events.PeerConnected) -> None:
        for endpoint, signal in self._context.leaving.signals():
            ordered = signal is LeavingSignal.ORDERED
            self._context.send(
                event.host, messages.LeavingUpdate(endpoint, True, ordered)
            )
