"""Sees that endpoints leave before the list shows it, and tells the peers."""

from knapweedbridge_core import events, messages, rendezvous
from knapweedbridge_core.actions import ProbeEndpoint, RequestReport
from knapweedbridge_core.configuration import EndpointEntry
from knapweedbridge_core.context import Context, Handler, Side
from knapweedbridge_core.leaving import Sign
from knapweedbridge_core.outcomes import NotRun, Reason

PROBE_S = 1.0
RETELL_S = 10.0


class LeavingSide(Side):
    """Probes its share of the endpoints and keeps the signs.

    Each engine has one prober, the daemon that should own it, so a daemon's
    work does not grow with the pool.
    """

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._asked_s: dict[str, float] = {}
        self._told_s: dict[str, float] = {}
        self._share: list[EndpointEntry] = []
        self._share_of: tuple[int, frozenset[str]] | None = None

    def handlers(self) -> dict[type, Handler]:
        """See `Side.handlers`."""
        return {
            events.Tick: self._tick,
            events.AttemptResult: self._attempt_judged,
            events.EndpointProbed: self._probed,
            events.EndpointDrainRequested: self._drained,
            events.PeerConnected: self._peer_linked,
            messages.LeavingUpdate: self._told,
        }

    def _tick(self, event: events.Tick) -> None:
        self._context.leaving.expire(self._context.now_s)
        for entry in self._probed_here():
            last_s = self._asked_s.get(entry.name, -PROBE_S)
            if self._context.now_s - last_s >= PROBE_S:
                self._asked_s[entry.name] = self._context.now_s
                probe = ProbeEndpoint(entry.name, entry.address, entry.kind)
                self._context.emit(probe)

    def _probed_here(self) -> list[EndpointEntry]:
        members = self._context.members
        configuration = self._context.configuration
        seen = (configuration.generation, frozenset(members.available()))
        if seen != self._share_of:
            self._share_of = seen
            self._share = [
                entry
                for entry in configuration.endpoints.values()
                if entry.kind == "engine" and self._prober(entry) == self._context.host
            ]
            names = {entry.name for entry in self._share}
            self._asked_s = {
                name: at_s for name, at_s in self._asked_s.items() if name in names
            }
        return self._share

    def _prober(self, entry: EndpointEntry) -> str | None:
        members = self._context.members
        near = members.available(entry.data_centre) or members.available()
        return rendezvous.choose(entry.name, near)

    def _attempt_judged(self, event: events.AttemptResult) -> None:
        if not isinstance(event.outcome, NotRun):
            return
        if event.outcome.reason is Reason.ENDPOINT_LEAVING:
            self._said(event.endpoint)
        elif event.outcome.reason is Reason.CONNECT_FAILED:
            # Only this daemon's path may be cut, so the peers are not told: they
            # would stop using an endpoint that they can reach.
            self._context.leaving.doubt(event.endpoint, self._context.now_s)

    def _probed(self, event: events.EndpointProbed) -> None:
        self._check_slots(event)
        if event.leaving:
            self._said(event.endpoint)
        elif event.reached and self._is_engine(event.endpoint):
            self._stays(event.endpoint)

    def _is_engine(self, endpoint: str) -> bool:
        # A plain service has no report: that it answers does not show that it
        # stays, so its sign is left to lapse.
        entry = self._context.configuration.endpoints.get(endpoint)
        return entry is not None and entry.kind == "engine"

    def _stays(self, endpoint: str) -> None:
        if self._context.leaving.clear(endpoint):
            self._context.record("endpoint.stays", endpoint=endpoint)
            told = messages.LeavingUpdate(endpoint, False, False)
            self._context.broadcast(told)

    def _check_slots(self, event: events.EndpointProbed) -> None:
        # An engine that restarted is cold: its owner would give grants on slots
        # that are empty, and each of them would be refused by the engine.
        view = self._context.view.endpoints.get(event.endpoint)
        entry = self._context.configuration.endpoints.get(event.endpoint)
        if view is None or entry is None or view.owner != self._context.host:
            return
        if event.reached and not view.loaded <= set(event.loaded):
            self._context.emit(RequestReport(entry.name, entry.address))

    def _said(self, endpoint: str) -> None:
        new = self._note(endpoint, Sign.SAID)
        told_s = self._told_s.get(endpoint, -RETELL_S)
        if new or self._context.now_s - told_s >= RETELL_S:
            self._told_s[endpoint] = self._context.now_s
            self._context.broadcast(messages.LeavingUpdate(endpoint, True, False))

    def _note(self, endpoint: str, sign: Sign) -> bool:
        new = self._context.leaving.record(endpoint, sign, self._context.now_s)
        if new:
            self._context.record("endpoint.leaves", endpoint=endpoint, sign=sign.value)
        return new

    def _drained(self, event: events.EndpointDrainRequested) -> None:
        self._order(event.endpoint, event.drained)
        told = messages.LeavingUpdate(event.endpoint, event.drained, True)
        self._context.broadcast(told)

    def _order(self, endpoint: str, drained: bool) -> None:
        if drained:
            self._note(endpoint, Sign.ORDERED)
        else:
            self._context.leaving.clear(endpoint, ordered=True)

    def _told(self, message: messages.LeavingUpdate) -> None:
        if message.ordered:
            self._order(message.endpoint, message.leaving)
        elif message.leaving:
            self._note(message.endpoint, Sign.SAID)
        else:
            self._context.leaving.clear(message.endpoint)

    def _peer_linked(self, event: events.PeerConnected) -> None:
        for endpoint, sign in self._context.leaving.signs():
            ordered = sign is Sign.ORDERED
            self._context.send(
                event.host, messages.LeavingUpdate(endpoint, True, ordered)
            )
