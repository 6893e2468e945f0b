"""Finds out which endpoints were lost with calls, and has hosts blame those calls."""

from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.serving import (
    Endpoint,
    EndpointStart,
    LossEvidence,
    loss_id,
    request_digest,
)
from knapweedbridge_core.serving.blame_messages import (
    CallsBlamed,
    CallsCleared,
    PartsBlamed,
    PartsCleared,
    SuspectsHeld,
)
from knapweedbridge_daemon.serving.blame_notifier import BlameNotifier, lost_calls
from knapweedbridge_daemon.serving.call import Call
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_client import (
    ConnectionBrokenError,
    NotSentError,
)
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.loss_detection import detect_loss

LOOK_S = 0.5
"""Longest pause between looks for endpoints that were replaced."""

SILENT_S = 2.0
"""Silence after which an endpoint is probed; a second of it is no failure."""

PROBE_EVERY_S = 1.0
"""Pause between probes of one endpoint: an endpoint accepts connections slowly."""

ACCUSED_S = 10.0
"""How long another host may answer that a part which this one accuses is sound."""

PROBE_S = 1.0
"""How long a probe may take: health waits for a slot as calls do."""

MOST_PROBES = 16
"""Probes at once; losses beyond them show by the platform's list."""


@dataclass(slots=True, frozen=True)
class Suspicion:
    """An endpoint that may be gone.

    Parameters
    ----------
    sent_s : float
        When an attempt was sent there that got no whole answer, on the event loop's
        clock.
    is_closed : bool
        Whether its connection broke.
    """

    endpoint: Endpoint
    sent_s: float
    is_closed: bool


LossMessage = CallsBlamed | CallsCleared | PartsBlamed | PartsCleared | SuspectsHeld


class CrashWatch:
    """Blames the calls that endpoints were lost with, and parts of their prompts.

    Parameters
    ----------
    hub : Hub
        Beliefs, connections and the ledger of crashes.
    send : callable
        Sends a message to a daemon.

    Attributes
    ----------
    cleared_calls : set of str
        Calls that got answers, whose refusal the store must not say any more.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._notifier = BlameNotifier(hub, send)
        hub.crashes.parts.turn_of = self._turn_of
        self.cleared_calls: set[str] = set()
        self._found: list[tuple[str, LossEvidence]] = []
        self._cleared: list[str] = []
        self._held: tuple[set[str], set[str]] = (set(), set())
        self._accused_s: dict[str, float] = {}
        self._lost: list[tuple[str, str]] = []
        self._to_probe: list[Suspicion] = []
        self._probed_s: dict[str, float] = {}
        self._probing: set[str] = set()

    def _turn_of(self, mark: str) -> int:
        """Return this host's place among those that publish a refusal, the first: 0."""
        coordinators, own = self._notifier.coordinators(mark), self._hub.identity.name
        return coordinators.index(own) if own in coordinators else len(coordinators)

    def attempt_ended(
        self,
        call: Call,
        endpoint: Endpoint,
        sent_s: float | None,
        is_closed: bool,
        has_stayed: bool,
    ) -> None:
        """Record that an attempt ended without a whole answer.

        Parameters
        ----------
        sent_s : float or None
            When it was sent, on the event loop's clock; None: it was not.
        is_closed : bool
            Whether its connection broke, so that the endpoint may be gone by now.
        has_stayed : bool
            Whether the endpoint ran on after it had begun the answer.
        """
        if sent_s is None:
            return
        now_s = loop_time_s()
        crashes = self._hub.crashes
        parts = () if has_stayed else call.parts
        is_suspected = bool(crashes.find_suspects(call.mark, parts, now_s))
        is_probed = self._probe_once(Suspicion(endpoint, sent_s, is_closed), now_s)
        found = crashes.ended(
            call.mark,
            endpoint.start,
            now_s,
            parts,
            sent_s,
            is_closed,
            is_judged=not (is_suspected or (is_closed and is_probed)),
        )
        if found is not None:
            self._found.append((loss_id(endpoint.start), found))
        elif is_suspected:
            self._hold(call, parts, now_s)
        self._hub.losses_changed.tell()

    def _hold(self, call: Call, parts: tuple[str, ...], now_s: float) -> None:
        marks, held_parts = self._held
        marks.update((call.mark, request_digest(call.mark)))
        held_parts.update(self._hub.crashes.parts.suspected(parts, now_s))

    def _probe_once(self, suspicion: Suspicion, now_s: float) -> bool:
        """Have an endpoint probed, unless that was done of late.

        Returns
        -------
        is_probed : bool
            Whether a probe will tell what has become of it.
        """
        recent = self._probed_s.items()
        self._probed_s = {
            name: at_s for name, at_s in recent if now_s - at_s < PROBE_EVERY_S
        }
        name = suspicion.endpoint.name
        if name in self._probing:
            return True
        if name in self._probed_s or len(self._probed_s) >= MOST_PROBES:
            return False
        self._probed_s[name] = now_s
        self._probing.add(name)
        self._to_probe.append(suspicion)
        return True

    def note_lost(self, endpoint: str, cause: str) -> None:
        """Record that an endpoint is gone; see `record_endpoint_lost`."""
        self._lost.append((endpoint, cause))
        self._hub.losses_changed.tell()

    async def run(self, tasks: TaskGroup) -> None:
        """Draw conclusions until cancelled."""
        while True:
            if not self._has_work():
                await self._hub.losses_changed.wait(LOOK_S)
            for name in self._hub.cluster.fleet.pop_replaced():
                if self._hub.crashes.has_recent_failure(name, loop_time_s()):
                    self._lost.append((name, "replaced"))
            await self._notify_held()
            while self._lost:
                await self.record_endpoint_lost(*self._lost.pop())
            await self._clear()
            while self._found:
                loss, found = self._found.pop()
                await self._notify({loss: found}, "known")
            while self._to_probe:
                tasks.start_soon(self._probe, self._to_probe.pop())

    def _has_work(self) -> bool:
        waiting = self._lost, self._found, self._to_probe, self._cleared
        return any((*waiting, *self._held, self._hub.crashes.parts.to_clear))

    async def _notify_held(self) -> None:
        (marks, parts), self._held = self._held, (set(), set())
        if marks or parts:
            await self._notifier.notify_held(marks, parts)

    async def _clear(self) -> None:
        marks, self._cleared = self._cleared, []
        self.cleared_calls.update(marks)
        await self._notifier.notify_calls_cleared(marks)
        ledger = self._hub.crashes.parts
        parts, ledger.to_clear = ledger.to_clear, set()
        await self._notifier.notify_parts_cleared(parts)

    async def _probe(self, suspicion: Suspicion) -> None:
        """Find out whether an endpoint that calls broke off at is gone."""
        try:
            await self._ask_health(suspicion)
        finally:
            self._probing.discard(suspicion.endpoint.name)

    async def _ask_health(self, suspicion: Suspicion) -> None:
        """Ask an endpoint for its health; another may stand at its address by now.

        Where no connection stands other hosts are asked for one.
        """
        endpoint, cause, lives = suspicion.endpoint, "", False
        if not suspicion.is_closed:
            await anyio.sleep(max(0.0, suspicion.sent_s + SILENT_S - loop_time_s()))
            if endpoint.answered_s > suspicion.sent_s:
                self._note_lives(endpoint)
                return
        try:
            with anyio.move_on_after(PROBE_S):
                cause = await detect_loss(self._hub, endpoint)
                lives = not cause
        except NotSentError as error:
            cause = "unreachable" if error.is_lost else ""
        except ConnectionBrokenError as error:
            self._hub.log.info(
                "endpoint.not_probed", endpoint=endpoint.name, error=str(error)
            )
        self._hub.metrics.count("probes", cause or "nothing_found")
        if cause:
            endpoint.record_unreachable(loop_time_s())
            await self.record_endpoint_lost(
                endpoint.name, cause, endpoint.start.started_ms
            )
        elif lives:
            self._note_lives(endpoint)

    def _note_lives(self, endpoint: Endpoint) -> None:
        """Let calls go on that waited for the judgement of an endpoint's loss."""
        self._hub.crashes.record_alive(endpoint.start, loop_time_s())
        self._hub.losses_changed.tell()

    async def record_unlisted(self, endpoint: str) -> None:
        """Record that an endpoint's entry was removed."""
        await self.record_endpoint_lost(endpoint, "unlisted")

    async def record_endpoint_lost(
        self, endpoint: str, cause: str, started_ms: int = 0
    ) -> None:
        """Blame the calls that an endpoint was lost with, on all daemons.

        Parameters
        ----------
        cause : str
            What shows the loss, for the log.
        started_ms : int
            Which start of the endpoint it was; 0: any.
        """
        found = self._hub.crashes.lost(
            EndpointStart(endpoint, started_ms), loop_time_s()
        )
        await self._notify(found, cause)
        if not found:
            self._hub.log.info("endpoint.lost", endpoint=endpoint, cause=cause)

    async def _notify(self, found: dict[str, LossEvidence], cause: str) -> None:
        now_s = loop_time_s()
        accused = self._accused_s.items()
        self._accused_s = {
            part: at_s for part, at_s in accused if now_s - at_s < ACCUSED_S
        }
        for held in found.values():
            parts = {part for call in held.calls for part in call.parts}
            self._accused_s |= dict.fromkeys(parts, now_s)
        await self._notifier.notify_losses(found, cause)
        self._hub.losses_changed.tell()

    def answered(self, call: Call) -> None:
        """Record that a call got a whole answer."""
        if self._hub.crashes.answered(call.mark):
            self._cleared.append(call.mark)
        self.begun(call)

    def begun(self, call: Call) -> None:
        """Record that an endpoint that stayed has begun a call's answer."""
        ledger = self._hub.crashes.parts
        ledger.begun(call.parts, loop_time_s())
        if self._cleared or ledger.to_clear:
            self._hub.losses_changed.tell()

    async def handle(self, daemon: str, message: LossMessage) -> None:
        """Receive what another daemon knows of losses."""
        now_s, crashes = loop_time_s(), self._hub.crashes
        match message:
            case CallsBlamed():
                crashes.record_loss_time(message.endpoint.partition(" ")[0], now_s)
                for mark in message.fingerprints:
                    crashes.told(mark, message.endpoint, now_s)
            case CallsCleared():
                for mark in message.fingerprints:
                    crashes.answered(mark)
                    self.cleared_calls.add(mark)
            case PartsBlamed():
                await self._accused(daemon, message, now_s)
            case PartsCleared():
                self._contradicted(message, now_s)
            case SuspectsHeld():
                crashes.hold(message.fingerprints, message.parts, now_s)
        self._hub.losses_changed.tell()

    async def _accused(self, daemon: str, message: PartsBlamed, now_s: float) -> None:
        """Receive another host's accusation, and object where a part is sound."""
        at_s = now_s - max(0.0, message.age_s)
        self._hub.crashes.record_loss_time(message.loss.partition(" ")[0], at_s)
        calls = lost_calls(message)
        sound = self._hub.crashes.parts.blamed(message.loss, calls, at_s)
        if sound:
            await self._send(daemon, PartsCleared(sound))

    def _contradicted(self, message: PartsCleared, now_s: float) -> None:
        """Receive that parts are sound; those that were told of a loss are told so."""
        ledger = self._hub.crashes.parts
        known = ledger.record_safe(message.parts, now_s)
        ledger.to_clear.update(part for part in known if part in self._accused_s)
