"""Detects endpoints that crashed during calls, and reports those calls as suspects."""

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
from knapweedbridge_daemon.serving.attempt_records import MARK_DIGITS
from knapweedbridge_daemon.serving.blame_notifier import BlameNotifier, lost_calls
from knapweedbridge_daemon.serving.call import Call
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_client import (
    ConnectionBrokenError,
    NotSentError,
)
from knapweedbridge_daemon.serving.hub import Hub, Send
from knapweedbridge_daemon.serving.loss_detection import detect_loss

POLL_INTERVAL_S = 0.5
"""Longest pause between checks for endpoints that were replaced."""

SILENCE_TIMEOUT_S = 2.0
"""Silence after which an endpoint is probed; one second of silence is no failure."""

PROBE_INTERVAL_S = 1.0
"""Pause between probes of one endpoint: an endpoint accepts connections slowly."""

CONTRADICTION_TIMEOUT_S = 10.0
"""How long another host may contradict this one's report that a part is suspect."""

PROBE_TIMEOUT_S = 1.0
"""Timeout of a probe: a health check waits for a slot as calls do."""

MAX_PROBES = 16
"""Probes at once; further losses are detected by the platform's list."""


@dataclass(slots=True, frozen=True)
class Suspicion:
    """An endpoint that may have crashed.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    sent_s : float
        When the attempt that got no complete response was sent, on the event loop's
        clock.
    is_closed : bool
        Whether the connection broke.
    """

    endpoint: Endpoint
    sent_s: float
    is_closed: bool


LossMessage = CallsBlamed | CallsCleared | PartsBlamed | PartsCleared | SuspectsHeld


class CrashWatch:
    """Reports calls, and parts of their prompts, that endpoints crashed with.

    Parameters
    ----------
    hub : Hub
        The daemon's cluster state, connections and ledger of crashes.
    send : callable
        Sends a message to a daemon.

    Attributes
    ----------
    cleared_calls : set of str
        Fingerprints of calls that got responses, whose refusals are to be removed from
        the store.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self._notifier = BlameNotifier(hub, send)
        hub.crashes.parts.turn_of = self._publishing_rank
        self.cleared_calls: set[str] = set()
        self._to_notify: list[tuple[str, LossEvidence]] = []
        self._cleared: list[str] = []
        self._to_hold: tuple[set[str], set[str]] = (set(), set())
        self._reported_s: dict[str, float] = {}
        self._lost: list[tuple[str, str]] = []
        self._to_probe: list[Suspicion] = []
        self._probed_s: dict[str, float] = {}
        self._probing: set[str] = set()

    def _publishing_rank(self, mark: str) -> int:
        """Return this host's rank among the publishers of a refusal; 0 is the first."""
        coordinators, own = self._notifier.coordinators(mark), self._hub.identity.name
        return coordinators.index(own) if own in coordinators else len(coordinators)

    def record_failed_attempt(
        self,
        call: Call,
        endpoint: Endpoint,
        sent_s: float | None,
        is_closed: bool,
        has_survived: bool,
    ) -> None:
        """Record that an attempt ended without a complete response.

        Parameters
        ----------
        sent_s : float or None
            When the attempt was sent, on the event loop's clock; None: it was not.
        is_closed : bool
            Whether its connection broke, so that the endpoint may have crashed.
        has_survived : bool
            Whether the endpoint kept running after it had started to respond.
        """
        if sent_s is None:
            return
        now_s = loop_time_s()
        crashes = self._hub.crashes
        parts = () if has_survived else call.parts
        is_suspected = bool(crashes.find_suspects(call.mark, parts, now_s))
        is_probed = self._schedule_probe(Suspicion(endpoint, sent_s, is_closed), now_s)
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
            self._to_notify.append((loss_id(endpoint.start), found))
        elif is_suspected:
            self._add_held(call, parts, now_s)
        self._hub.losses_changed.tell()

    def _add_held(self, call: Call, parts: tuple[str, ...], now_s: float) -> None:
        marks, held_parts = self._to_hold
        marks.update((call.mark, request_digest(call.mark)))
        held_parts.update(self._hub.crashes.parts.suspected(parts, now_s))

    def _schedule_probe(self, suspicion: Suspicion, now_s: float) -> bool:
        """Schedule a probe of an endpoint, unless it was probed recently.

        Returns
        -------
        is_probed : bool
            Whether a probe of the endpoint is scheduled or under way.
        """
        recent = self._probed_s.items()
        self._probed_s = {
            name: at_s for name, at_s in recent if now_s - at_s < PROBE_INTERVAL_S
        }
        name = suspicion.endpoint.name
        if name in self._probing:
            return True
        if name in self._probed_s or len(self._probed_s) >= MAX_PROBES:
            return False
        self._probed_s[name] = now_s
        self._probing.add(name)
        self._to_probe.append(suspicion)
        return True

    def report_loss(self, endpoint: str, cause: str) -> None:
        """Schedule `record_endpoint_lost` for an endpoint that is gone."""
        self._lost.append((endpoint, cause))
        self._hub.losses_changed.tell()

    async def run(self, tasks: TaskGroup) -> None:
        """Probe endpoints and notify other hosts until cancelled."""
        while True:
            if not self._has_work():
                await self._hub.losses_changed.wait(POLL_INTERVAL_S)
            for name in self._hub.cluster.fleet.pop_replaced():
                if self._hub.crashes.has_recent_failure(name, loop_time_s()):
                    self._lost.append((name, "replaced"))
            await self._notify_held()
            while self._lost:
                await self.record_endpoint_lost(*self._lost.pop())
            await self._clear()
            while self._to_notify:
                loss, found = self._to_notify.pop()
                await self._notify({loss: found}, "known")
            while self._to_probe:
                tasks.start_soon(self._probe, self._to_probe.pop())

    def _has_work(self) -> bool:
        waiting = self._lost, self._to_notify, self._to_probe, self._cleared
        return any((*waiting, *self._to_hold, self._hub.crashes.parts.to_clear))

    async def _notify_held(self) -> None:
        (marks, parts), self._to_hold = self._to_hold, (set(), set())
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
        """Find out whether an endpoint that calls failed at is gone."""
        try:
            await self._check_health(suspicion)
        finally:
            self._probing.discard(suspicion.endpoint.name)

    async def _check_health(self, suspicion: Suspicion) -> None:
        """Send a health check to an endpoint's address.

        Another endpoint may have that address by now. Where this host has no connection
        other hosts are asked to forward the check.
        """
        endpoint, cause, is_alive = suspicion.endpoint, "", False
        if not suspicion.is_closed:
            await anyio.sleep(
                max(0.0, suspicion.sent_s + SILENCE_TIMEOUT_S - loop_time_s())
            )
            if endpoint.answered_s > suspicion.sent_s:
                self._record_alive(endpoint)
                return
        try:
            with anyio.move_on_after(PROBE_TIMEOUT_S):
                cause = await detect_loss(self._hub, endpoint)
                is_alive = not cause
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
        elif is_alive:
            self._record_alive(endpoint)

    def _record_alive(self, endpoint: Endpoint) -> None:
        """Record that an endpoint is alive, and release calls delayed by its loss."""
        self._hub.crashes.record_alive(endpoint.start, loop_time_s())
        self._hub.losses_changed.tell()

    async def record_unlisted(self, endpoint: str) -> None:
        """Record that an endpoint's entry was removed from the platform's list."""
        await self.record_endpoint_lost(endpoint, "unlisted")

    async def record_endpoint_lost(
        self, endpoint: str, cause: str, started_ms: int = 0
    ) -> None:
        """Record that an endpoint is gone, and report its calls as suspects.

        Parameters
        ----------
        cause : str
            How the loss was detected, for the log.
        started_ms : int
            Start time of the lost instance; 0: any.
        """
        found = self._hub.crashes.lost(
            EndpointStart(endpoint, started_ms), loop_time_s()
        )
        await self._notify(found, cause)
        if not found:
            self._hub.log.info("endpoint.lost", endpoint=endpoint, cause=cause)

    async def _notify(self, found: dict[str, LossEvidence], cause: str) -> None:
        now_s = loop_time_s()
        reported = self._reported_s.items()
        self._reported_s = {
            part: at_s
            for part, at_s in reported
            if now_s - at_s < CONTRADICTION_TIMEOUT_S
        }
        for held in found.values():
            parts = {part for call in held.calls for part in call.parts}
            self._reported_s |= dict.fromkeys(parts, now_s)
        await self._notifier.notify_losses(found, cause)
        self._hub.losses_changed.tell()

    def record_answer(self, call: Call) -> None:
        """Record that a call got a complete response, which was no server error."""
        if self._hub.crashes.answered(call.mark):
            self._cleared.append(call.mark)
            self._hub.log.info(
                "call.cleared",
                request=call.details.call_id,
                mark=call.mark[:MARK_DIGITS],
            )
        self.record_survival(call)

    def record_survival(self, call: Call) -> None:
        """Record that an endpoint survived the parts of a call's prompt."""
        ledger = self._hub.crashes.parts
        ledger.begun(call.parts, loop_time_s())
        if self._cleared or ledger.to_clear:
            self._hub.losses_changed.tell()

    async def handle(self, daemon: str, message: LossMessage) -> None:
        """Handle a message of another daemon about losses."""
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
                await self._handle_parts_blamed(daemon, message, now_s)
            case PartsCleared():
                self._handle_parts_cleared(message, now_s)
            case SuspectsHeld():
                crashes.hold(message.fingerprints, message.parts, now_s)
        self._hub.losses_changed.tell()

    async def _handle_parts_blamed(
        self, daemon: str, message: PartsBlamed, now_s: float
    ) -> None:
        """Record parts that another host suspects, and answer which are safe."""
        at_s = now_s - max(0.0, message.age_s)
        self._hub.crashes.record_loss_time(message.loss.partition(" ")[0], at_s)
        calls = lost_calls(message)
        safe = self._hub.crashes.parts.blamed(message.loss, calls, at_s)
        if safe:
            await self._send(daemon, PartsCleared(safe))

    def _handle_parts_cleared(self, message: PartsCleared, now_s: float) -> None:
        """Record that parts are safe.

        Those that this host has reported are cleared at other hosts too.
        """
        ledger = self._hub.crashes.parts
        known = ledger.record_safe(message.parts, now_s)
        ledger.to_clear.update(part for part in known if part in self._reported_s)
