"""Notifies other hosts of calls and parts of prompts that endpoints crashed with."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from knapweedbridge_core.serving import (
    LossEvidence,
    LostCall,
    refusal_key,
    refusal_publishers,
)
from knapweedbridge_core.serving.blame_messages import (
    CallsBlamed,
    CallsCleared,
    PartsBlamed,
    PartsCleared,
    SuspectsHeld,
)
from knapweedbridge_daemon.serving.attempt_records import MARK_DIGITS
from knapweedbridge_daemon.serving.clock import loop_time_s
from knapweedbridge_daemon.serving.hub import Hub, Send

MAX_LOGGED_MARKS = 16
"""Fingerprints in one log line."""


def abbreviate(marks: Iterable[str]) -> list[str]:
    """Return the first fingerprints, shortened, for a log line."""
    return [mark[:MARK_DIGITS] for mark in list(marks)[:MAX_LOGGED_MARKS]]


class BlameNotifier:
    """Sends what this host knows of losses to other hosts.

    In a small pool these are all hosts, in a large one the coordinators of each
    fingerprint.

    Parameters
    ----------
    hub : Hub
        The daemon's cluster state, log and metrics.
    send : callable
        Sends a message to a daemon.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send

    def coordinators(self, mark: str) -> list[str]:
        """Return the hosts that publish a refusal, in order of precedence."""
        return refusal_publishers(mark, self._hub.cluster.coordinators)

    async def notify_losses(
        self, found: Mapping[str, LossEvidence], cause: str
    ) -> None:
        """Log the calls that endpoints were lost with, and notify other hosts."""
        for loss, held in found.items():
            self._hub.metrics.count("calls_blamed", value=len(held.marks))
            self._hub.log.info(
                "calls.blamed",
                endpoint=loss.partition(" ")[0],
                cause=cause,
                calls=len(held.marks),
                marks=abbreviate(held.marks),
                parts=abbreviate({part for call in held.calls for part in call.parts}),
            )
            for daemon, of_daemon in self._recipients(held.marks).items():
                await self._send(daemon, CallsBlamed(loss, of_daemon))
            await self._notify_parts_blamed(loss, held)

    async def _notify_parts_blamed(self, loss: str, held: LossEvidence) -> None:
        age_s = loop_time_s() - held.at_s
        parts = {part for call in held.calls for part in call.parts}
        for daemon, of_daemon in self._part_recipients(parts).items():
            calls = [
                [call.request, *call.parts]
                for call in held.calls
                if not of_daemon.isdisjoint(call.parts)
            ]
            await self._send(daemon, PartsBlamed(loss, calls, age_s))

    async def notify_calls_cleared(self, marks: Sequence[str]) -> None:
        """Notify other hosts that calls got complete responses."""
        if not marks:
            return
        self._hub.log.info("calls.cleared", calls=len(marks), marks=abbreviate(marks))
        for daemon, of_daemon in self._recipients(marks).items():
            await self._send(daemon, CallsCleared(of_daemon))

    async def notify_parts_cleared(self, parts: Iterable[str]) -> None:
        """Notify other hosts that parts are safe."""
        cleared = sorted(parts)
        if not cleared:
            return
        self._hub.log.info(
            "parts.cleared", count=len(cleared), parts=abbreviate(cleared)
        )
        for daemon, of_daemon in self._part_recipients(cleared).items():
            await self._send(daemon, PartsCleared(sorted(of_daemon)))

    async def notify_held(self, marks: Iterable[str], parts: Iterable[str]) -> None:
        """Notify other hosts of suspects in a loss whose cause is not known yet."""
        by_daemon: dict[str, tuple[list[str], list[str]]] = defaultdict(
            lambda: ([], [])
        )
        for daemon, of_daemon in self._recipients(marks).items():
            by_daemon[daemon][0].extend(of_daemon)
        for daemon, of_parts in self._part_recipients(parts).items():
            by_daemon[daemon][1].extend(sorted(of_parts))
        for daemon, suspects in by_daemon.items():
            await self._send(daemon, SuspectsHeld(*suspects))

    def _recipients(self, marks: Iterable[str]) -> dict[str, list[str]]:
        """Return the fingerprints that each other host receives."""
        own, cluster = self._hub.identity.name, self._hub.cluster
        found: dict[str, list[str]] = defaultdict(list)
        for mark in marks:
            is_small = cluster.is_small_pool
            for name in cluster.daemons if is_small else self.coordinators(mark):
                found[name].append(mark)
        found.pop(own, None)
        return found

    def _part_recipients(self, parts: Iterable[str]) -> dict[str, set[str]]:
        """Return the parts that each other host receives."""
        by_mark = {refusal_key((part,)): part for part in parts}
        recipients = self._recipients(by_mark).items()
        return {name: {by_mark[mark] for mark in marks} for name, marks in recipients}


def lost_calls(message: PartsBlamed) -> list[LostCall]:
    """Return the calls in a message of another host."""
    return [LostCall(call[0], tuple(call[1:])) for call in message.calls if call]
