"""Finds out which endpoints were lost with calls, and has hosts blame those calls."""

from collections import defaultdict
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from knapweedbridge_core.serving import (
    Endpoint,
    EndpointStart,
    loss_id,
    refusal_keepers,
)
from knapweedbridge_core.serving.messages import CallsBlamed, CallsCleared
from knapweedbridge_daemon.serving.attempt_records import MARK_DIGITS
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.http_client import (
    BrokenError,
    Destination,
    NotSentError,
)
from knapweedbridge_daemon.serving.hub import Hub, Send

MOST_MARKS_LOGGED = 16
"""Marks of calls that one log line carries."""

LOOK_S = 0.5
"""Longest pause between looks for endpoints that were replaced."""

SILENT_S = 2.0
"""Silence after which an endpoint is probed; a second of it is no failure."""

PROBE_EVERY_S = 1.0
"""Pause between probes of one endpoint: an endpoint accepts connections slowly."""

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


class CrashWatch:
    """Blames the calls that endpoints were lost with.

    Parameters
    ----------
    hub : Hub
        Beliefs, connections and the ledger of crashes.
    send : callable
        Sends a message to a daemon.

    Attributes
    ----------
    not_refused : set of str
        Calls that got answers, whose refusal the store must not say any more.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send
        self.not_refused: set[str] = set()
        self._blamed: list[tuple[str, str]] = []
        self._cleared: list[str] = []
        self._lost: list[tuple[str, str]] = []
        self._to_probe: list[Suspicion] = []
        self._probed_s: dict[str, float] = {}

    def attempt_ended(
        self, mark: str, endpoint: Endpoint, sent_s: float | None, is_closed: bool
    ) -> None:
        """Record that an attempt ended without a whole answer.

        Parameters
        ----------
        sent_s : float or None
            When it was sent, on the event loop's clock; None: it was not.
        is_closed : bool
            Whether its connection broke, so that the endpoint may be gone by now.
        """
        if sent_s is None:
            return
        now_s = loop_time_s()
        if self._hub.crashes.ended(mark, endpoint.start, now_s):
            self._blamed.append((loss_id(endpoint.start), mark))
        else:
            self._probe_once(Suspicion(endpoint, sent_s, is_closed), now_s)
        self._hub.losses_changed.tell()

    def _probe_once(self, suspicion: Suspicion, now_s: float) -> None:
        recent = self._probed_s.items()
        self._probed_s = {
            name: at_s for name, at_s in recent if now_s - at_s < PROBE_EVERY_S
        }
        name = suspicion.endpoint.name
        if name in self._probed_s or len(self._probed_s) >= MOST_PROBES:
            return
        self._probed_s[name] = now_s
        self._to_probe.append(suspicion)

    def note_lost(self, endpoint: str, cause: str) -> None:
        """Record that an endpoint is gone; see `endpoint_lost`."""
        self._lost.append((endpoint, cause))
        self._hub.losses_changed.tell()

    async def run(self, tasks: TaskGroup) -> None:
        """Draw conclusions until cancelled."""
        while True:
            if not (self._lost or self._blamed or self._to_probe or self._cleared):
                await self._hub.losses_changed.wait(LOOK_S)
            for name in self._hub.beliefs.fleet.take_replaced():
                if self._hub.crashes.has_broken(name, loop_time_s()):
                    self._lost.append((name, "replaced"))
            while self._lost:
                await self.endpoint_lost(*self._lost.pop())
            await self._clear()
            while self._blamed:
                loss, mark = self._blamed.pop()
                await self._tell(loss, [mark], "known")
            while self._to_probe:
                tasks.start_soon(self._probe, self._to_probe.pop())

    async def _clear(self) -> None:
        marks, self._cleared = self._cleared, []
        if not marks:
            return
        self.not_refused.update(marks)
        self._hub.log.info(
            "calls.cleared",
            calls=len(marks),
            marks=[mark[:MARK_DIGITS] for mark in marks[:MOST_MARKS_LOGGED]],
        )
        for daemon, of_daemon in self._hearers(marks).items():
            await self._send(daemon, CallsCleared(of_daemon))

    async def _probe(self, suspicion: Suspicion) -> None:
        """Ask an endpoint for its health; another may stand at its address by now.

        Where no connection stands other hosts are asked for one.
        """
        endpoint, cause = suspicion.endpoint, ""
        if not suspicion.is_closed:
            await anyio.sleep(max(0.0, suspicion.sent_s + SILENT_S - loop_time_s()))
            if endpoint.answered_s > suspicion.sent_s:
                return
        try:
            with anyio.move_on_after(PROBE_S):
                cause = await self._find_loss(endpoint)
        except NotSentError as error:
            cause = "unreachable" if error.is_lost else ""
        except BrokenError as error:
            self._hub.log.info(
                "endpoint.not_probed", endpoint=endpoint.name, error=str(error)
            )
        self._hub.measures.count("probes", cause or "nothing_found")
        if cause:
            endpoint.note_unreachable(loop_time_s())
            await self.endpoint_lost(endpoint.name, cause, endpoint.start.started_ms)

    async def _find_loss(self, endpoint: Endpoint) -> str:
        """Return what shows that an endpoint is gone; empty: nothing does."""
        hub, record, pressure = self._hub, endpoint.record, endpoint.pressure
        destination = Destination(record.address, endpoint.name)
        deployment = hub.beliefs.deployment
        service = deployment.services.get(record.service) if deployment else None
        if service is None or pressure.is_limited or pressure.is_brittle:
            # A question would take the room of a call.
            stream = await hub.pool.connector.connect(destination)
            hub.pool.adopt(stream, record.address)
            return ""
        dialect = hub.dialects.endpoints
        question = dialect.health(record.address, endpoint.name, service.health_path)
        async with hub.pool.connection(destination) as connection:
            head, _ = await connection.call(question)
        answer = dialect.read_answer(head)
        is_other = answer.wrong_endpoint and answer.endpoint != endpoint.name
        return "replaced" if is_other else ""

    async def endpoint_unlisted(self, endpoint: str) -> None:
        """Record that an endpoint's entry was removed."""
        await self.endpoint_lost(endpoint, "unlisted")

    async def endpoint_lost(
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
            EndpointStart(endpoint, started_ms), anyio.current_time()
        )
        for loss, marks in found.items():
            await self._tell(loss, marks, cause)
        if not found:
            self._hub.log.info("endpoint.lost", endpoint=endpoint, cause=cause)

    async def _tell(self, loss: str, marks: list[str], cause: str) -> None:
        self._hub.measures.count("calls_blamed", value=len(marks))
        self._hub.log.info(
            "calls.blamed",
            endpoint=loss.partition(" ")[0],
            cause=cause,
            calls=len(marks),
            marks=[mark[:MARK_DIGITS] for mark in marks[:MOST_MARKS_LOGGED]],
        )
        for daemon, of_daemon in self._hearers(marks).items():
            await self._send(daemon, CallsBlamed(loss, of_daemon))
        self._hub.losses_changed.tell()

    def _hearers(self, marks: list[str]) -> dict[str, list[str]]:
        """Return which other daemons hear of which calls: in a large pool, keepers."""
        own, beliefs = self._hub.identity.name, self._hub.beliefs
        found: dict[str, list[str]] = defaultdict(list)
        if beliefs.is_small_pool:
            found.update((name, marks) for name in beliefs.daemons)
        else:
            for mark in marks:
                for name in refusal_keepers(mark, beliefs.keepers):
                    found[name].append(mark)
        found.pop(own, None)
        return found

    def answered(self, mark: str) -> None:
        """Record that a call got a whole answer."""
        if self._hub.crashes.answered(mark):
            self._cleared.append(mark)
            self._hub.losses_changed.tell()

    async def heard(self, daemon: str, message: CallsBlamed | CallsCleared) -> None:
        """Receive what another daemon blames, or blames no more."""
        now_s = anyio.current_time()
        for mark in message.fingerprints:
            if isinstance(message, CallsBlamed):
                self._hub.crashes.told(mark, message.endpoint, now_s)
            else:
                self._hub.crashes.answered(mark)
                self.not_refused.add(mark)
        self._hub.losses_changed.tell()
