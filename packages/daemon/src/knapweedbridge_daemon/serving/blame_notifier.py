"""Notifies other hosts of the calls and parts that endpoints were lost with."""

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

MOST_MARKS_LOGGED = 16
"""Marks of calls that one log line carries."""


def logged(marks: Iterable[str]) -> list[str]:
    """Return as many marks, and as much of each, as a log line carries."""
    return [mark[:MARK_DIGITS] for mark in list(marks)[:MOST_MARKS_LOGGED]]


class BlameNotifier:
    """Sends what this host knows of losses to those that keep it.

    In a small pool these are all hosts, in a large one the keepers of each mark.

    Parameters
    ----------
    hub : Hub
        Beliefs, log and measures.
    send : callable
        Sends a message to a daemon.
    """

    def __init__(self, hub: Hub, send: Send) -> None:
        self._hub = hub
        self._send = send

    def coordinators(self, mark: str) -> list[str]:
        """Return the hosts that publish a refusal, in the order in which they do."""
        return refusal_publishers(mark, self._hub.cluster.coordinators)

    async def notify_losses(
        self, found: Mapping[str, LossEvidence], cause: str
    ) -> None:
        """Notify other hosts of what endpoints were lost with, and log it."""
        for loss, held in found.items():
            self._hub.metrics.count("calls_blamed", value=len(held.marks))
            self._hub.log.info(
                "calls.blamed",
                endpoint=loss.partition(" ")[0],
                cause=cause,
                calls=len(held.marks),
                marks=logged(held.marks),
                parts=logged({part for call in held.calls for part in call.parts}),
            )
            for daemon, of_daemon in self._hearers(held.marks).items():
                await self._send(daemon, CallsBlamed(loss, of_daemon))
            await self._parts_blamed(loss, held)

    async def _parts_blamed(self, loss: str, held: LossEvidence) -> None:
        age_s = loop_time_s() - held.at_s
        parts = {part for call in held.calls for part in call.parts}
        for daemon, of_daemon in self._hearers_of_parts(parts).items():
            calls = [
                [call.request, *call.parts]
                for call in held.calls
                if not of_daemon.isdisjoint(call.parts)
            ]
            await self._send(daemon, PartsBlamed(loss, calls, age_s))

    async def notify_calls_cleared(self, marks: Sequence[str]) -> None:
        """Notify other hosts that calls got whole answers."""
        if not marks:
            return
        self._hub.log.info("calls.cleared", calls=len(marks), marks=logged(marks))
        for daemon, of_daemon in self._hearers(marks).items():
            await self._send(daemon, CallsCleared(of_daemon))

    async def notify_parts_cleared(self, parts: Iterable[str]) -> None:
        """Notify other hosts that parts are sound."""
        told = sorted(parts)
        if not told:
            return
        self._hub.log.info("parts.cleared", count=len(told), parts=logged(told))
        for daemon, of_daemon in self._hearers_of_parts(told).items():
            await self._send(daemon, PartsCleared(sorted(of_daemon)))

    async def notify_held(self, marks: Iterable[str], parts: Iterable[str]) -> None:
        """Notify other hosts that a loss is about to be judged."""
        by_daemon: dict[str, tuple[list[str], list[str]]] = defaultdict(
            lambda: ([], [])
        )
        for daemon, of_daemon in self._hearers(marks).items():
            by_daemon[daemon][0].extend(of_daemon)
        for daemon, of_parts in self._hearers_of_parts(parts).items():
            by_daemon[daemon][1].extend(sorted(of_parts))
        for daemon, suspects in by_daemon.items():
            await self._send(daemon, SuspectsHeld(*suspects))

    def _hearers(self, marks: Iterable[str]) -> dict[str, list[str]]:
        """Return which other hosts receive what of some marks."""
        own, cluster = self._hub.identity.name, self._hub.cluster
        found: dict[str, list[str]] = defaultdict(list)
        for mark in marks:
            small = cluster.is_small_pool
            for name in cluster.daemons if small else self.coordinators(mark):
                found[name].append(mark)
        found.pop(own, None)
        return found

    def _hearers_of_parts(self, parts: Iterable[str]) -> dict[str, set[str]]:
        """Return which other hosts receive what of some parts."""
        by_mark = {refusal_key((part,)): part for part in parts}
        subscribers = self._hearers(by_mark).items()
        return {name: {by_mark[mark] for mark in marks} for name, marks in subscribers}


def lost_calls(message: PartsBlamed) -> list[LostCall]:
    """Return the calls that another host names."""
    return [LostCall(call[0], tuple(call[1:])) for call in message.calls if call]
